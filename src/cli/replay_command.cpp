#include <iostream>

#include <boost/leaf.hpp>

#include "command_options.h"
#include "figstair/cli/commands.h"
#include "figstair/host/process_settings.h"
#include "figstair/replay/replay_world.h"

namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace figstair {
namespace {

/// Replays one trace file, prints its outcomes and returns an exit code.
int replayFile(const std::string &fileName, const replay_options &replay)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(text, readTextFile(fileName));
            BOOST_LEAF_AUTO(failures,
                            replayTrace(fileName, text, replay, [](const std::string &line) {
                                std::cout << "  " << line << "\n";
                            }));
            std::cout << fileName << ": "
                      << (failures == 0 ? "all outcomes held"
                                        : std::to_string(failures) + " outcomes failed")
                      << "\n";
            return failures == 0 ? exitSuccess : exitDiffers;
        },
        [](const trace_error &error) {
            std::cerr << toText(error) << "\n";
            return static_cast<int>(exitBadInput);
        },
        [](const settings_error &error) {
            std::cerr << toText(error) << "\n";
            return static_cast<int>(exitBadInput);
        },
        [] { return static_cast<int>(exitBadInput); });
}

} // namespace

int runReplay(const arguments &args)
{
    po::options_description description("figstair replay FILE...");
    description.add_options()("file", po::value<std::vector<std::string>>()->required(),
                              "trace files")("events",
                                             "print the hosts' log events to standard error")(
        "seed", po::value<std::uint64_t>(), "random seed; overrides the seed of each trace");
    const command_options options(args, description, "file", -1);
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    replay_options replay;
    replay.printsEvents = options.has("events");
    if (options.has("seed")) {
        replay.seed = options.get<std::uint64_t>("seed");
    }
    int exitCode = exitSuccess;
    for (const std::string &fileName : options.get<std::vector<std::string>>("file")) {
        exitCode = std::max(exitCode, replayFile(fileName, replay));
    }
    return exitCode;
}

} // namespace figstair
