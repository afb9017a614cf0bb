#include <doctest/doctest.h>

#include "entry/entry_doubles.h"
#include "figstair/core/flow/flow_table.h"
#include "figstair/core/load/load_board.h"
#include "figstair/core/load/service_times.h"
#include "figstair/core/view/peer_roster.h"

using namespace figstair;

namespace {

monotonic_time ms(std::int64_t value)
{
    return monotonic_time(milliseconds(10000 + value));
}

flow_id flowOf(std::uint16_t port, std::uint32_t caller = 7)
{
    return flow_id{caller, 1, port, 443};
}

struct one_known_upstream
{
    one_known_upstream()
    {
        upstream_record entry;
        entry.id = 1;
        entry.service = "desk";
        entry.zone = "z";
        directory.apply(changeOf(entry, 1), ms(0));
    }

    upstream_directory directory{milliseconds(60000)};
    load_board loads{directory};
};

} // namespace

TEST_CASE("flow_table: full: only a new flow evicts, the first in sweep order, reported once")
{
    flow_table flows(2);
    int evictions = 0;
    const auto count = [&](flow_record &) { ++evictions; };
    flows.insert(flowOf(1), count);
    flows.insert(flowOf(2), count);
    flows.insert(flowOf(1), count);
    CHECK(evictions == 0);
    flows.insert(flowOf(3), count);
    CHECK(evictions == 1);
    CHECK(flows.find(flowOf(1)) == nullptr);
    CHECK(flows.find(flowOf(3)) != nullptr);
}

TEST_CASE("flow_table: a sweep: removes expired flows, skips erased ones")
{
    flow_table flows(10);
    const auto nothing = [](flow_record &) {};
    for (std::uint16_t port = 1; port <= 5; ++port) {
        flows.insert(flowOf(port), nothing);
    }
    flows.erase(flowOf(2));
    flows.sweep(10, [](const flow_id &flow, flow_record &) { return flow.callerPort == 3; });
    CHECK(flows.size() == 3);
    CHECK(flows.find(flowOf(3)) == nullptr);
}

TEST_CASE_FIXTURE(one_known_upstream, "load_board: reports of two hosts: summed, replaced, dropped")
{
    const std::uint32_t tag = upstreamTag(1);
    loads.addOpenRequest(0);
    loads.setReport("a", std::vector<load_row>{{tag, 2, 0, false}}, ms(0));
    loads.setReport("b", std::vector<load_row>{{tag, 3, 0, false}}, ms(0));
    CHECK(loads.openRequests(0) == 6);
    loads.setReport("a", std::vector<load_row>{}, ms(10));
    CHECK(loads.openRequests(0) == 4);
    loads.dropReport("b");
    CHECK(loads.openRequests(0) == 1);
    CHECK(loads.ownOpenRequests(0) == 1);
}

TEST_CASE_FIXTURE(one_known_upstream,
                  "load_board: slowness measured: is reported, decays within seconds")
{
    for (int sample = 0; sample < 8; ++sample) {
        loads.onServed(0, 5.0, ms(0));
    }
    CHECK(loads.slownessRatio(0, ms(0)) > 4.0);
    CHECK(loads.slownessRatio(0, ms(10000)) < 1.1);
    const std::vector<load_row> rows = loads.ownRows(ms(0));
    REQUIRE(rows.size() == 1);
    CHECK(rows.front().slownessSixteenths > 16 * 4);
}

// Guards against one absurd row that makes all upstreams of a zone look full, since placement
// compares each with the mean of the others.
TEST_CASE_FIXTURE(one_known_upstream,
                  "load_board: a report with absurd numbers: counts as 8 requests per slot and a "
                  "slowness of 64")
{
    loads.setReport("a", std::vector<load_row>{{upstreamTag(1), 65535, 65535, false}}, ms(0));
    CHECK(loads.openRequests(0) == 8 * directory.at(0).entry.slots);
    CHECK(loads.slownessRatio(0, ms(0)) == doctest::Approx(64.0));
    loads.dropReport("a");
    CHECK(loads.openRequests(0) == 0);
}

TEST_CASE_FIXTURE(one_known_upstream, "load_board: a report for an unknown tag: is ignored")
{
    loads.setReport("a", std::vector<load_row>{{12345, 9, 0, true}}, ms(0));
    CHECK(loads.openRequests(0) == 0);
}

