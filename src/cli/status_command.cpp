#include <chrono>
#include <iomanip>
#include <iostream>
#include <set>
#include <thread>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "command_options.h"
#include "figstair/cli/commands.h"
#include "figstair/host/system_clock_source.h"
#include "figstair/store/http_client.h"
#include "log_input.h"

namespace leaf = boost::leaf;
namespace po = boost::program_options;
using nlohmann::json;

namespace figstair {
namespace {

constexpr milliseconds requestTimeout{2000};
constexpr milliseconds pollInterval{50};

leaf::result<json> getJson(const endpoint &address, const std::string &path)
{
    BOOST_LEAF_AUTO(body, httpGet(address, path, requestTimeout));
    try {
        return json::parse(body);
    } catch (const json::exception &error) {
        return leaf::new_error(http_error{toString(address), error.what()});
    }
}

/// Returns the status addresses of the members in @p status that are neither dead nor left.
std::set<endpoint> statusAddresses(const json &status)
{
    std::set<endpoint> addresses;
    for (const json &host : status.at("members")) {
        const auto state = host.at("state").get<std::string>();
        auto address = parseEndpoint(host.at("address").get<std::string>());
        if (address && state != "dead" && state != "left") {
            address->port = host.at("status_port").get<std::uint16_t>();
            addresses.insert(*address);
        }
    }
    return addresses;
}

void printStatus(const json &status)
{
    std::cout << "host=" << status.at("host").get<std::string>()
              << " zone=" << status.at("zone").get<std::string>()
              << " life=" << status.at("life").get<std::string>()
              << " revision=" << status.at("revision")
              << " confirmed_age_ms=" << status.at("confirmed_age_ms") << "\n";
    for (const json &host : status.at("members")) {
        std::cout << "member=" << host.at("name").get<std::string>()
                  << " zone=" << host.at("zone").get<std::string>()
                  << " state=" << host.at("state").get<std::string>() << "\n";
    }
    for (const json &gate : status.at("gates")) {
        std::cout << "gate=" << gate.at("upstream").get<std::string>()
                  << " phase=" << gate.at("phase").get<std::string>()
                  << " limit=" << gate.at("limit") << " running=" << gate.at("running")
                  << " waiting=" << gate.at("waiting") << " flows=" << gate.at("flows") << "\n";
    }
    for (const auto &[name, value] : status.at("counters").items()) {
        if (value.get<std::uint64_t>() > 0) {
            std::cout << "count." << name << "=" << value << "\n";
        }
    }
}

/// Collects the spans of one trace from all hosts and prints them. Hosts that do not respond are
/// skipped.
leaf::result<int> printTrace(const endpoint &address, const std::string &traceId)
{
    BOOST_LEAF_AUTO(status, getJson(address, "/status"));
    json spans = json::array();
    for (const endpoint &host : statusAddresses(status)) {
        const json hostSpans = leaf::try_handle_all(
            [&] { return getJson(host, "/trace?id=" + traceId); }, [] { return json::array(); });
        spans.insert(spans.end(), hostSpans.begin(), hostSpans.end());
    }
    for (const json &span : spans) {
        std::cout << "trace=" << span.at("trace").get<std::string>()
                  << " span=" << span.at("span").get<std::string>()
                  << " parent=" << span.at("parent").get<std::string>()
                  << " host=" << span.at("host").get<std::string>()
                  << " name=" << span.at("name").get<std::string>()
                  << " start_ms=" << span.at("start_ms")
                  << " duration_ms=" << span.at("duration_ms")
                  << " upstream_id=" << span.at("upstream_id") << "\n";
    }
    return spans.empty() ? exitDiffers : exitSuccess;
}

/// Returns whether each member that the host at @p address lists, except dead and left ones, has
/// finished joining and has a table of at least @p revision. False when any of them is unreachable.
bool isInForce(const endpoint &address, std::uint64_t revision)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(status, getJson(address, "/status"));
            for (const endpoint &host : statusAddresses(status)) {
                BOOST_LEAF_AUTO(hostStatus, getJson(host, "/status"));
                if (hostStatus.at("revision").get<std::uint64_t>() < revision
                    || hostStatus.at("life").get<std::string>() == "joining") {
                    return false;
                }
            }
            return true;
        },
        [] { return false; });
}

int waitForRevision(const endpoint &address, std::uint64_t revision, milliseconds timeout)
{
    const system_clock_source clock;
    const monotonic_time start = clock.monotonic();
    while (!isInForce(address, revision)) {
        if (clock.monotonic() - start > timeout) {
            std::cerr << "revision " << revision << " is not in force on all hosts\n";
            return exitUnreachable;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    std::cout << "revision=" << revision
              << " in_force_after_ms=" << (clock.monotonic() - start).count() << "\n";
    return exitSuccess;
}

/// Prints the last known state of each host that appears in the logs.
int printLogSummaries(const std::vector<std::string> &names)
{
    log_contents contents;
    if (!readLogs(names, contents)) {
        return exitBadInput;
    }
    const auto hosts = summarizeHosts(contents);
    for (const auto &[name, host] : hosts) {
        std::cout << "host=" << name << " life=" << host.lifecycleState
                  << " last_line_ms=" << host.lastMs
                  << " store=" << (host.storeLossReason.empty() ? "reached" : host.storeLossReason);
        if (host.state != nullptr) {
            std::cout << " state_ms=" << host.state->timeMs;
            for (const auto &[key, value] : host.state->fields) {
                if (key != "time_ms" && key != "event" && key != "host") {
                    std::cout << " " << key << "=" << value;
                }
            }
        }
        std::cout << "\n";
    }
    return hosts.empty() ? exitDiffers : exitSuccess;
}

} // namespace

int runStatus(const arguments &args)
{
    po::options_description description(
        "figstair status --host IP:PORT | [FILE...]\n"
        "Queries a running host, or summarizes the log lines of entry hosts "
        "from files or\nstandard input");
    description.add_options()("host", po::value<std::string>(), "status address of a host")(
        "file", po::value<std::vector<std::string>>(), "log files")(
        "trace", po::value<std::string>(), "show the spans of this trace ID from all hosts")(
        "metrics", "show metrics in the Prometheus text format")(
        "wait-revision", po::value<std::uint64_t>(),
        "wait until this table revision is in force on all hosts")(
        "timeout-ms", po::value<std::int64_t>()->default_value(15000),
        "timeout of --wait-revision");
    const command_options options(args, description, "file", -1);
    if (options.helpWasPrinted()) {
        return exitSuccess;
    }
    if (!options.has("host")) {
        return printLogSummaries(options.list("file"));
    }
    const auto address = parseEndpoint(options.get<std::string>("host"));
    if (!address) {
        std::cerr << "--host: expected an IP address and port such as 10.0.0.1:7200\n";
        return exitUsage;
    }
    if (options.has("wait-revision")) {
        return waitForRevision(*address, options.get<std::uint64_t>("wait-revision"),
                               milliseconds(options.get<std::int64_t>("timeout-ms")));
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            if (options.has("trace")) {
                return printTrace(*address, options.get<std::string>("trace"));
            }
            if (options.has("metrics")) {
                BOOST_LEAF_AUTO(text, httpGet(*address, "/metrics", requestTimeout));
                std::cout << text;
                return exitSuccess;
            }
            BOOST_LEAF_AUTO(status, getJson(*address, "/status"));
            printStatus(status);
            return exitSuccess;
        },
        [](const http_error &error) {
            std::cerr << error.address << ": " << error.problem << "\n";
            return static_cast<int>(exitUnreachable);
        },
        [] { return static_cast<int>(exitUnreachable); });
}

} // namespace figstair
