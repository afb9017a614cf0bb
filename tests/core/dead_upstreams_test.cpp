#include "figstair/core/health/dead_upstreams.h"

#include <doctest/doctest.h>

#include "figstair/core/load/flow_reuse.h"
#include "figstair/core/load/link_backlog.h"

using namespace figstair;

namespace {

constexpr upstream_index testUpstream = 7;

monotonic_time ms(std::int64_t value)
{
    return monotonic_time(milliseconds(10000 + value));
}

/// Three hosts saw unacknowledged data within 300 ms; judged 450 ms after the first.
struct agreed_evidence
{
    agreed_evidence()
    {
        evidence.onUnacknowledged(testUpstream, 1, ms(0));
        evidence.onUnacknowledged(testUpstream, 2, ms(100));
        evidence.onUnacknowledged(testUpstream, 3, ms(300));
    }

    bool isDeadAt(std::int64_t time)
    {
        evidence.advance(ms(time));
        return evidence.isDead(testUpstream);
    }

    dead_upstreams evidence;
};

flow_id flowTo(std::uint16_t routePort)
{
    return flow_id{1, 2, 3, routePort};
}

} // namespace

TEST_CASE_FIXTURE(agreed_evidence,
                  "dead_upstreams: three hosts agree: dead after 400 ms, reported once, until it "
                  "answers or restarts")
{
    CHECK_FALSE(isDeadAt(390));
    CHECK(evidence.advance(ms(410)).size() == 1);
    CHECK(evidence.advance(ms(420)).empty());
    CHECK(isDeadAt(60000));
    SUBCASE("answer")
    {
        evidence.onAnswered(testUpstream, ms(60001));
        CHECK_FALSE(isDeadAt(60002));
    }
    SUBCASE("restart")
    {
        evidence.reset(testUpstream);
        CHECK_FALSE(isDeadAt(60002));
    }
}

// Guards against one host with a broken link, or two that share it, which would reset flows of an
// upstream that lives.
TEST_CASE("dead_upstreams: fewer than three hosts, however often: not dead")
{
    dead_upstreams evidence;
    for (std::int64_t time = 0; time < 5000; time += 100) {
        evidence.onUnacknowledged(testUpstream, 1 + std::uint64_t(time / 100 % 2), ms(time));
        evidence.advance(ms(time));
        CHECK_FALSE(evidence.isDead(testUpstream));
    }
}

// Guards against single lost packets of several hosts that add up over time.
TEST_CASE("dead_upstreams: three hosts, more than two seconds apart: not dead")
{
    dead_upstreams evidence;
    for (std::uint64_t host = 1; host <= 3; ++host) {
        evidence.onUnacknowledged(testUpstream, host, ms(std::int64_t(host) * 1500));
        evidence.advance(ms(std::int64_t(host) * 1500 + 400));
        CHECK_FALSE(evidence.isDead(testUpstream));
    }
}

// Guards against a busy upstream that loses some packets and answers others.
TEST_CASE_FIXTURE(
    agreed_evidence,
    "dead_upstreams: an answer between the observations: those before it do not count")
{
    SUBCASE("after all of them")
    {
        evidence.onAnswered(testUpstream, ms(310));
        CHECK(evidence.size() == 0);
    }
    SUBCASE("before the last")
    {
        evidence.onAnswered(testUpstream, ms(200));
        CHECK(evidence.hasUnacknowledged(testUpstream));
    }
    CHECK_FALSE(isDeadAt(2000));
}

// Guards against what an answer refuted being kept with the evidence that came after the answer.
TEST_CASE("dead_upstreams: an answer before the last observation: ends what preceded it")
{
    agreed_evidence agreed;
    dead_upstreams &evidence = agreed.evidence;
    SUBCASE("that it is dead")
    {
        REQUIRE(agreed.isDeadAt(410));
        evidence.onUnacknowledged(testUpstream, 1, ms(500));
        evidence.onAnswered(testUpstream, ms(450));
        CHECK_FALSE(evidence.isDead(testUpstream));
        CHECK_FALSE(agreed.isDeadAt(1000));
    }
    SUBCASE("that other hosts confirm its death")
    {
        REQUIRE(evidence.isConfirmedByPeers(testUpstream, 3, ms(310)));
        evidence.onAnswered(testUpstream, ms(200));
        CHECK_FALSE(evidence.isConfirmedByPeers(testUpstream, 3, ms(310)));
    }
}

