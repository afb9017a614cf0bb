#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "figstair/core/clock_source.h"
#include "figstair/core/host_output.h"
#include "figstair/host/line_output.h"

namespace figstair {

/// Writes one line of key=value pairs per event to standard output, through glog, at a bounded rate
/// per event name. Never blocks.
class event_log
{
public:
    event_log(std::string hostName, const clock_source &clock);

    void write(std::string_view name, event_fields fields);

    /// Hands buffered lines to standard output. To be called several times a second.
    void flush();

    /// Lines that standard output did not take, since the last question.
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
