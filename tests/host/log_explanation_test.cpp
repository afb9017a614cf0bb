#include "figstair/host/log_explanation.h"

#include <sstream>

#include <doctest/doctest.h>

using namespace figstair;

namespace {

std::string explanationOfText(const std::string &text)
{
    std::istringstream stream("time_ms=1 host=h " + text + "\n");
    log_contents contents;
    readLog("log", stream, contents);
    REQUIRE(contents.lines.size() == 1);
    return explanationOf(contents.lines.front());
}

bool has(const std::string &text, const char *part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("log_explanation: a flow refused for overload: says by how much, and that it has not run")
{
    const std::string text = explanationOfText(
        "event=flow_refused flow=10.0.0.1:1>198.18.0.1:443 reason=overloaded service=desk "
        "predicted_ms=60000 most_ms=1250 arrivals_per_s=644 open=18 slots=10.0 report_age_ms=97");
    CHECK(has(text, "644 new flows a second"));
    CHECK(has(text, "18 requests open for its share of 10.0 slots"));
    CHECK(has(text, "has not run"));
}

TEST_CASE("log_explanation: a flow dropped: says that the caller was not told, and why")
{
    const std::string text =
        explanationOfText("event=flow_dropped reason=held_too_long service=desk age_ms=1250");
    CHECK(has(text, "1250 ms since its caller's first SYN"));
    CHECK(has(text, "was not told"));
}

TEST_CASE("log_explanation: every reason for which a flow is refused or dropped: is explained")
{
    for (const char *reason : {"overloaded", "no_route", "no_upstream", "caller_over_share",
                               "held_too_long", "too_many_held"}) {
        CAPTURE(reason);
        CHECK_FALSE(explanationOfText(std::string("event=flow_refused reason=") + reason).empty());
    }
    CHECK_FALSE(explanationOfText("event=packet_dropped reason=unknown_tag").empty());
}

TEST_CASE("log_explanation: other events and unknown reasons: need none")
{
    CHECK(explanationOfText("event=flow_placed reason=least_load").empty());
    CHECK(explanationOfText("event=flow_refused reason=new_in_a_later_version").empty());
    CHECK(explanationOfText("event=flow_refused").empty());
}
