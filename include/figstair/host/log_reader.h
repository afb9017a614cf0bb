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
    std::string text; ///< the original line from "time_ms=" on
};

/// A line that cannot be parsed as a figstair log line.
struct bad_line
{
    std::string fileName;
    std::size_t number = 0; ///< line number, counted from 1
    std::string problem;
};

struct log_contents
{
    std::vector<log_line> lines;
    std::vector<bad_line> badLines;
};

/// Parses the lines of @p stream and appends them to @p contents. Text before "time_ms=", such as a
/// prefix added by a log collector, is ignored.
void readLog(const std::string &fileName, std::istream &stream, log_contents &contents);

/// Returns the lines that explain the outcome of @p flow ("caller>route", or a prefix of it) in
/// time order: lines of the flow itself, and lines of the same hosts within @p aroundMs of those
/// that concern the host or the flow's upstreams. The pointers are valid as long as @p contents is
/// unchanged.
std::vector<const log_line *> findFlowLines(const log_contents &contents, const std::string &flow,
                                            std::int64_t aroundMs);

/// The latest state of one host according to its log lines.
struct host_summary
{
    const log_line *state = nullptr; ///< its last "state" line; null when there is none
    std::int64_t lastMs = 0; ///< time of its last line
    std::string lifecycleState = "running"; ///< running, leaving or stopped
    std::string storeLossReason; ///< empty while the store is reachable
};

/// Returns a summary of each host that wrote lines, by host name.
std::map<std::string, host_summary> summarizeHosts(const log_contents &contents);

} // namespace figstair