// Guards against resets where the network lost two requests to an upstream that gets few.
TEST_CASE(
    "dead_upstreams: three packets are lost, another host saw one: confirmed for 1.5 s, until "
    "an answer")
{
    dead_upstreams evidence;
    evidence.onUnacknowledgedHere(testUpstream, 1, ms(0), ms(0));
    evidence.onUnacknowledged(testUpstream, 2, ms(0));
    evidence.onUnacknowledged(testUpstream, 2, ms(100)); // the same, reported again
    evidence.onUnacknowledgedHere(testUpstream, 1, ms(99), ms(99)); // of the same burst
    CHECK_FALSE(evidence.isConfirmedByPeers(testUpstream, 1, ms(100)));
    SUBCASE("by a repetition")
    {
        evidence.onUnacknowledgedHere(testUpstream, 1, ms(400), ms(400));
    }
    SUBCASE("by a third host")
    {
        evidence.onUnacknowledged(testUpstream, 3, ms(400));
    }
    CHECK(evidence.isConfirmedByPeers(testUpstream, 1, ms(400)));
    CHECK_FALSE(evidence.isConfirmedByPeers(testUpstream, 1, ms(1901)));
    evidence.onAnswered(testUpstream, ms(401));
    CHECK_FALSE(evidence.isConfirmedByPeers(testUpstream, 1, ms(402)));
}

// Guards against evidence that outlives an answer because another host repeats its report of it.
TEST_CASE("dead_upstreams: another host repeats its report, the upstream answered after the first: "
          "no evidence")
{
    dead_upstreams evidence;
    for (std::int64_t time = 0; time <= 300; time += 100) {
        evidence.onUnacknowledged(testUpstream, 2, ms(time));
    }
    evidence.onAnswered(testUpstream, ms(200));
    CHECK(evidence.size() == 0);
}

// Guards against a host that loses its own packets, and takes that for the death of the upstream.
TEST_CASE("dead_upstreams: this host alone sees losses, however many: not confirmed")
{
    dead_upstreams evidence;
    for (std::int64_t time = 0; time < 2000; time += 200) {
        evidence.onUnacknowledgedHere(testUpstream, 1, ms(time), ms(time));
        CHECK_FALSE(evidence.isConfirmedByPeers(testUpstream, 1, ms(time)));
    }
}

// Guards against unbounded memory when reports of other hosts name ever more upstreams.
TEST_CASE("dead_upstreams: evidence against very many upstreams: bounded, and forgotten in time")
{
    dead_upstreams evidence;
    for (upstream_index upstream = 0; upstream < 100000; ++upstream) {
        evidence.onUnacknowledged(upstream, 1, ms(0));
        evidence.onUnacknowledgedHere(upstream, 2, ms(0), ms(0));
    }
    CHECK(evidence.size() <= 4096);
    evidence.advance(ms(10001));
    CHECK(evidence.size() == 0);
}

// Guards against packets that this host itself delays or loses being held against upstreams.
TEST_CASE("link_backlog: more is sent than the link carries: congested until the queue is empty")
{
    link_backlog link(10); // 1,250 bytes a millisecond
    link.onSent(1222, ms(0));
    CHECK(link.congestedUntil() == monotonic_time{});
    for (int part = 0; part < 100; ++part) {
        link.onSent(1222, ms(10));
    }
    CHECK(link.congestedUntil() == ms(110));
    link.onSent(1222, ms(200));
    CHECK(link.congestedUntil() == ms(110));
    link.setCapacity(1000);
    for (int part = 0; part < 100; ++part) {
        link.onSent(1222, ms(300));
    }
    CHECK(link.congestedUntil() == ms(110));
}

TEST_CASE("flow_reuse: requests per flow of a route: several only if clearly above one")
{
    flow_reuse reuse;
    SUBCASE("one request per flow, some seen at other hosts")
    {
        for (int flow = 0; flow < 500; ++flow) {
            reuse.onRequest(flowTo(1));
            if (flow % 5 != 0) {
                reuse.onOpening(flowTo(1));
            }
        }
        CHECK_FALSE(reuse.carriesSeveralRequests(flowTo(1)));
    }
    SUBCASE("too few to tell")
    {
        for (int request = 0; request < 19; ++request) {
            reuse.onRequest(flowTo(1));
        }
        CHECK_FALSE(reuse.carriesSeveralRequests(flowTo(1)));
    }
    SUBCASE("many requests per flow")
    {
        for (int request = 0; request < 20; ++request) {
            reuse.onRequest(flowTo(1));
        }
        reuse.onOpening(flowTo(1));
        CHECK(reuse.carriesSeveralRequests(flowTo(1)));
        CHECK_FALSE(reuse.carriesSeveralRequests(flowTo(2)));
    }
}
