#include "figstair/core/view/route_table.h"

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
