#include "figstair/replay/trace.h"

#include <sstream>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

bool readNumber(const std::string &text, double &value)
{
    std::istringstream stream(text);
    return bool(stream >> value) && stream.eof();
}

} // namespace

std::string trace_event::text(const std::string &name, const std::string &fallback) const
{
    const auto found = values.find(name);
    return found == values.end() ? fallback : found->second;
}

std::string toText(const trace_error &error)
{
    return error.fileName + ":" + std::to_string(error.line) + ": " + error.problem;
}

leaf::result<std::vector<trace_event>> parseTrace(const std::string &fileName,
                                                  const std::string &text)
{
    std::vector<trace_event> events;
    std::istringstream lines(text);
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        trace_event event;
        event.line = number;
        std::istringstream words(line.substr(0, line.find('#')));
        std::string word;
        while (words >> word) {
            const std::size_t equals = word.find('=');
            if (equals == std::string::npos && event.verb.empty()) {
                event.verb = word;
                continue;
            }
            if (equals == std::string::npos || equals == 0) {
                return leaf::new_error(
                    trace_error{fileName, number, "'" + word + "': expected key=value"});
            }
            event.values[word.substr(0, equals)] = word.substr(equals + 1);
        }
        double at = 0;
        if (event.has("at") && !readNumber(event.text("at"), at)) {
            return leaf::new_error(
                trace_error{fileName, number, "at=" + event.text("at") + ": expected a time"});
        }
        event.at = milliseconds(static_cast<std::int64_t>(at));
        if (!event.verb.empty()) {
            events.push_back(std::move(event));
        } else if (!event.values.empty()) {
            return leaf::new_error(trace_error{fileName, number, "no verb"});
        }
    }
    return events;
}

double numberOf(const trace_event &event, const std::string &name)
{
    double value = 0;
    if (!event.has(name) || !readNumber(event.text(name), value)) {
        throw trace_problem{name + "=" + event.text(name) + ": expected a number"};
    }
    return value;
}

double numberOf(const trace_event &event, const std::string &name, double fallback)
{
    return event.has(name) ? numberOf(event, name) : fallback;
}

} // namespace figstair
