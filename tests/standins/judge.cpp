#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "figstair/store/http_client.h"
#include "standin_tools.h"

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;
namespace po = boost::program_options;
using nlohmann::json;

namespace {

json readJson(const std::string &fileName)
{
    std::ifstream file(fileName);
    return json::parse(file);
}

/// Prints values, and for those with an upper bound whether they are within it.
class verdict
{
public:
    void printValue(const std::string &name, const std::string &value) { print(name, value, ""); }

    void requireAtMost(const std::string &name, std::uint64_t value, std::uint64_t limit)
    {
        const bool isWithinLimit = value <= limit;
        m_allHeld = m_allHeld && isWithinLimit;
        print(name, std::to_string(value), isWithinLimit ? "held" : "BROKEN");
    }

    bool allHeld() const { return m_allHeld; }

private:
    static void print(const std::string &name, const std::string &value, const std::string &state)
    {
        std::cout << std::left << std::setw(46) << name << std::right << std::setw(12) << value
                  << "  " << state << "\n";
    }

    bool m_allHeld = true;
};

std::uint64_t countOf(const json &callers, const char *name)
{
    return callers.at("counts").value(name, std::uint64_t{0});
}

std::uint64_t sumOf(const json &upstreams, const char *name)
{
    std::uint64_t sum = 0;
    for (const json &upstream : upstreams.at("upstreams")) {
        sum += upstream.at(name).get<std::uint64_t>();
    }
    return sum;
}

std::uint64_t receivedInZone(const json &upstreams, const std::string &zone)
{
    std::uint64_t sum = 0;
    for (const json &upstream : upstreams.at("upstreams")) {
        if (upstream.at("zone") == zone) {
            sum += upstream.at("received").get<std::uint64_t>();
        }
    }
    return sum;
}

/// Maximum over mean of requests served per unit of weight, among the upstreams of @p service
/// outside @p exceptZone and other than @p exceptName.
std::string imbalance(const json &upstreams, const std::string &service,
                      const std::string &exceptZone, const std::string &exceptName)
{
    double sum = 0;
    double maxShare = 0;
    double count = 0;
    for (const json &upstream : upstreams.at("upstreams")) {
        const double weight = upstream.at("weight").get<double>();
        if (upstream.at("service") != service || upstream.at("zone") == exceptZone
            || upstream.at("name") == exceptName || weight == 0) {
            continue;
        }
        const double share = upstream.at("served").get<double>() / weight;
        sum += share;
        maxShare = std::max(maxShare, share);
        count += 1;
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << (sum > 0 ? maxShare * count / sum : 0);
    return text.str();
}

} // namespace

/// Compares the reports of callers and upstreams; returns 0 if all values are within their bounds,
/// 1 otherwise.
int runJudge(const standin_words &words)
{
    po::options_description options;
    options.add_options()("callers", po::value<std::string>()->required())(
        "upstreams", po::value<std::string>()->required())(
        "out-start", po::value<std::string>()->default_value(""))(
        "out-end", po::value<std::string>()->default_value(""))(
        "out-zone", po::value<std::string>()->default_value(""))(
        "drained", po::value<std::string>()->default_value(""))(
        "in-force-ms", po::value<std::vector<std::uint64_t>>()->multitoken());
    const auto values = standins::readOptions(words, options);
    const json callers = readJson(values["callers"].as<std::string>());
    const json upstreams = readJson(values["upstreams"].as<std::string>());
    const auto evacuatedZone = values["out-zone"].as<std::string>();

    std::uint64_t brokenElsewhere = 0;
    std::uint64_t brokenInEvacuatedZone = 0;
    for (const auto &[zone, count] : callers.at("broken_by_zone").items()) {
        (zone == evacuatedZone ? brokenInEvacuatedZone : brokenElsewhere) +=
            count.get<std::uint64_t>();
    }
    std::set<std::string> ordersRun;
    for (const json &order : upstreams.at("orders_run")) {
        ordersRun.insert(order.get<std::string>());
    }
    std::uint64_t falseRefusals = 0;
    for (const json &order : callers.at("orders_refused_as_not_run")) {
        falseRefusals += ordersRun.count(order.get<std::string>());
    }
    std::uint64_t answersWithoutRun = 0;
    for (const json &order : callers.at("orders_answered")) {
        answersWithoutRun += ordersRun.count(order.get<std::string>()) == 0 ? 1 : 0;
    }

    verdict result;
    for (const char *name :
         {"flows", "requests", "answered", "refused_overloaded", "refused_not_run", "unknown",
          "timeouts", "open_timeouts", "repeats", "flows_lost_before_first_answer"}) {
        result.printValue(name, std::to_string(countOf(callers, name)));
    }
    const json &latency = callers.at("latency_ms");
    result.printValue("latency p50 / p99 (ms)",
                      latency.at("p50").dump() + " / " + latency.at("p99").dump());
    std::set<std::string> services;
    for (const json &upstream : upstreams.at("upstreams")) {
        services.insert(upstream.at("service").get<std::string>());
    }
    for (const std::string &service : services) {
        result.printValue(
            "imbalance " + service,
            imbalance(upstreams, service, evacuatedZone, values["drained"].as<std::string>()));
    }
    result.printValue("flows given up in the zone taken out",
                      std::to_string(brokenInEvacuatedZone));
    result.requireAtMost("broken flows elsewhere", brokenElsewhere, 0);
    result.requireAtMost("most runs of one order",
                         upstreams.at("order_runs_most").get<std::uint64_t>(), 1);
    result.requireAtMost("orders refused as not run, but run", falseRefusals, 0);
    result.requireAtMost("orders answered, but not run", answersWithoutRun, 0);
    result.requireAtMost("wrong or mixed answers", countOf(callers, "wrong_answers"), 0);
    result.requireAtMost("packets at another service", sumOf(upstreams, "foreign"), 0);
    result.requireAtMost("work beyond what an upstream bears", sumOf(upstreams, "overruns"), 0);
    if (!evacuatedZone.empty()) {
        const json start = readJson(values["out-start"].as<std::string>());
        const json end = readJson(values["out-end"].as<std::string>());
        result.requireAtMost(
            "packets into the zone while out",
            receivedInZone(end, evacuatedZone) - receivedInZone(start, evacuatedZone), 0);
    }
    if (values.count("in-force-ms") != 0) {
        for (const std::uint64_t time : values["in-force-ms"].as<std::vector<std::uint64_t>>()) {
            constexpr std::uint64_t targetMs = 8000;
            result.requireAtMost("change in force everywhere (ms)", time, targetMs);
        }
    }
    return result.allHeld() ? 0 : 1;
}

/// Prints the page at IP:PORT and path given by @p words; returns 1 if the request fails.
int runGet(const standin_words &words)
{
    const auto where = standins::requireEndpoint(words.at(0));
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(body,
                            figstair::httpGet(where, words.at(1), figstair::milliseconds(5000)));
            std::cout << body << "\n";
            return 0;
        },
        [](const figstair::http_error &error) {
            std::cerr << error.address << ": " << error.problem << "\n";
            return 1;
        },
        [] { return 1; });
}
