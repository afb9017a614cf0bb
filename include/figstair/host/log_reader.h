#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace figstair {

/// One line of a host's log.
struct log_line
{
    std::int64_t timeMs = 0; ///< Unix milliseconds by the host's clock
    std::string host;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; ///< from the time on, as it was written
};

/// A line that is none of figstair's.
struct bad_line
{
    std::string fileName;
    std::size_t number = 0;
    std::string problem;
};

struct log_contents
{
    std::vector<log_line> lines;
    std::vector<bad_line> badLines;
};

/// Reads the lines of @p stream and adds them to @p contents. What stands before a line's time,
/// such as what a collector added, is passed over.
void readLog(const std::string &fileName, std::istream &stream, log_contents &contents);

/// The lines that explain what became of @p flow ("caller>route", or the beginning of it): its own,
/// and within @p aroundMs of them what its hosts and upstreams went through. In the order of time.
std::vector<const log_line *> findFlowLines(const log_contents &contents, const std::string &flow,
                                            std::int64_t aroundMs);

/// What the lines say of one host last.
struct host_summary
{
    const log_line *state = nullptr; ///< its last "state" line; nothing when it wrote none
    std::int64_t lastMs = 0; ///< time of its last line
    std::string lifecycleState = "running"; ///< or leaving, stopped
    std::string storeLossReason; ///< reason, while the store is lost
};

/// The hosts that wrote lines, by name.
std::map<std::string, host_summary> summarizeHosts(const log_contents &contents);

} // namespace figstair
