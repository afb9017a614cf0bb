#include "figstair/core/gate/host_output.h"

#include <array>

namespace figstair {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(counter::count)> counterNames{
    "datagrams_received",    "malformed_datagrams",
    "unauthentic_datagrams", "bad_tokens",
    "flows_opened",          "opens_refused",
    "requests_received",     "requests_forwarded",
    "requests_sent",         "answers_relayed",
    "late_answers",          "requests_answered",
    "refused_not_run",       "refused_unknown",
    "refused_place_again",   "refused_overloaded",
    "refused_other",         "orders_accepted",
    "orders_repeated",       "gate_takeovers",
    "upstream_starts",       "freezes",
    "table_edits_applied",   "table_chain_errors",
    "platform_older",        "platform_errors",
    "control_bytes_sent",    "member_syncs"};

constexpr std::array<std::string_view, static_cast<std::size_t>(distribution::count)>
    distributionNames{"queue_wait_ms", "upstream_time_ms"};

} // namespace

std::string_view toText(counter which)
{
    return counterNames[static_cast<std::size_t>(which)];
}

std::string_view toText(distribution which)
{
    return distributionNames[static_cast<std::size_t>(which)];
}

counter refusalCounter(refusal_status status)
{
    switch (status) {
    case refusal_status::notRun:
        return counter::refusedNotRun;
    case refusal_status::unknown:
        return counter::refusedUnknown;
    case refusal_status::placeAgain:
        return counter::refusedPlaceAgain;
    case refusal_status::overloaded:
        return counter::refusedOverloaded;
    default:
        return counter::refusedOther;
    }
}

} // namespace figstair