TEST_CASE("service_times: first samples: quickly replace the initial value, outliers count little")
{
    service_times times;
    const milliseconds latencyTarget(240);
    CHECK(times.expectedAnswerTime(flowOf(1), latencyTarget) == milliseconds(60));
    for (int sample = 0; sample < 10; ++sample) {
        times.onAnswer(flowOf(1), milliseconds(20), latencyTarget, 1.0, 1000);
    }
    CHECK(times.expectedAnswerTime(flowOf(1), latencyTarget) < milliseconds(28));
    CHECK(times.onAnswer(flowOf(1), milliseconds(5000), latencyTarget, 1.0, 1000).ratio > 100);
    CHECK(times.expectedAnswerTime(flowOf(1), latencyTarget) < milliseconds(36));
}

TEST_CASE("service_times: handshakes measured: the timeout follows within bounds")
{
    service_times times;
    CHECK(times.handshakeTimeout() == milliseconds(30));
    for (int sample = 0; sample < 200; ++sample) {
        times.onHandshake(milliseconds(12));
    }
    CHECK(times.handshakeTimeout() > milliseconds(40));
    CHECK(times.handshakeTimeout() < milliseconds(60));
}

// Guards against a zone that counts as unreachable for good because its hosts left.
TEST_CASE("peer_roster: the last host of a zone leaves or is removed: the zone stays reachable")
{
    peer_roster roster(host_record{"me", "z", {}, 1});
    const host_record other{"a", "y", {}, 5};
    record_change change;
    change.kind = record_kind::host;
    change.name = other.name;
    change.content = other;
    roster.apply(change, ms(0));
    CHECK(roster.onHostMessage(other, false, ms(0)));
    REQUIRE_FALSE(roster.isZoneReachable("y", ms(600)));
    REQUIRE(roster.contactWith("y").hosts == 1);
    SUBCASE("it says that it leaves")
    {
        roster.onHostMessage(other, true, ms(10));
    }
    SUBCASE("its record is removed")
    {
        change.content = record_change::removed{};
        roster.apply(change, ms(10));
    }
    SUBCASE("a listing lacks its record")
    {
        roster.retain({});
    }
    CHECK(roster.isZoneReachable("y", ms(600)));
    CHECK(roster.contactWith("y").hosts == 0);
    roster.advance(ms(11000));
    CHECK(roster.isZoneReachable("y", ms(11000)));
    // It starts again.
    CHECK(roster.onHostMessage(host_record{"a", "y", {}, 6}, false, ms(12000)));
    CHECK_FALSE(roster.isZoneReachable("y", ms(12600)));
}

// Guards against a zone whose upstreams serve counting as unreachable because its hosts crashed.
TEST_CASE("peer_roster: a zone's hosts are silent, its upstreams answer: reachable")
{
    peer_roster roster(host_record{"me", "z", {}, 1});
    roster.onHostMessage(host_record{"a", "y", {}, 5}, false, ms(0));
    roster.onZoneAnswered("y", ms(500));
    CHECK(roster.isZoneReachable("y", ms(900)));
    CHECK_FALSE(roster.isZoneReachable("y", ms(1000)));
}

// Guards against a zone of few hosts counting as unreachable between their rare reports.
TEST_CASE("peer_roster: a zone has one host of 40: reachable for several of its report intervals")
{
    peer_roster roster(host_record{"me", "z", {}, 1});
    for (unsigned index = 0; index < 38; ++index) {
        roster.onHostMessage(host_record{"h" + std::to_string(index), "z", {}, 5}, false, ms(0));
    }
    roster.onHostMessage(host_record{"a", "y", {}, 5}, false, ms(0));
    const std::int64_t cycle = std::int64_t(39) * 150;
    CHECK(roster.isZoneReachable("y", ms(3 * cycle)));
    CHECK_FALSE(roster.isZoneReachable("y", ms(4 * cycle + 1)));
}

TEST_CASE("peer_roster: a host is heard once: alive at first, then silent, finally removed")
{
    peer_roster roster(host_record{"me", "z", {}, 1});
    CHECK(roster.onHostMessage(host_record{"a", "y", {}, 5}, false, ms(0)));
    CHECK(roster.isAlive(roster.peers().at("a"), ms(400)));
    CHECK(roster.isZoneReachable("y", ms(400)));
    CHECK_FALSE(roster.isAlive(roster.peers().at("a"), ms(600)));
    CHECK_FALSE(roster.isZoneReachable("y", ms(600)));
    CHECK(roster.isZoneReachable("never-heard", ms(600)));
    CHECK_FALSE(roster.onHostMessage(host_record{"a", "y", {}, 4}, false, ms(400)));
    roster.advance(ms(11000));
    CHECK(roster.peers().empty());
}

