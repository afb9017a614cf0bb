#pragma once

#include "fake_clock.h"
#include "figstair/core/flow/entry_output.h"
#include "figstair/core/view/fleet_records.h"

namespace figstair {

/// Returns the change that the store reports for @p entry at @p revision.
inline record_change changeOf(const upstream_record &entry, std::uint64_t revision)
{
    record_change change;
    change.kind = record_kind::upstream;
    change.upstreamId = entry.id;
    change.revision = revision;
    change.content = entry;
    return change;
}

/// Discards all output.
class silent_output : public entry_output
{
public:
    void forward(byte_view, const known_upstream &) override { }
    void reset(const flow_id &, std::uint32_t) override { }
    void logEvent(std::string_view, event_fields) override { }
    void count(entry_counter, std::uint64_t) override { }
    void observe(entry_distribution, milliseconds) override { }
};

} // namespace figstair
