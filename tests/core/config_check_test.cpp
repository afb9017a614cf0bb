#include "figstair/core/view/config_check.h"

#include <doctest/doctest.h>

using namespace figstair;

namespace {

/// Two routes and two services without findings.
struct two_services
{
    two_services()
    {
        config.version = 7;
        config.routes.push_back(route{
            "plain", 0xC6120001, 443, {{"desk", 1}}, milliseconds(4000), milliseconds(4000), 999});
        config.routes.push_back(route{"split", 0xC6120001, 80, {{"desk", 0}, {"new", 10}}, {}, {}});
        config.services.push_back(service_limits{"desk", 200, milliseconds(2000), 3.5});
        config.services.push_back(service_limits{"new", 0, milliseconds(0), 0});
        after = config;
    }

    /// The findings of checkConfig(), one a line.
    std::string check() const { return linesOf(checkConfig(config)); }

    /// The findings of compareConfigs(), one a line.
    std::string compare() const { return linesOf(compareConfigs(config, after)); }

    static std::string linesOf(const std::vector<config_finding> &findings)
    {
        std::string lines;
        for (const config_finding &finding : findings) {
            lines += std::string(toText(finding.severity)) + " " + finding.place + " "
                + finding.text + "\n";
        }
        return lines;
    }

    route_config config;
    route_config after; ///< the same as config until a test changes it
};

} // namespace

// Guards against false alarms at the bounds: priority 999, a target equal to the timeout, no stated
// timeout, one of two weights 0, no warm-up and a cold rate of 0.
TEST_CASE_FIXTURE(two_services, "config_check: a correct configuration: nothing is found")
{
    CHECK(check().empty());
    config.routes[1].latencyTarget = milliseconds(500);
    CHECK(check().empty());
}

TEST_CASE_FIXTURE(two_services,
                  "config_check: address and port of a route before: the later one is named")
{
    config.routes[1].port = 443;
    CHECK(check()
          == "warning routes/split never matches: routes/plain before it has the same address "
             "198.18.0.1:443\n");
}

// Hosts send each other differences by route name; of two routes with one name they lose one.
TEST_CASE_FIXTURE(two_services, "config_check: two routes with one name: an error")
{
    config.routes[1].name = "plain";
    CHECK(
        check()
        == "error routes/plain a route before it has the same name: hosts may lose one of them\n");
}

TEST_CASE_FIXTURE(two_services, "config_check: all weights of a route are 0: a warning")
{
    config.routes[1].services[1].weight = 0;
    CHECK(check() == "warning routes/split forwards no flows: all its services have weight 0\n");
}

TEST_CASE_FIXTURE(two_services,
                  "config_check: services not named, not defined or defined twice: warnings")
{
    config.routes[1].services[1].service = "mew";
    config.services.push_back(config.services[0]);
    CHECK(check()
          == "warning routes/split names the service mew, which is not defined\n"
             "warning services/new no route names this service\n"
             "warning services/desk never used: a service before it has the same name\n");
}

TEST_CASE_FIXTURE(two_services, "config_check: limits that contradict each other: all are found")
{
    config.routes[0].latencyTarget = milliseconds(4001);
    config.routes[0].priority = 1000;
    config.services[0].coldRequestsPerSecond = 0;
    CHECK(check()
          == "warning routes/plain latency target of 4001 ms is above the timeout of 4000 ms\n"
             "error routes/plain priority 1000 is above 999\n"
             "warning services/desk has a warm-up of 2000 ms, but a rate of 0 requests per second "
             "for cold upstreams\n");
}

TEST_CASE_FIXTURE(two_services, "config_check: the same configuration: no difference")
{
    CHECK(compare().empty());
    after.version = 8;
    CHECK(compare().empty());
}

// Hosts ignore such a configuration without an error, so its author would wait for its effect.
TEST_CASE_FIXTURE(two_services, "config_check: the version is not higher: a warning")
{
    after.idleTimeout = milliseconds(15000);
    CHECK(compare()
          == "difference limits changed: idle timeout from 0 ms to 15000 ms\n"
             "warning version 7 is not higher than 7: hosts keep the other configuration\n");
    after = config;
    after.version = 6;
    CHECK(compare()
          == "warning version 6 is not higher than 7: hosts keep the other configuration\n");
}

TEST_CASE_FIXTURE(two_services,
                  "config_check: entries added, removed and changed: each with what changed")
{
    after.version = 8;
    after.routes[0] = route{"plain", 0xC6120002, 8443, {{"desk", 9}, {"new", 1}}, {}, {}, 2};
    after.routes[1].name = "other";
    after.services[0] = service_limits{"desk", 100, milliseconds(1500), 0.1};
    after.services[1].name = "third";
    CHECK(
        compare()
        == "difference routes/plain changed: address from 198.18.0.1:443 to 198.18.0.2:8443; "
           "weights from desk 1 to desk 9, new 1; timeout from 4000 ms to 0 ms; latency target "
           "from 4000 ms to 0 ms; priority from 999 to 2\n"
           "difference routes/other added\n"
           "difference routes/split removed\n"
           "difference services/desk changed: flow limit from 200 to 100; warm-up from 2000 ms to "
           "1500 ms; cold requests per second from 3.5 to 0.1\n"
           "difference services/third added\n"
           "difference services/new removed\n");
}