TEST_CASE("peer_roster: a host of the own zone comes, leaves or falls silent: the time of the "
          "change is known")
{
    peer_roster roster(host_record{"me", "z", {}, 1});
    roster.onHostMessage(host_record{"a", "z", {}, 5}, false, ms(100));
    CHECK(roster.changedAt() == ms(100));
    roster.onHostMessage(host_record{"a", "z", {}, 5}, false, ms(200));
    CHECK(roster.changedAt() == ms(100));
    roster.onHostMessage(host_record{"a", "z", {}, 5}, true, ms(300));
    CHECK(roster.changedAt() == ms(300));
    roster.advance(ms(900));
    CHECK(roster.changedAt() == ms(900));
}

TEST_CASE("peer_roster: hosts of another zone come and fall silent: only the first and the last "
          "change who gets whose packets")
{
    peer_roster roster(host_record{"me", "z", {}, 1});
    roster.onHostMessage(host_record{"a", "y", {}, 5}, false, ms(100));
    CHECK(roster.changedAt() == ms(100));
    roster.onHostMessage(host_record{"b", "y", {}, 5}, false, ms(200));
    roster.onHostMessage(host_record{"a", "y", {}, 6}, false, ms(300));
    CHECK(roster.changedAt() == ms(100));
    roster.onHostMessage(host_record{"b", "y", {}, 5}, false, ms(500));
    roster.advance(ms(900));
    CHECK(roster.changedAt() == ms(100));
    roster.advance(ms(1100));
    CHECK(roster.changedAt() == ms(1100));
}

TEST_CASE("peer_roster: a host restarts with its clock set back: accepted once the old incarnation "
          "is silent")
{
    peer_roster roster(host_record{"me", "z", {}, 1});
    roster.onHostMessage(host_record{"a", "y", {}, 500}, false, ms(0));
    CHECK_FALSE(roster.onHostMessage(host_record{"a", "y", {}, 400}, false, ms(100)));
    CHECK(roster.onHostMessage(host_record{"a", "y", {}, 400}, false, ms(700)));
    CHECK(roster.peers().at("a").entry.incarnation == 400);
}

TEST_CASE("peer_roster: a large fleet starts: hosts listed in the store count in the ranking for a "
          "while before they are heard")
{
    peer_roster roster(host_record{"self", "z", {}, 1, 10});
    for (unsigned number = 0; number < 60; ++number) {
        record_change change;
        change.kind = record_kind::host;
        change.name = "peer-" + std::to_string(number);
        change.content = host_record{change.name, "z", {}, 1, 1000};
        roster.apply(change, ms(0));
    }
    CHECK(roster.rankOf(1, ms(10)) == 60);
    CHECK(roster.rankOf(1, ms(20000)) == 0);
    roster.onHostMessage(host_record{"peer-7", "z", {}, 1, 1000}, false, ms(20000));
    CHECK(roster.rankOf(1, ms(20001)) == 1);
}

TEST_CASE(
    "service_times: an answer much faster and smaller than usual: is short, and hardly changes "
    "the means")
{
    service_times times;
    const milliseconds latencyTarget(240);
    const auto answer = [&](std::int64_t time, std::uint32_t bytes) {
        return times.onAnswer(flowOf(1), milliseconds(time), latencyTarget, 1.0, bytes);
    };
    CHECK_FALSE(answer(1, 100).isShort); // no means to compare with yet
    for (int sample = 0; sample < 100; ++sample) {
        CHECK_FALSE(answer(60, 1000).isShort);
    }
    CHECK_FALSE(answer(2, 1000).isShort);
    CHECK_FALSE(answer(50, 100).isShort);
    for (int sample = 0; sample < 20; ++sample) {
        CHECK(answer(2, 100).isShort);
    }
    CHECK(times.expectedAnswerTime(flowOf(1), latencyTarget) > milliseconds(45));
    SUBCASE("the means adapt to a service that has changed permanently")
    {
        int needed = 0;
        while (answer(2, 100).isShort) {
            REQUIRE(++needed < 1000);
        }
    }
}
