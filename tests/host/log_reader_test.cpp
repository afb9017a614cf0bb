#include "figstair/host/log_reader.h"

#include <sstream>

#include <doctest/doctest.h>

using namespace figstair;

namespace {

/// Log lines of two hosts; one has a collector's prefix and two cannot be parsed.
struct three_failed_requests
{
    three_failed_requests()
    {
        std::istringstream stream(R"(
time_ms=1000 event=started host=h1 zone=z version=0.1.0
   2.5 h1 time_ms=2500 event=upstream_entry host=h1 upstream=0a zone=z draining=0 revision=7
garbage from elsewhere
time_ms=3000 event=flow_refused host=h1 flow=10.0.0.1:100>198.18.0.1:443 reason=no_route config=4
time_ms=4000 event=flow_placed host=h1 flow=10.0.0.2:200>198.18.0.1:443 upstream=0a reason=least_load open=0 config=4
time_ms=4200 event=upstream_silent host=h1 flow=10.0.0.9:900>198.18.0.1:443 upstream=0a evidence=request_repeated state=ejected
time_ms=4300 event=upstream_gone host=h1 upstream=0a removed=1 revision=9
time_ms=5000 event=flow_held host=h2 flow=10.0.0.3:300>198.18.0.1:443 service=desk late=1 extended=1 age_ms=200 held=3 predicted_ms=40 most_ms=1050
time_ms=5100 event=flow_dropped host=h2 flow=10.0.0.3:300>198.18.0.1:443 reason=held_too_long service=desk age_ms=1250 open=9 slots=4.0
time_ms=5050 event=store_lost host=h2 call=watch reason=unreachable problem="timed \"out\""
time_ms=x event=broken host=h1
)");
        readLog("log", stream, contents);
    }

    std::string eventsOf(const std::string &flow)
    {
        std::string events;
        for (const log_line *line : findFlowLines(contents, flow, 2000)) {
            events += line->event + " ";
        }
        return events;
    }

    log_contents contents;
};

} // namespace

TEST_CASE_FIXTURE(three_failed_requests,
                  "log_reader: a flow refused at once: its line names reason and configuration")
{
    CHECK(eventsOf("10.0.0.1:100") == "started flow_refused ");
    const auto lines = findFlowLines(contents, "10.0.0.1:100>198.18.0.1:443", 0);
    REQUIRE(lines.size() == 1);
    CHECK(lines.front()->fields.at("reason") == "no_route");
    CHECK(lines.front()->fields.at("config") == "4");
}

TEST_CASE_FIXTURE(three_failed_requests,
                  "log_reader: a flow whose upstream went away: the upstream's lines are included")
{
    CHECK(eventsOf("10.0.0.2:200") == "upstream_entry flow_placed upstream_silent upstream_gone ");
}

TEST_CASE_FIXTURE(three_failed_requests,
                  "log_reader: a flow held too long: held, dropped, with its host's events")
{
    CHECK(eventsOf("10.0.0.3:300") == "flow_held store_lost flow_dropped ");
    const auto lines = findFlowLines(contents, "10.0.0.3", 2000);
    CHECK(lines.at(1)->fields.at("problem") == "timed \"out\"");
}

TEST_CASE_FIXTURE(three_failed_requests,
                  "log_reader: lines that cannot be parsed: skipped, named by file and line")
{
    REQUIRE(contents.badLines.size() == 2);
    CHECK(contents.badLines.front().fileName == "log");
    CHECK(contents.badLines.front().number == 4);
    CHECK(contents.lines.size() == 9);
    CHECK(findFlowLines(contents, "10.9.9.9:1", 2000).empty());
}

TEST_CASE("log_reader: lines of several hosts: last state, lifecycle and store of each")
{
    std::istringstream stream(R"(
time_ms=1000 event=started host=h1 zone=z
time_ms=1100 event=state host=h1 config=3 ejected=0
time_ms=11100 event=state host=h1 config=4 ejected=2
time_ms=11500 event=store_lost host=h1 call=watch reason=refused
time_ms=1000 event=started host=h2 zone=z
time_ms=1200 event=store_lost host=h2 call=list reason=unreachable
time_ms=1300 event=store_regained host=h2
time_ms=9000 event=leaving host=h2
time_ms=500 event=stopped host=h3
time_ms=800 event=started host=h3
)");
    log_contents contents;
    readLog("log", stream, contents);
    const auto hosts = summarizeHosts(contents);
    REQUIRE(hosts.size() == 3);
    REQUIRE(hosts.at("h1").state != nullptr);
    CHECK(hosts.at("h1").state->fields.at("config") == "4");
    CHECK(hosts.at("h1").storeLossReason == "refused");
    CHECK(hosts.at("h2").storeLossReason.empty());
    CHECK(hosts.at("h2").lifecycleState == "leaving");
    CHECK(hosts.at("h2").state == nullptr);
    CHECK(hosts.at("h3").lifecycleState == "running");
}
