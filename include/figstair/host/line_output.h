#pragma once

#include <cstdint>
#include <string>

#include <glog/logging.h>

namespace figstair {

/// A glog sink that buffers log lines and writes them to a file descriptor without blocking. Lines
/// that do not fit into the buffer are dropped and counted.
class line_output : public google::LogSink
{
public:
    explicit line_output(int descriptor);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

    void send(google::LogSeverity severity, const char *fullFileName, const char *baseFileName,
              int line, const google::LogMessageTime &time, const char *message,
              std::size_t messageSize) override;

private:
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace figstair
