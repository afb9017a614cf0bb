#include "figstair/host/log_reader.h"

#include <algorithm>
#include <charconv>
#include <istream>
#include <limits>
#include <set>

namespace figstair {
namespace {

constexpr std::string_view timeKey = "time_ms=";

/// Removes the next key=value pair from the front of @p rest. Returns false at the end or when the
/// text is not a key=value pair.
bool consumePair(std::string_view &rest, std::string &key, std::string &value)
{
    while (!rest.empty() && rest.front() == ' ') {
        rest.remove_prefix(1);
    }
    const std::size_t separator = rest.find('=');
    if (separator == std::string_view::npos || separator == 0) {
        return false;
    }
    key = std::string(rest.substr(0, separator));
    rest.remove_prefix(separator + 1);
    value.clear();
    if (rest.empty() || rest.front() != '"') {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        value = std::string(rest.substr(0, end));
        rest.remove_prefix(end);
        return key.find(' ') == std::string::npos;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    if (rest.empty()) {
        return false;
    }
    rest.remove_prefix(1);
    return key.find(' ') == std::string::npos;
}

/// Parses @p text into @p line. Returns the problem, or an empty string on success.
std::string parseLine(const std::string &text, log_line &line)
{
    const std::size_t start = text.find(timeKey);
    if (start == std::string::npos) {
        return "no time_ms";
    }
    line.text = text.substr(start);
    std::string_view rest(line.text);
    std::string key;
    std::string value;
    while (!rest.empty()) {
        if (!consumePair(rest, key, value)) {
            return "not key=value";
        }
        line.fields[key] = value;
    }
    const std::string &time = line.fields["time_ms"];
    const auto [end, status] = std::from_chars(time.data(), time.data() + time.size(), line.timeMs);
    if (status != std::errc{} || end != time.data() + time.size()) {
        return "time_ms is not a number";
    }
    line.event = line.fields["event"];
    line.host = line.fields["host"];
    return line.event.empty() || line.host.empty() ? "no event or host" : "";
}

/// Returns a field's value, or an empty string when it is absent.
const std::string &fieldOf(const log_line &line, const std::string &name)
{
    static const std::string none;
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? none : found->second;
}

/// Whether the event concerns a whole host rather than one flow.
bool isHostEvent(const log_line &line)
{
    static const std::set<std::string> events{"started",
                                              "stopped",
                                              "leaving",
                                              "froze",
                                              "rotation_left",
                                              "rotation_joined",
                                              "store_lost",
                                              "store_regained",
                                              "store_restored",
                                              "config_accepted",
                                              "view_listed",
                                              "evacuation",
                                              "view_history_gone",
                                              "send_failed",
                                              "settings_reloaded",
                                              "settings_rejected",
                                              "state"};
    return events.count(line.event) != 0;
}

/// Whether the event concerns the state of an upstream.
bool isUpstreamEvent(const log_line &line)
{
    return line.event == "upstream_entry" || line.event == "upstream_gone"
        || line.event == "upstream_silent" || line.event == "answer_slow";
}

} // namespace

void readLog(const std::string &fileName, std::istream &stream, log_contents &contents)
{
    std::string text;
    for (std::size_t number = 1; std::getline(stream, text); ++number) {
        if (text.empty()) {
            continue;
        }
        log_line line;
        const std::string problem = parseLine(text, line);
        if (problem.empty()) {
            contents.lines.push_back(std::move(line));
        } else {
            contents.badLines.push_back(bad_line{fileName, number, problem});
        }
    }
}

std::vector<const log_line *> findFlowLines(const log_contents &contents, const std::string &flow,
                                            std::int64_t aroundMs)
{
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    std::int64_t last = std::numeric_limits<std::int64_t>::min();
    std::set<std::string> hosts;
    std::set<std::string> upstreams;
    const auto isFlowLine = [&](const log_line &line) {
        return fieldOf(line, "flow").compare(0, flow.size(), flow) == 0;
    };
    for (const log_line &line : contents.lines) {
        if (isFlowLine(line)) {
            first = std::min(first, line.timeMs);
            last = std::max(last, line.timeMs);
            hosts.insert(line.host);
            if (!fieldOf(line, "upstream").empty()) {
                upstreams.insert(fieldOf(line, "upstream"));
            }
        }
    }
    std::vector<const log_line *> found;
    if (hosts.empty()) {
        return found;
    }
    for (const log_line &line : contents.lines) {
        const bool isInWindow = line.timeMs >= first - aroundMs && line.timeMs <= last + aroundMs
            && hosts.count(line.host) != 0;
        const bool isRelated = isHostEvent(line)
            || (isUpstreamEvent(line) && upstreams.count(fieldOf(line, "upstream")) != 0);
        if (isFlowLine(line) || (isInWindow && isRelated)) {
            found.push_back(&line);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const log_line *a, const log_line *b) { return a->timeMs < b->timeMs; });
    return found;
}

std::map<std::string, host_summary> summarizeHosts(const log_contents &contents)
{
    std::vector<const log_line *> lines;
    for (const log_line &line : contents.lines) {
        lines.push_back(&line);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_line *a, const log_line *b) { return a->timeMs < b->timeMs; });
    std::map<std::string, host_summary> hosts;
    for (const log_line *line : lines) {
        host_summary &host = hosts[line->host];
        host.lastMs = line->timeMs;
        if (line->event == "started") {
            host = host_summary{nullptr, line->timeMs, "running", ""};
        } else if (line->event == "state") {
            host.state = line;
        } else if (line->event == "leaving" || line->event == "stopped") {
            host.lifecycleState = line->event;
        } else if (line->event == "store_lost") {
            host.storeLossReason = fieldOf(*line, "reason");
        } else if (line->event == "store_regained") {
            host.storeLossReason.clear();
        }
    }
    return hosts;
}

} // namespace figstair
