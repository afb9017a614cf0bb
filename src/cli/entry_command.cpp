#include <iostream>

#include <boost/leaf.hpp>

#include "command_options.h"
#include "figstair/cli/commands.h"
#include "figstair/host/entry_process.h"
#include "platform/adapter.h"

namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace figstair {

int runEntry(const arguments &args)
{
    po::options_description description("figstair entry [FILE.ini]");
    description.add_options()("check-settings", "validate the settings file and exit")(
        "file", po::value<std::string>(),
        "settings file; defaults to the path that the platform provides");
    const command_options options(args, description, "file");
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    const platform::adapter adapter;
    const auto fileName =
        options.has("file") ? options.get<std::string>("file") : adapter.settingsPath();
    if (fileName.empty()) {
        std::cerr
            << "figstair entry: no settings file: none was given and the platform provides none\n";
        return exitUsage;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(text, readTextFile(fileName));
            BOOST_LEAF_AUTO(settings, parseEntrySettings(fileName, text));
            if (options.has("check-settings")) {
                std::cout << fileName << ": settings are valid\n";
                return exitSuccess;
            }
            return entry_process(settings, fileName, adapter).run();
        },
        [](const settings_error &error) {
            std::cerr << toText(error) << "\n";
            return static_cast<int>(exitBadInput);
        },
        [] { return static_cast<int>(exitBadInput); });
}

} // namespace figstair
