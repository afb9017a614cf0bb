#include "figstair/host/line_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace figstair {
namespace {

/// About two seconds of lines at the rate limit of event_log.
constexpr std::size_t maxBufferedBytes = std::size_t{256} * 1024;

/// A pipe that polls as writable accepts this much without blocking.
constexpr std::size_t maxBytesPerWrite = PIPE_BUF;

} // namespace

line_output::line_output(int descriptor)
    : m_descriptor(descriptor)
{
}

void line_output::send(google::LogSeverity, const char *, const char *, int,
                       const google::LogMessageTime &, const char *message, std::size_t messageSize)
{
    if (m_buffer.size() + messageSize + 1 > maxBufferedBytes) {
        ++m_dropped;
        return;
    }
    m_buffer.append(message, messageSize);
    m_buffer += '\n';
}

void line_output::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min(maxBytesPerWrite, m_buffer.size() - written);
        const ssize_t count = write(m_descriptor, m_buffer.data() + written, size);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

std::uint64_t line_output::takeDroppedCount()
{
    const std::uint64_t dropped = m_dropped;
    m_dropped = 0;
    return dropped;
}

} // namespace figstair
