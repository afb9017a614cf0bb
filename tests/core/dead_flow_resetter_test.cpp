#include "figstair/core/flow/dead_flow_resetter.h"

#include <set>
#include <string>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"
#include "figstair/core/flow/entry_core.h"

using namespace figstair;

namespace {

constexpr std::uint32_t routeAddress = 0xC6120001;
constexpr std::uint16_t controlPort = 444;

class reset_counter : public silent_output
{
public:
    void forward(byte_view, const known_upstream &) override { ++forwarded; }
    void reset(const flow_id &flow, std::uint32_t sequence) override
    {
        ++resets;
        resetPorts.insert(flow.callerPort);
        lastSequence = sequence;
    }
    void count(entry_counter which, std::uint64_t amount) override
    {
        counted += which == entry_counter::flowsResetUpstreamDead ? amount : 0;
    }

    unsigned forwarded = 0;
    unsigned resets = 0;
    std::set<std::uint16_t> resetPorts;
    std::uint32_t lastSequence = 0;
    std::uint64_t counted = 0;
};

/// A host of one zone of two, with two upstreams in each, that has passed a request on an open flow
/// to upstream 1. Hosts h2 and h3 are of its zone, h9 of the other.
class host_with_open_flow
{
public:
    explicit host_with_open_flow(part_mode mode = part_mode::on)
    {
        entry_settings settings;
        settings.self = host_record{"h1", "here", {}, 1};
        settings.resetDeadFlows = mode;
        core.updateSettings(settings);
        std::vector<record_change> listing(1);
        route_config config;
        config.version = 1;
        config.routes.push_back(
            route{"r", routeAddress, 443, {{"desk", 1}}, milliseconds(4000), milliseconds(500), 0});
        config.routes.push_back(route{"other",
                                      routeAddress,
                                      controlPort,
                                      {{"desk", 1}},
                                      milliseconds(4000),
                                      milliseconds(500),
                                      0});
        listing[0].revision = 50;
        listing[0].content = config;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            listing.push_back(changeOf(entryOf(id), 50 + id));
        }
        core.onListing(listing, 100);
        run(2000);
        send(1);
    }

    static upstream_record entryOf(std::uint64_t id, std::int64_t startedAtMs = 1)
    {
        upstream_record entry;
        entry.id = id;
        entry.service = "desk";
        entry.zone = id <= 2 ? "here" : "there";
        entry.slots = 2;
        entry.startedAtMs = startedAtMs;
        return entry;
    }

    /// Lets time pass, with reports from other hosts every 100 ms while they are heard, and
    /// requests on a flow to upstream 2 that are answered within 50 ms.
    void run(std::int64_t time)
    {
        const monotonic_time end = clock.monotonic() + milliseconds(time);
        while (clock.monotonic() < end) {
            clock.advance(milliseconds(10));
            if (clock.monotonic().time_since_epoch().count() % 100 == 0) {
                receiveReport("h2", "here");
                receiveReport("h3", "here");
                if (isOtherZoneHeard) {
                    receiveReport("h9", "there");
                }
                if (isFourthHostHeard) {
                    receiveReport("h4", "here");
                }
            }
            if (isOtherFlowAnswered && clock.monotonic().time_since_epoch().count() % 50 == 0) {
                send(++m_controlRequests, 2, 9000, controlPort);
            }
            core.onInputDrained();
            core.tick();
        }
    }

    void receiveReport(const std::string &name, const std::string &zone,
                       std::vector<load_row> rows = {},
                       std::vector<std::uint32_t> unacknowledging = {}, bool isLeaving = false)
    {
        peer_report report;
        report.isLeaving = isLeaving;
        report.sender = host_record{name, zone, {}, 1};
        report.rows = std::move(rows);
        report.unacknowledging = std::move(unacknowledging);
        core.onPeerReport(report);
    }

    /// Host h9 is listed in the store, or removed from it.
    void setListed(bool isListed)
    {
        record_change change;
        change.kind = record_kind::host;
        change.name = "h9";
        if (isListed) {
            change.content = host_record{"h9", "there", {}, 1};
        }
        core.onRecordChange(change);
    }

    /// Sends requests on three flows to upstreams of the other zone, and repeats each as callers
    /// do, after 200, 600 and 1,400 ms, until the flow is reset.
    void sendAndRepeat()
    {
        for (const std::int64_t pause : {0, 160, 360, 760}) {
            run(pause);
            for (const std::uint16_t port : {2000, 2001, 2002}) {
                if (output.resetPorts.count(port) == 0) {
                    send(1, port == 2000 ? 3 : 4, port);
                }
                run(20);
            }
        }
    }

