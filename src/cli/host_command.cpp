#include <iostream>

#include <boost/leaf.hpp>

#include "command_options.h"
#include "figstair/cli/commands.h"
#include "figstair/host/host_process.h"

namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace figstair {

int runHost(const arguments &args)
{
    po::options_description description("figstair host FILE.ini");
    description.add_options()("check-settings", "validate the settings file and exit")(
        "file", po::value<std::string>()->required(), "settings file");
    const command_options options(args, description, "file");
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    const auto fileName = options.get<std::string>("file");
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(text, readTextFile(fileName));
            BOOST_LEAF_AUTO(settings, parseSettings(fileName, text));
            if (options.has("check-settings")) {
                std::cout << fileName << ": settings are valid\n";
                return exitSuccess;
            }
            return host_process(settings).run();
        },
        [](const settings_error &error) {
            std::cerr << toText(error) << "\n";
            return static_cast<int>(exitBadInput);
        },
        [] { return static_cast<int>(exitBadInput); });
}

} // namespace figstair
