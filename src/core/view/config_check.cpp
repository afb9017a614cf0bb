#include "figstair/core/view/config_check.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>

namespace figstair {
namespace {

/// Highest value of route::priority with which the order of held flows is as documented there.
constexpr unsigned maxPriority = 999;

/// Labels and values of the parts of an entry that a comparison shows.
using labelled_values = std::vector<std::pair<const char *, std::string>>;

std::string placeOf(const route &item)
{
    return "routes/" + item.name;
}

std::string placeOf(const service_limits &item)
{
    return "services/" + item.name;
}

std::string toText(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

/// Shortest text from which the same number is read, so that different numbers differ.
std::string toText(double number)
{
    std::array<char, 32> text{};
    return {text.data(), std::to_chars(text.data(), text.data() + text.size(), number).ptr};
}

std::string toText(const std::vector<weighted_service> &services)
{
    std::string text;
    for (const weighted_service &choice : services) {
        text += (text.empty() ? "" : ", ") + choice.service + " " + std::to_string(choice.weight);
    }
    return text;
}

std::string addressText(const route &item)
{
    return boost::asio::ip::make_address_v4(item.address).to_string() + ":"
        + std::to_string(item.port);
}

labelled_values valuesOf(const route &item)
{
    return {{"address", addressText(item)},
            {"weights", toText(item.services)},
            {"timeout", toText(item.timeout)},
            {"latency target", toText(item.latencyTarget)},
            {"priority", std::to_string(item.priority)}};
}

labelled_values valuesOf(const service_limits &item)
{
    return {{"flow limit", std::to_string(item.maxFlows)},
            {"warm-up", toText(item.warmup)},
            {"cold requests per second", toText(item.coldRequestsPerSecond)}};
}

/// Describes the values that differ; empty if none does. Both lists have the same labels.
std::string changesBetween(const labelled_values &before, const labelled_values &after)
{
    std::string text;
    for (std::size_t index = 0; index < before.size(); ++index) {
        const auto &[label, value] = before[index];
        if (value != after[index].second) {
            text += (text.empty() ? "" : "; ") + std::string(label) + " from " + value + " to "
                + after[index].second;
        }
    }
    return text;
}

template <typename entry>
void compareEntries(const std::vector<entry> &before, const std::vector<entry> &after,
                    std::vector<config_finding> &findings)
{
    std::unordered_map<std::string, const entry *> beforeByName;
    for (const entry &item : before) {
        beforeByName.emplace(item.name, &item);
    }
    std::unordered_set<std::string> namesAfter;
    for (const entry &item : after) {
        namesAfter.insert(item.name);
        const auto found = beforeByName.find(item.name);
        if (found == beforeByName.end()) {
            findings.push_back({finding_severity::difference, placeOf(item), "added"});
            continue;
        }
        const std::string changes = changesBetween(valuesOf(*found->second), valuesOf(item));
        if (!changes.empty()) {
            findings.push_back(
                {finding_severity::difference, placeOf(item), "changed: " + changes});
        }
    }
    for (const entry &item : before) {
        if (namesAfter.insert(item.name).second) {
            findings.push_back({finding_severity::difference, placeOf(item), "removed"});
        }
    }
}

/// Checks one configuration entry by entry.
class config_checker
{
public:
    explicit config_checker(const route_config &config)
        : m_config(config)
    {
    }

    std::vector<config_finding> run()
    {
        for (const service_limits &item : m_config.services) {
            m_definedServices.insert(item.name);
        }
        for (const route &item : m_config.routes) {
            checkUniqueness(item);
            checkServices(item);
            checkLimits(item);
        }
        std::unordered_set<std::string> previousServices;
        for (const service_limits &item : m_config.services) {
            if (!previousServices.insert(item.name).second) {
                warn(item, "never used: a service before it has the same name");
                continue;
            }
            if (m_namedServices.count(item.name) == 0) {
                warn(item, "no route names this service");
            }
            if (item.warmup.count() > 0 && item.coldRequestsPerSecond == 0) {
                warn(item,
                     "has a warm-up of " + toText(item.warmup)
                         + ", but a rate of 0 requests per second for cold upstreams");
            }
        }
        return std::move(m_findings);
    }

private:
    template <typename entry> void warn(const entry &item, std::string text)
    {
        m_findings.push_back({finding_severity::warning, placeOf(item), std::move(text)});
    }

    void fail(const route &item, std::string text)
    {
        m_findings.push_back({finding_severity::error, placeOf(item), std::move(text)});
    }

    void checkUniqueness(const route &item)
    {
        // Hosts match routes by name when they send each other the difference of two versions.
        if (!m_routeNames.insert(item.name).second) {
            fail(item, "a route before it has the same name: hosts may lose one of them");
        }
        const std::uint64_t address = std::uint64_t{item.address} << 16U | item.port;
        const auto [first, isNew] = m_routesByAddress.try_emplace(address, &item);
        if (!isNew) {
            warn(item,
                 "never matches: " + placeOf(*first->second) + " before it has the same address "
                     + addressText(item));
        }
    }

    void checkServices(const route &item)
    {
        for (const weighted_service &choice : item.services) {
            m_namedServices.insert(choice.service);
            if (m_definedServices.count(choice.service) == 0) {
                warn(item, "names the service " + choice.service + ", which is not defined");
            }
        }
        if (std::all_of(item.services.begin(), item.services.end(),
                        [](const weighted_service &choice) { return choice.weight == 0; })) {
            warn(item, "forwards no flows: all its services have weight 0");
        }
    }

    void checkLimits(const route &item)
    {
        if (item.timeout.count() > 0 && item.latencyTarget > item.timeout) {
            warn(item,
                 "latency target of " + toText(item.latencyTarget) + " is above the timeout of "
                     + toText(item.timeout));
        }
        if (item.priority > maxPriority) {
            fail(item,
                 "priority " + std::to_string(item.priority) + " is above "
                     + std::to_string(maxPriority));
        }
    }

    const route_config &m_config;
    std::unordered_set<std::string> m_definedServices;
    std::unordered_set<std::string> m_namedServices;
    std::unordered_set<std::string> m_routeNames;
    std::unordered_map<std::uint64_t, const route *> m_routesByAddress;
    std::vector<config_finding> m_findings;
};

} // namespace

std::string_view toText(finding_severity severity)
{
    switch (severity) {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::difference:
        break;
    }
    return "difference";
}

std::vector<config_finding> checkConfig(const route_config &config)
{
    return config_checker(config).run();
}

std::vector<config_finding> compareConfigs(const route_config &before, const route_config &after)
{
    std::vector<config_finding> findings;
    compareEntries(before.routes, after.routes, findings);
    compareEntries(before.services, after.services, findings);
    if (before.idleTimeout != after.idleTimeout) {
        findings.push_back({finding_severity::difference, "limits",
                            "changed: idle timeout from " + toText(before.idleTimeout) + " to "
                                + toText(after.idleTimeout)});
    }
    // The same version is correct if nothing changed: the files are then the same configuration.
    if (after.version < before.version || (after.version == before.version && !findings.empty())) {
        findings.push_back({finding_severity::warning, "version",
                            std::to_string(after.version) + " is not higher than "
                                + std::to_string(before.version)
                                + ": hosts keep the other configuration"});
    }
    return findings;
}

} // namespace figstair
