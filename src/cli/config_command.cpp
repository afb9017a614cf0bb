#include <algorithm>
#include <iostream>
#include <optional>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "command_options.h"
#include "figstair/cli/commands.h"
#include "figstair/core/view/config_check.h"
#include "figstair/host/ini_settings.h"
#include "platform/adapter.h"

namespace leaf = boost::leaf;
namespace po = boost::program_options;
using nlohmann::json;

namespace figstair {
namespace {

struct file_finding
{
    std::string fileName;
    config_finding finding;
};

void append(const std::string &fileName, const std::vector<config_finding> &added,
            std::vector<file_finding> &findings)
{
    for (const config_finding &finding : added) {
        findings.push_back({fileName, finding});
    }
}

/// Reads a configuration. Appends errors to @p findings and returns nothing when it cannot.
std::optional<route_config> loadConfig(const std::string &fileName,
                                       std::vector<file_finding> &findings)
{
    using loaded = std::optional<route_config>;
    const auto fail = [&](const std::vector<config_finding> &errors) {
        append(fileName, errors, findings);
        return loaded();
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<loaded> {
            BOOST_LEAF_AUTO(text, readTextFile(fileName));
            BOOST_LEAF_AUTO(config, platform::adapter().decodeConfigFile(text));
            return loaded(std::move(config));
        },
        [&](const undecodable_config &error) { return fail(error.findings); },
        [&] {
            return fail({{finding_severity::error, "file", "cannot be read"}});
        });
}

/// Replaces control characters, so that a name with a line break does not look like two findings.
std::string toOneLine(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char character) { return static_cast<unsigned char>(character) < ' '; }, '?');
    return text;
}

void printText(const std::vector<file_finding> &findings)
{
    for (const auto &[fileName, finding] : findings) {
        std::cout << toOneLine(fileName + ": " + std::string(toText(finding.severity)) + ": "
                               + finding.place + ": " + finding.text)
                  << "\n";
    }
}

void printJson(const std::vector<file_finding> &findings)
{
    json list = json::array();
    for (const auto &[fileName, finding] : findings) {
        list.push_back({{"file", fileName},
                        {"severity", toText(finding.severity)},
                        {"place", finding.place},
                        {"text", finding.text}});
    }
    // A file name need not be UTF-8, which dump() would reject.
    std::cout << list.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

int runCheck(const arguments &args)
{
    po::options_description description("figstair config check FILE [--against FILE] [--json]");
    description.add_options()("file", po::value<std::string>()->required(),
                              "file with the configuration as the store holds it")(
        "against", po::value<std::string>(),
        "file with the configuration in force, to print the differences from")(
        "json", "print the findings as a list of JSON objects");
    const command_options options(args, description, "file");
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    const auto fileName = options.get<std::string>("file");
    std::vector<file_finding> findings;
    const auto config = loadConfig(fileName, findings);
    if (config) {
        append(fileName, checkConfig(*config), findings);
    }
    if (options.has("against")) {
        const auto before = loadConfig(options.get<std::string>("against"), findings);
        if (config && before) {
            append(fileName, compareConfigs(*before, *config), findings);
        }
    }
    if (options.has("json")) {
        printJson(findings);
    } else {
        printText(findings);
    }
    if (findings.empty()) {
        return exitSuccess;
    }
    const bool hasErrors =
        std::any_of(findings.begin(), findings.end(), [](const file_finding &item) {
            return item.finding.severity == finding_severity::error;
        });
    return hasErrors ? exitBadInput : exitDiffers;
}

} // namespace

int runConfig(const arguments &args)
{
    if (!args.empty() && args.front() == "check") {
        return runCheck({args.begin() + 1, args.end()});
    }
    const bool isHelp = !args.empty() && args.front() == "--help";
    std::ostream &out = isHelp ? std::cout : std::cerr;
    out << "figstair config check FILE [--against FILE] [--json] [--help]\n";
    return isHelp ? exitSuccess : exitUsage;
}

} // namespace figstair