    /// Three other hosts report that the upstream acknowledges nothing.
    void reportDead(std::uint64_t upstream)
    {
        receiveReport("h2", "here", {}, {upstreamTag(upstream)});
        receiveReport("h3", "here", {}, {upstreamTag(upstream)});
        receiveReport("h9", "there", {}, {upstreamTag(upstream)});
    }

    /// Sends the request with number @p number of the flow to upstream @p upstream; the same number
    /// repeats it. Each acknowledges the answer before.
    void send(std::uint32_t number, std::uint64_t upstream = 1, std::uint16_t port = 1000,
              std::uint16_t routePort = 443)
    {
        flow_packet packet;
        packet.flow = flow_id{0x64400007, routeAddress, port, routePort};
        packet.upstreamTag = upstreamTag(upstream);
        packet.sequence = 100 * number;
        packet.acknowledged = 5000 + 1000 * number;
        packet.payloadBytes = 100;
        packet.isAck = true;
        core.onPacket(packet, std::vector<std::uint8_t>{1});
    }

    /// Two other hosts report that the upstream did not acknowledge a packet.
    void reportLosses(std::uint64_t upstream)
    {
        receiveReport("h2", "here", {}, {upstreamTag(upstream)});
        receiveReport("h3", "here", {}, {upstreamTag(upstream)});
    }

    static load_row suspectedRow(std::uint64_t upstream)
    {
        load_row row;
        row.tag = upstreamTag(upstream);
        row.isSuspected = true;
        return row;
    }

    fake_clock clock;
    reset_counter output;
    entry_core core{entry_settings{host_record{"h1", "here", {}, 1}}, clock, 1, output};
    bool isOtherZoneHeard = true;
    bool isFourthHostHeard = false;
    bool isOtherFlowAnswered = true;

private:
    std::uint32_t m_controlRequests = 0;
};

class host_in_automatic_mode : public host_with_open_flow
{
public:
    host_in_automatic_mode()
        : host_with_open_flow(part_mode::automatic)
    {
    }
};

class host_with_the_part_off : public host_with_open_flow
{
public:
    host_with_the_part_off()
        : host_with_open_flow(part_mode::off)
    {
    }
};

} // namespace

// Guards against callers that wait on a flow of a dead upstream until their deadline.
TEST_CASE_FIXTURE(
    host_with_open_flow,
    "dead flows: a request is repeated, two other hosts saw losses at the upstream: reset")
{
    run(190);
    reportLosses(1);
    run(10);
    const unsigned forwarded = output.forwarded;
    send(1);
    CHECK(output.resets == 1);
    CHECK(output.lastSequence == 6000);
    CHECK(output.counted == 1);
    CHECK(output.forwarded == forwarded);
}

// Guards against a reset of a flow that only this host cannot serve, or whose packets were delayed
// here: one wrong reset breaks a flow of a living upstream.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a request is repeated: not reset without sound evidence")
{
    SUBCASE("no second source")
    {
        run(200);
    }
    SUBCASE("the upstream answered through another host a moment ago")
    {
        run(190);
        reportLosses(1);
        load_row answered;
        answered.tag = upstreamTag(1);
        answered.hasAnswered = true;
        receiveReport("h3", "here", {answered});
        run(10);
    }
    SUBCASE("the upstream answered through another host after the request was forwarded")
    {
        run(60);
        load_row answered;
        answered.tag = upstreamTag(1);
        answered.hasAnswered = true;
        receiveReport("h3", "here", {answered});
        run(140);
        reportLosses(1);
    }
    SUBCASE("both copies waited in the socket of this host")
    {
        clock.advance(milliseconds(300));
        reportLosses(1);
    }
    SUBCASE("nothing that this host forwarded since was answered: its link may be congested")
    {
        isOtherFlowAnswered = false;
        run(190);
        reportLosses(1);
        run(10);
    }
    SUBCASE("this host fills its link for another purpose")
    {
        core.onDatagramSent(400000); // 320 ms of 10 Mbit/s
        send(2);
        run(190);
        reportLosses(1);
        run(10);
        send(2);
    }
    SUBCASE("another host only repeats that the upstream is ejected")
    {
        run(190);
        load_row ejected;
        ejected.tag = upstreamTag(1);
        ejected.isEjected = true;
        receiveReport("h2", "here", {ejected});
        run(10);
    }
    SUBCASE("this host was frozen")
    {
        run(190);
        core.onFreeze(milliseconds(500));
        reportLosses(1);
        run(10);
    }
    SUBCASE("all other upstreams are gone or cannot be reached")
    {
        isOtherZoneHeard = false;
        record_change gone = changeOf(entryOf(2), 200);
        gone.content = record_change::removed{};
        core.onRecordChange(gone);
        run(1000);
        reportLosses(1);
    }
    send(1);
    CHECK(output.resets == 0);
}

TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a request is repeated, the entry of the upstream is gone: reset")
{
    record_change gone = changeOf(entryOf(1), 200);
    gone.content = record_change::removed{};
    core.onRecordChange(gone);
    run(200);
    send(1);
    CHECK(output.resets == 1);
}

// Guards against open flows that are reset because another writer replaced the entry of their
// upstream, which lives and writes it again.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a request is repeated, the entry of the upstream cannot be read: "
                  "neither this flow nor idle ones are reset")
{
    record_change odd = changeOf(entryOf(1), 200);
    odd.content = record_change::unreadable{"no address"};
    SUBCASE("a change")
    {
        core.onRecordChange(odd);
    }
    SUBCASE("a listing")
    {
        std::vector<record_change> listing{odd};
        for (std::uint64_t id = 2; id <= 4; ++id) {
            listing.push_back(changeOf(entryOf(id), 50 + id));
        }
        core.onListing(listing, 200);
    }
    SUBCASE("its store fails, and it lapses as well")
    {
        core.onRecordChange(odd);
        core.keepLapsedUntil(clock.monotonic() + milliseconds(2200));
        record_change gone = changeOf(entryOf(1), 201);
        gone.content = record_change::removed{};
        core.onRecordChange(gone);
    }
    send(1, 1, 3000);
    run(200);
    send(1);
    run(400);
    send(1);
    run(400);
    CHECK(output.resets == 0);
}

// Guards against a dead upstream whose flows stay open because its last entry could not be read.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a request is repeated, the entry could not be read and was removed "
                  "then: reset")
{
    record_change change = changeOf(entryOf(1), 200);
    change.content = record_change::unreadable{"no address"};
    core.onRecordChange(change);
    change.revision = 201;
    change.content = record_change::removed{};
    core.onRecordChange(change);
    run(200);
    send(1);
    CHECK(output.resets == 1);
}

// Guards against an outage of the store that ends flows: entries lapse, their upstreams live.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a request is repeated, the entry lapses with the store: not reset")
{
    core.keepLapsedUntil(clock.monotonic() + milliseconds(2200));
    record_change gone = changeOf(entryOf(1), 200);
    gone.content = record_change::removed{};
    core.onRecordChange(gone);
    run(200);
    send(1);
    CHECK(output.resets == 0);
}

// Guards against callers of a partitioned zone that wait until their deadline, whether or not that
// zone still has hosts that could be heard.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: nothing from the zone of the upstreams arrives, neither answers nor "
                  "messages: repeated requests are reset")
{
    SUBCASE("its hosts are expected")
    {
        setListed(true);
    }
    SUBCASE("its host said that it leaves")
    {
        receiveReport("h9", "there", {}, {}, true);
    }
    SUBCASE("its host was removed from the store")
    {
        setListed(true);
        setListed(false);
    }
    isOtherZoneHeard = false;
    run(50);
    sendAndRepeat();
    CHECK(output.resets == 3);
}

// Guards against open flows that are reset after a lost packet because the hosts of the upstream's
// zone stopped: their silence does not show that the upstreams are dead.
TEST_CASE_FIXTURE(
    host_with_open_flow,
    "dead flows: all hosts of the upstream's zone stopped, a request is repeated: not "
    "reset")
{
    setListed(true);
    SUBCASE("they said that they leave")
    {
        receiveReport("h9", "there", {}, {}, true);
    }
    SUBCASE("they were removed from the store")
    {
        setListed(false);
    }
    SUBCASE("they crashed") { }
    SUBCASE("they said that they leave, and were removed from the store")
    {
        receiveReport("h9", "there", {}, {}, true);
        setListed(false);
    }
    isOtherZoneHeard = false;
    run(1000);
    for (std::uint32_t number = 1; number <= 20; ++number) {
        send(number, 3, 2000);
        run(200);
        send(number, 3, 2000);
        run(200);
    }
    CHECK(output.resets == 0);
}

