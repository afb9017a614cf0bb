#include "figstair/host/event_log.h"

#include <glog/logging.h>
#include <unistd.h>

namespace figstair {
namespace {

/// Rate limit per event name and window; above the rate of decisions of a host in normal operation.
constexpr unsigned maxLinesPerWindow = 100;
constexpr milliseconds windowLength{1000};

/// Appends @p value, quoted and escaped if necessary. A line break becomes a space.
void appendValue(std::string &line, std::string_view value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" =\"\n") == std::string_view::npos;
    if (isPlain) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character == '\n' ? ' ' : character;
    }
    line += '"';
}

} // namespace

event_log::event_log(std::string hostName, const clock_source &clock)
    : m_hostName(std::move(hostName))
    , m_output(STDOUT_FILENO)
    , m_clock(clock)
{
}

void event_log::write(std::string_view name, event_fields fields)
{
    auto found = m_windows.find(name);
    if (found == m_windows.end()) {
        found = m_windows.emplace(std::string(name), window{}).first;
    }
    window &current = found->second;
    const monotonic_time now = m_clock.monotonic();
    unsigned dropped = 0;
    if (now - current.start >= windowLength) {
        dropped = current.dropped;
        current = window{now, 0, 0};
    }
    if (current.written >= maxLinesPerWindow) {
        ++current.dropped;
        return;
    }
    ++current.written;
    std::string line = "time_ms=" + std::to_string(m_clock.wall().time_since_epoch().count())
        + " event=" + std::string(name) + " host=" + m_hostName;
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        appendValue(line, value);
    }
    if (dropped > 0) {
        line += " dropped_before=" + std::to_string(dropped);
    }
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&m_output, INFO) << line;
}

void event_log::flush()
{
    m_output.flush();
}

} // namespace figstair
