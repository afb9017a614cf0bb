#include "figstair/core/view/route_table.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace figstair;

namespace {

struct two_routes
{
    two_routes()
    {
        config.version = 7;
        config.routes.push_back(route{"plain", 10, 443, {{"desk", 1}}, {}, {}, 1});
        config.routes.push_back(route{"split", 10, 80, {{"desk", 90}, {"new", 10}}, {}, {}, 2});
        config.services.push_back(service_limits{"desk", 2000, milliseconds(2000), 3.0});
        table.accept(config);
    }

    route_config config;
    route_table table;
};

flow_id flowTo(std::uint32_t address, std::uint16_t port, std::uint16_t callerPort = 1)
{
    return flow_id{99, address, callerPort, port};
}

} // namespace

TEST_CASE_FIXTURE(two_routes, "route_table: address and port of a route: found, others are not")
{
    REQUIRE(table.find(flowTo(10, 443)) != nullptr);
    CHECK(table.find(flowTo(10, 443))->name == "plain");
    CHECK(table.find(flowTo(10, 444)) == nullptr);
    CHECK(table.find(flowTo(11, 443)) == nullptr);
}

TEST_CASE_FIXTURE(two_routes,
                  "route_table: the same or an older version: rejected, the current one stays")
{
    route_config older;
    older.version = 6;
    CHECK_FALSE(table.accept(older));
    CHECK_FALSE(table.accept(config));
    CHECK(table.find(flowTo(10, 443)) != nullptr);
    older.version = 8;
    CHECK(table.accept(older));
    CHECK(table.find(flowTo(10, 443)) == nullptr);
}

TEST_CASE_FIXTURE(
    two_routes, "route_table: weights 90 to 10: flows split by weight, each always to one service")
{
    const route *split = table.find(flowTo(10, 80));
    REQUIRE(split != nullptr);
    int toNew = 0;
    for (std::uint16_t port = 0; port < 10000; ++port) {
        const flow_id flow = flowTo(10, 80, port);
        const std::string &service = table.serviceFor(*split, flow);
        CHECK(service == table.serviceFor(*split, flow));
        toNew += service == "new" ? 1 : 0;
    }
    CHECK(toNew > 850);
    CHECK(toNew < 1150);
}

TEST_CASE_FIXTURE(two_routes, "route_table: a service without limits: has defaults")
{
    CHECK(table.limitsOf("desk").coldRequestsPerSecond == doctest::Approx(3.0));
    CHECK(table.limitsOf("other").coldRequestsPerSecond == doctest::Approx(0.0));
}

namespace {

/// Names, addresses and services of the routes of @p table, in the order of their names.
std::vector<std::string> routesOf(const route_table &table)
{
    std::vector<std::string> routes;
    for (const route &entry : table.config().routes) {
        const route *found = table.find(flowTo(entry.address, entry.port));
        routes.push_back(entry.name + " " + std::to_string(entry.address) + " "
                         + entry.services.front().service + " "
                         + (found == nullptr ? "not found" : found->name));
    }
    std::sort(routes.begin(), routes.end());
    return routes;
}

/// Up to 60 routes; those with the same number have the same name, but not always the same address
/// and priority.
route_config randomConfig(std::mt19937 &random, std::uint64_t version)
{
    route_config config;
    config.version = version;
    const std::uint32_t firstAddress = random() % 3;
    for (std::uint32_t number = 0; number < 60; ++number) {
        if (random() % 3 != 0) {
            config.routes.push_back(route{"route-" + std::to_string(number),
                                          firstAddress + number,
                                          443,
                                          {{number % 2 == 0 ? "desk" : "other", 1}},
                                          {},
                                          {},
                                          unsigned(random() % 4)});
        }
    }
    return config;
}

} // namespace

TEST_CASE("route_table: 300 patches in a row: the same table as from whole configurations")
{
    std::mt19937 random(5);
    route_table patched;
    route_config current = randomConfig(random, 1);
    patched.accept(current);
    for (std::uint64_t version = 2; version <= 300; ++version) {
        const route_config next = randomConfig(random, version);
        REQUIRE(patched.accept(patchBetween(current, next)));
        route_table whole;
        whole.accept(next);
        REQUIRE((routesOf(patched) == routesOf(whole)));
        REQUIRE(patched.mostUrgentPriority("desk") == whole.mostUrgentPriority("desk"));
        REQUIRE(patched.mostUrgentPriority("other") == whole.mostUrgentPriority("other"));
        current = next;
    }
}

TEST_CASE_FIXTURE(two_routes,
                  "route_table: two routes share an address and one is removed: the other is found")
{
    route_config shared = config;
    shared.version = 8;
    shared.routes.push_back(route{"copy", 10, 443, {{"desk", 1}}, {}, {}, 1});
    REQUIRE(table.accept(patchBetween(config, shared)));
    route_config left = shared;
    left.version = 9;
    left.routes.erase(left.routes.begin());
    REQUIRE(table.accept(patchBetween(shared, left)));
    REQUIRE(table.find(flowTo(10, 443)) != nullptr);
    CHECK(table.find(flowTo(10, 443))->name == "copy");
    CHECK(table.find(flowTo(10, 80)) != nullptr);
}

TEST_CASE_FIXTURE(two_routes, "route_table: a patch for another version: rejected")
{
    route_config next = config;
    next.version = 9;
    config_patch patch = patchBetween(config, next);
    patch.baseVersion = 6;
    CHECK_FALSE(table.accept(patch));
    CHECK(table.config().version == 7);
}