// Guards against a zone whose hosts crashed being taken for a partitioned one although its
// upstreams answer.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: the hosts of a zone crashed, one of its upstreams answers: requests "
                  "to the others are not reset")
{
    isOtherZoneHeard = false;
    run(1000);
    std::uint32_t answered = 0;
    for (const std::int64_t pause : {0, 200, 400, 800}) {
        for (std::int64_t time = 0; time < pause; time += 100) {
            send(++answered, 3, 2002);
            run(100);
        }
        send(1, 4, 2000);
    }
    CHECK(output.resets == 0);
}

// Guards against idle flows whose next request, which may not be retried, is lost as well.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: three hosts agree: idle flows are reset, and others with their next "
                  "packet, until the upstream answers")
{
    receiveReport("h2", "here", {}, {upstreamTag(1)});
    receiveReport("h3", "here", {}, {upstreamTag(1)});
    receiveReport("h9", "there", {}, {upstreamTag(1)});
    run(600);
    CHECK(output.resets == 1);
    send(7, 1, 3000);
    CHECK(output.resets == 2);
    load_row answered;
    answered.tag = upstreamTag(1);
    answered.hasAnswered = true;
    receiveReport("h2", "here", {answered});
    send(7, 1, 4000);
    CHECK(output.resets == 2);
}

// Guards against flows of the new incarnation that are reset for the death of the one before.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: the upstream restarts under its id: the evidence is forgotten")
{
    for (const char *host : {"h2", "h3", "h9"}) {
        receiveReport(host, "here", {}, {upstreamTag(1)});
    }
    run(300);
    core.onRecordChange(changeOf(entryOf(1, 2), 200));
    run(600);
    CHECK(output.resets == 0);
}

// Guards against open flows of a living upstream that are reset because the network lost two of its
// requests, or a SYN and a request: an upstream with few requests gives no answer in between.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a request is repeated, another host saw one loss: not reset")
{
    SUBCASE("of a request")
    {
        run(190);
        receiveReport("h2", "here", {}, {upstreamTag(1)});
        run(10);
    }
    SUBCASE("of several SYNs")
    {
        run(190);
        receiveReport("h2", "here", {suspectedRow(1)});
        receiveReport("h3", "here", {suspectedRow(1)});
        receiveReport("h9", "there", {suspectedRow(1)});
        run(10);
    }
    send(1);
    CHECK(output.resets == 0);
}

// Guards against callers who wait although their second repetition was lost as well.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a request is repeated twice, another host saw a loss: reset")
{
    run(200);
    receiveReport("h2", "here", {}, {upstreamTag(1)});
    send(1);
    REQUIRE(output.resets == 0);
    run(400);
    send(1);
    CHECK(output.resets == 1);
}

// Guards against evidence that outlives an incarnation of which this host saw nothing itself.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: an upstream without flows here restarts: the evidence is forgotten")
{
    for (const char *host : {"h2", "h3", "h9"}) {
        receiveReport(host, "here", {}, {upstreamTag(4)});
    }
    core.onRecordChange(changeOf(entryOf(4, 2), 200));
    run(600);
    send(1, 4, 3000);
    CHECK(output.resets == 0);
}

// Guards against resets for what was known before a freeze, or was read late from the socket: the
// upstream may have answered since.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: this host was frozen: evidence from before its end does not count")
{
    SUBCASE("the upstream was dead before the freeze")
    {
        reportDead(1);
        run(600);
        REQUIRE(output.resets == 1);
        clock.advance(milliseconds(8000));
        core.onFreeze(milliseconds(8000));
        send(7, 1, 3000);
        CHECK(output.resets == 1);
    }
    SUBCASE("reports that waited in the socket")
    {
        clock.advance(milliseconds(8000));
        core.onFreeze(milliseconds(8000));
        reportDead(1);
        run(600);
        CHECK(output.resets == 0);
    }
}

// Guards against resets at an upstream that recovered while no report of its answers came here.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: three hosts agreed, the evidence is not renewed: no flow is reset")
{
    reportDead(1);
    run(600);
    REQUIRE(output.resets == 1);
    run(1600);
    send(7, 1, 3000);
    CHECK(output.resets == 1);
    receiveReport("h2", "here", {}, {upstreamTag(1)}); // one host is not enough for a new verdict
    run(600);
    CHECK(output.resets == 1);
}

