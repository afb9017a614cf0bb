#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/clock_source.h"

namespace figstair {

/// One line of a trace: "at=MS verb key=value ...". Lines without "at" describe the setup.
struct trace_event
{
    std::size_t line = 0;
    milliseconds at{0};
    std::string verb;
    std::map<std::string, std::string> values;

    /// Whether the line has a value for @p name.
    bool has(const std::string &name) const { return values.count(name) != 0; }

    /// The value of @p name; @p fallback when it is absent.
    std::string text(const std::string &name, const std::string &fallback = {}) const;
};

/// Error for a line of a trace that cannot be parsed or executed.
struct trace_error
{
    std::string fileName;
    std::size_t line = 0;
    std::string problem;
};

/// Formats an error as "file:line: problem".
std::string toText(const trace_error &error);

/// Parses a trace: one event per line, "#" starts a comment. Fails with trace_error.
boost::leaf::result<std::vector<trace_event>> parseTrace(const std::string &fileName,
                                                         const std::string &text);

/// Returns the numeric value of @p name. Throws trace_problem when it is not a number, or is absent
/// and there is no fallback.
double numberOf(const trace_event &event, const std::string &name);
double numberOf(const trace_event &event, const std::string &name, double fallback);

/// Exception for a line that cannot be executed. replayTrace() converts it to a trace_error.
struct trace_problem
{
    std::string problem;
};

} // namespace figstair
