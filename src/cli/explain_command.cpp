#include <iostream>

#include "command_options.h"
#include "figstair/cli/commands.h"
#include "figstair/host/log_explanation.h"
#include "log_input.h"

namespace po = boost::program_options;

namespace figstair {
namespace {

constexpr std::int64_t defaultContextMs = 2000;

/// Prints @p lines with times relative to the first one. Those of @p flow are marked with "*" and
/// explained.
void printLines(const std::vector<const log_line *> &lines, const std::string &flow)
{
    const std::int64_t start = lines.front()->timeMs;
    for (const log_line *line : lines) {
        const auto flowField = line->fields.find("flow");
        const bool matchesFlow =
            flowField != line->fields.end() && flowField->second.compare(0, flow.size(), flow) == 0;
        std::cout << (matchesFlow ? "* " : "  ") << "+" << line->timeMs - start << "ms "
                  << line->host << " " << line->event;
        for (const auto &[key, value] : line->fields) {
            if (key != "time_ms" && key != "event" && key != "host") {
                std::cout << " " << key << "=" << value;
            }
        }
        std::cout << "\n";
        const std::string why = matchesFlow ? explanationOf(*line) : std::string();
        if (!why.empty()) {
            std::cout << "    why: " << why << "\n";
        }
    }
}

} // namespace

int runExplain(const arguments &args)
{
    po::options_description description("figstair explain --flow CALLER[>ROUTE] [FILE...]");
    description.add_options()(
        "flow", po::value<std::string>()->required(),
        "the flow, such as 100.64.0.7:40001>198.18.0.1:443, or a prefix of it")(
        "around-ms", po::value<std::int64_t>()->default_value(defaultContextMs),
        "time before and after the flow's lines in which events of its hosts and "
        "upstreams are shown")("file", po::value<std::vector<std::string>>(),
                               "log files; standard input when none is given");
    const command_options options(args, description, "file", -1);
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    log_contents contents;
    if (!readLogs(options.list("file"), contents)) {
        return exitBadInput;
    }
    const auto flow = options.get<std::string>("flow");
    const auto lines = findFlowLines(contents, flow, options.get<std::int64_t>("around-ms"));
    if (lines.empty()) {
        std::cerr << "figstair explain: no line names the flow " << flow
                  << "; at high rates a host logs only a sample of its decisions\n";
        return exitDiffers;
    }
    printLines(lines, flow);
    return exitSuccess;
}

} // namespace figstair
