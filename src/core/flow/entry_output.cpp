#include "figstair/core/flow/entry_output.h"

#include <array>

namespace figstair {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(entry_counter::count)> counterNames{
    "packets_received",
    "packets_malformed",
    "packets_reflected",
    "packets_without_route",
    "packets_awaiting_config",
    "packets_with_unknown_tag",
    "packets_before_config",
    "packets_stale",
    "packets_forwarded",
    "flows_placed",
    "flows_placed_by_work",
    "flows_repeated",
    "flows_adopted",
    "flows_held",
    "flows_held_too_long",
    "flows_reset",
    "flows_refused",
    "flows_dropped",
    "flows_refused_with_free_slot",
    "flows_reset_upstream_dead",
    "trials_sent",
    "cold_flows_sent",
    "ejections",
    "short_answers",
    "freezes",
    "rotation_leaves",
    "peer_messages_received",
    "peer_messages_rejected",
    "configs_accepted",
    "unreadable_records",
    "store_calls",
    "store_failures",
    "store_bytes_discarded",
    "store_restorations",
    "log_lines_dropped",
    "report_bytes_sent",
    "news_bytes_sent",
    "view_bytes_sent",
    "peer_bytes_received",
    "relays_oversized",
    "relays_with_gap",
    "relays_of_other_epoch",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(entry_distribution::count)>
    distributionNames{"handshake_ms", "first_answer_ms", "held_ms", "peer_message_delay_ms",
                      "view_behind_ms"};

} // namespace

std::string_view toText(entry_counter which)
{
    return counterNames.at(static_cast<std::size_t>(which));
}

std::string_view toText(entry_distribution which)
{
    return distributionNames.at(static_cast<std::size_t>(which));
}

} // namespace figstair
