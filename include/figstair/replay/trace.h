#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/clock_source.h"

namespace figstair {

/// One event of a trace: "at=MS verb key=value ..."; lines without "at" describe the scene.
struct trace_event
{
    std::size_t line = 0;
    milliseconds at{0};
    std::string verb;
    std::map<std::string, std::string> values;

    bool has(const std::string &name) const { return values.count(name) != 0; }
    std::string text(const std::string &name, const std::string &fallback = {}) const;
};

/// Reports a line of a trace that cannot be read or carried out.
struct trace_error
{
    std::string fileName;
    std::size_t line = 0;
    std::string problem;
};

std::string toText(const trace_error &error);

/// Reads a trace: one event a line, "#" begins a comment. Fails with trace_error.
boost::leaf::result<std::vector<trace_event>> parseTrace(const std::string &fileName,
                                                         const std::string &text);

/// Reads the number under @p name. Throws trace_problem when it is absent without a fallback, or is
/// no number.
double numberOf(const trace_event &event, const std::string &name);
double numberOf(const trace_event &event, const std::string &name, double fallback);

/// Thrown inside the replay for a line that cannot be carried out; turned into trace_error at its
/// edge.
struct trace_problem
{
    std::string problem;
};

} // namespace figstair