// Guards against draining upstreams, and those that lapse for longer, counting as gone.
TEST_CASE_FIXTURE(
    host_with_open_flow,
    "dead flows: a request is repeated, an outage of the store unlisted the upstream: "
    "not reset")
{
    std::int64_t grace = 2200;
    SUBCASE("while it drained")
    {
        upstream_record draining = entryOf(1);
        draining.isDraining = true;
        core.onRecordChange(changeOf(draining, 150));
    }
    SUBCASE("at the end of the grace period")
    {
        grace = 100;
    }
    core.keepLapsedUntil(clock.monotonic() + milliseconds(grace));
    record_change gone = changeOf(entryOf(1), 200);
    gone.content = record_change::removed{};
    core.onRecordChange(gone);
    run(200);
    send(1);
    CHECK(output.resets == 0);
}

// Guards against resets with outdated sequence numbers, which may hit a later flow that uses the
// port again: the end of a flow that moved is not seen here.
TEST_CASE_FIXTURE(
    host_with_open_flow,
    "dead flows: three hosts agree, the rotation changed since: only flows with later "
    "packets are reset")
{
    isFourthHostHeard = true;
    run(110);
    send(1, 1, 3000);
    reportDead(1);
    run(600);
    CHECK(output.resets == 1);
    send(2);
    CHECK(output.resets == 2);
}

// Guards against the flows of a forgotten upstream being taken for those of the next one.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: the upstream's index is used again and that one dies: not reset")
{
    record_change gone = changeOf(entryOf(1), 200);
    gone.content = record_change::removed{};
    core.onRecordChange(gone);
    run(55000);
    send(2);
    run(7000);
    core.onRecordChange(changeOf(entryOf(5), 201));
    reportDead(5);
    run(600);
    CHECK(output.resets == 0);
}

// Guards against one host that is cut off from all upstreams acting as second source for each.
TEST_CASE_FIXTURE(
    host_with_open_flow,
    "dead flows: a request is repeated, another host gets no acknowledgement from any "
    "upstream: not reset")
{
    run(190);
    receiveReport("h2", "here", {},
                  {upstreamTag(1), upstreamTag(2), upstreamTag(3), upstreamTag(4)});
    run(10);
    send(1);
    CHECK(output.resets == 0);
}

// Guards against a report with absurd contents that ends the flows of all upstreams.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a host reports every upstream and unknown ones: no flow is reset")
{
    std::vector<std::uint32_t> tags{0, 1, 0xFFFFFFFF};
    for (std::uint64_t id = 1; id <= 4; ++id) {
        tags.push_back(upstreamTag(id));
    }
    for (int step = 0; step < 20; ++step) {
        receiveReport("h2", "here", {}, tags);
        run(100);
    }
    CHECK(output.resets == 0);
}

// Guards against an ejection that a repeated request ends, because it moved to this host.
TEST_CASE_FIXTURE(host_with_open_flow,
                  "dead flows: a flow of an ejected upstream continues here: the ejection stands")
{
    receiveReport("h2", "here", {suspectedRow(1)});
    run(200);
    send(1);
    run(100);
    send(1, 1, 5000);
    receiveReport("h2", "here", {suspectedRow(1)});
    run(200);
    send(1, 1, 5000);
    const std::size_t ejected = core.state().ejected;
    CHECK(ejected == 1);
    send(1, 1, 6000);
    CHECK(core.state().ejected == ejected);
}

// Guards against a change for deployments whose callers open a flow for each request.
TEST_CASE_FIXTURE(host_in_automatic_mode,
                  "dead flows: automatic: only routes whose flows carry several requests")
{
    const auto repeat = [&](std::uint16_t port) {
        run(200);
        reportLosses(1);
        send(50, 1, port);
        run(200);
        reportLosses(1);
        send(50, 1, port);
    };
    repeat(6000);
    CHECK(output.resets == 0);
    for (std::uint32_t number = 2; number < 30; ++number) {
        send(number, 2, 7000);
    }
    repeat(6001);
    CHECK(output.resets == 1);
}

TEST_CASE_FIXTURE(host_with_the_part_off, "dead flows: switched off: no flow is reset")
{
    for (const char *host : {"h2", "h3", "h9"}) {
        receiveReport(host, "here", {suspectedRow(1)}, {upstreamTag(1)});
    }
    run(600);
    send(1);
    CHECK(output.resets == 0);
}
