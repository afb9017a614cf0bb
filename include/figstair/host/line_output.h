#pragma once

#include <cstdint>
#include <string>

#include <glog/logging.h>

namespace figstair {

/// Takes log lines from glog and writes them to a descriptor without ever waiting: lines that find
/// the buffer full are dropped and counted.
class line_output : public google::LogSink
{
public:
    explicit line_output(int descriptor);

    /// Writes as much as the descriptor takes at once.
    void flush();

    /// Lines dropped since the last question.
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
