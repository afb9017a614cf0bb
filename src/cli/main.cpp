#include <cstdlib>
#include <exception>
#include <iostream>

#include <glog/logging.h>
#include <sodium.h>

#include "figstair/cli/commands.h"

namespace {

constexpr char usageText[] = R"(figstair: a layer-4 load balancer driven by a table

Usage:
  figstair host FILE.ini [--check-settings]   run one host
  figstair entry [FILE.ini]                   run one host on the platform
  figstair table check FILE.csv               validate a sheet
  figstair table diff|apply|show|history ...  compare, change or show the stored table
  figstair table rotate-key ...               add a new flow-token key
  figstair config check FILE ...              check a configuration of the platform
  figstair status --host IP:PORT ...          query a running host
  figstair status [FILE...]                   last known state of entry hosts, from logs
  figstair explain --flow FLOW [FILE...]      decisions about a flow, from hosts' logs
  figstair replay FILE...                     replay traces in simulated time
  figstair COMMAND --help                     options of one command
  figstair --version
)";

int dispatch(const std::string &command, const figstair::arguments &args)
{
    if (command == "host") {
        return figstair::runHost(args);
    }
    if (command == "entry") {
        return figstair::runEntry(args);
    }
    if (command == "table") {
        return figstair::runTable(args);
    }
    if (command == "config") {
        return figstair::runConfig(args);
    }
    if (command == "status") {
        return figstair::runStatus(args);
    }
    if (command == "explain") {
        return figstair::runExplain(args);
    }
    if (command == "replay") {
        return figstair::runReplay(args);
    }
    std::cerr << "figstair: unknown command '" << command << "'\n" << usageText;
    return figstair::exitUsage;
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argumentValues[0]);
    if (sodium_init() < 0) {
        std::cerr << "figstair: libsodium cannot be initialised\n";
        return EXIT_FAILURE;
    }
    const figstair::arguments args(argumentValues + 1, argumentValues + argumentCount);
    if (args.empty()) {
        std::cerr << usageText;
        return figstair::exitUsage;
    }
    if (args.front() == "--help") {
        std::cout << usageText;
        return figstair::exitSuccess;
    }
    if (args.front() == "--version") {
        std::cout << "figstair " << FIGSTAIR_VERSION << "\n";
        return figstair::exitSuccess;
    }
    try {
        return dispatch(args.front(), {args.begin() + 1, args.end()});
    } catch (const std::exception &error) {
        std::cerr << "figstair " << args.front() << ": " << error.what() << "\n";
        return figstair::exitUsage;
    }
}
