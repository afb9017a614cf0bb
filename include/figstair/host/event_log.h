#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "figstair/core/clock_source.h"
#include "figstair/core/gate/host_output.h"
#include "figstair/host/line_output.h"

namespace figstair {

/// Writes each event as one line of key=value pairs to standard output through glog, with a rate
/// limit per event name. Never blocks.
class event_log
{
public:
    event_log(std::string hostName, const clock_source &clock);

    void write(std::string_view name, event_fields fields);

    /// Writes buffered lines to standard output. Call it several times a second.
    void flush();

    /// Returns the number of lines dropped because the buffer was full, and resets it.
    std::uint64_t takeDroppedCount() { return m_output.takeDroppedCount(); }

private:
    struct window
    {
        monotonic_time start{};
        unsigned written = 0;
        unsigned dropped = 0;
    };

    std::string m_hostName;
    line_output m_output;
    const clock_source &m_clock;
    std::map<std::string, window, std::less<>> m_windows;
};

} // namespace figstair
