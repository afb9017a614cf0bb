#include "figstair/core/state_chart.h"

#include <doctest/doctest.h>

#include "errors.h"

using namespace figstair;

TEST_CASE("state_chart: the embedded charts: start in their initial states")
{
    CHECK(hostChart().initial() == "joining");
    CHECK(upstreamChart().initial() == "unknown");
}

TEST_CASE("chart_position: an event without a transition: changes nothing")
{
    chart_position position(hostChart());
    CHECK_FALSE(position.fire("freeze"));
    CHECK(position.is("joining"));
    CHECK(position.fire("ready"));
    CHECK(position.fire("freeze"));
    CHECK(position.is("rejoining"));
}

TEST_CASE("state_chart: a transition to an undefined state: is rejected by name")
{
    const auto error = errorOf<chart_error>([] {
        return state_chart::parse("<scxml initial=\"a\"><state id=\"a\">"
                                  "<transition event=\"e\" target=\"b\"/></state></scxml>");
    });
    REQUIRE(error.has_value());
    CHECK(error->problem == "state 'a' event 'e' leads to undefined state 'b'");
}

TEST_CASE("state_chart: text that is not a chart: is rejected")
{
    CHECK(errorOf<chart_error>([] { return state_chart::parse("<scxml"); }).has_value());
    CHECK(errorOf<chart_error>([] { return state_chart::parse("<other/>"); }).has_value());
}
