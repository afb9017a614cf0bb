#pragma once

#include "figstair/core/entry_output.h"

namespace figstair {

/// A clock that stands still until it is set.
class manual_clock : public clock_source
{
public:
    monotonic_time monotonic() const override { return now; }
    wall_time wall() const override { return wall_time(now.time_since_epoch()); }

    monotonic_time now{milliseconds(100000)};
};

/// An output that does nothing.
class silent_output : public entry_output
{
public:
    void forward(byte_view, const known_upstream &) override { }
    void reset(const flow_id &, std::uint32_t) override { }
    void sendToPeer(const endpoint &, byte_view) override { }
    void logEvent(std::string_view, event_fields) override { }
    void count(entry_counter, std::uint64_t) override { }
    void observe(entry_distribution, milliseconds) override { }
};

} // namespace figstair
