#include <string>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"
#include "figstair/core/flow/entry_core.h"

using namespace figstair;

// A host gets packets of flows on routes that its configuration lacks: dropped ones, and those that
// a newer configuration added, which other hosts have already.

namespace {

constexpr std::uint32_t routeAddress = 0xC6120001;
constexpr std::uint16_t knownPort = 443;
constexpr std::uint16_t newPort = 9443;

class counting_output : public silent_output
{
public:
    void forward(byte_view, const known_upstream &) override { ++forwarded; }
    void reset(const flow_id &, std::uint32_t) override { ++resets; }

    unsigned forwarded = 0;
    unsigned resets = 0;
};

/// A host with configuration 1, which has a route at knownPort only, and two upstreams. Its view of
/// the store was confirmed before the flows of the tests opened.
struct host_with_one_route
{
    host_with_one_route()
    {
        std::vector<record_change> listing{configChange(1, {knownPort})};
        for (std::uint64_t id = 1; id <= 2; ++id) {
            upstream_record entry;
            entry.id = id;
            entry.service = "desk";
            entry.zone = "here";
            entry.slots = 2;
            listing.push_back(changeOf(entry, 50 + id));
        }
        core.onListing(listing, 100);
        core.onViewConfirmed(clock.monotonic());
        advanceTime(2000);
    }

    static record_change configChange(std::uint64_t version,
                                      const std::vector<std::uint16_t> &ports)
    {
        route_config config;
        config.version = version;
        for (const std::uint16_t port : ports) {
            config.routes.push_back(route{"r" + std::to_string(port),
                                          routeAddress,
                                          port,
                                          {{"desk", 1}},
                                          milliseconds(4000),
                                          milliseconds(250),
                                          0});
        }
        record_change change;
        change.revision = 100 + version;
        change.content = config;
        return change;
    }

    void advanceTime(std::int64_t time)
    {
        for (std::int64_t step = 0; step < time; step += 5) {
            clock.advance(milliseconds(5));
            core.tick();
        }
    }

    /// Time passes, then the store confirms that the view has all changes.
    void confirmView()
    {
        advanceTime(100);
        core.onViewConfirmed(clock.monotonic());
    }

    void reportVersion(std::uint64_t version)
    {
        peer_report report;
        report.sender = host_record{"h2", "here", {}, 1};
        report.configVersion = version;
        core.onPeerReport(report);
    }

    void receiveSyn(std::uint16_t routePort, std::uint32_t retransmissions = 0)
    {
        flow_packet packet;
        packet.flow = flow_id{0x64400007, routeAddress, 1000, routePort};
        packet.isSyn = true;
        packet.sequence = 100;
        packet.acknowledged = retransmissions;
        core.onPacket(packet, std::vector<std::uint8_t>{1});
    }

    /// The next request on a flow to an upstream that another host chose.
    void receiveData(std::uint16_t routePort, std::uint64_t upstream = 1)
    {
        flow_packet packet;
        packet.flow = flow_id{0x64400007, routeAddress, 1000, routePort};
        packet.upstreamTag = upstreamTag(upstream);
        packet.isAck = true;
        packet.sequence = 101 + 100 * m_requests;
        packet.acknowledged = 5000 + 1000 * m_requests;
        packet.payloadBytes = 100;
        ++m_requests;
        core.onPacket(packet, std::vector<std::uint8_t>{1});
    }

    static entry_settings hostSettings()
    {
        entry_settings settings;
        settings.self = host_record{"h1", "here", {}, 1};
        return settings;
    }

    fake_clock clock;
    counting_output output;
    entry_core core{hostSettings(), clock, 1, output};

private:
    std::uint32_t m_requests = 0;
};

} // namespace

// Guards against open flows on a new route that are reset by a host which gets the configuration
// later than the one that placed them.
TEST_CASE_FIXTURE(host_with_one_route,
                  "unknown route: a flow opened by a newer configuration: forwarded until that "
                  "comes, and after")
{
    receiveData(newPort);
    advanceTime(600);
    receiveData(newPort);
    CHECK(output.forwarded == 2);
    core.onRecordChange(configChange(2, {knownPort, newPort}));
    confirmView();
    receiveData(newPort);
    CHECK(output.forwarded == 3);
    CHECK(output.resets == 0);
}

// Guards against the same where the host knew the route before: it has the configuration without
// it, and not yet the one that added it again.
TEST_CASE_FIXTURE(host_with_one_route,
                  "unknown route: a route is dropped and added again on its port: flows opened by "
                  "the newest configuration are not reset")
{
    core.onRecordChange(configChange(2, {newPort}));
    core.onViewConfirmed(clock.monotonic());
    advanceTime(50);
    receiveData(knownPort);
    CHECK(output.resets == 0);
    core.onRecordChange(configChange(3, {newPort, knownPort}));
    confirmView();
    receiveData(knownPort);
    CHECK(output.forwarded == 2);
    CHECK(output.resets == 0);
}

// Guards against flows of dropped routes that live on at hosts which did not place them.
TEST_CASE_FIXTURE(host_with_one_route,
                  "unknown route: the view is confirmed after the flow was seen, and lacks the "
                  "route: reset")
{
    SUBCASE("the route was dropped before this host started")
    {
        receiveData(newPort);
        REQUIRE(output.resets == 0);
        confirmView();
        receiveData(newPort);
    }
    SUBCASE("the flow was seen before the route was dropped")
    {
        receiveData(knownPort);
        core.onRecordChange(configChange(2, {newPort}));
        confirmView();
        receiveData(knownPort);
    }
    CHECK(output.forwarded == 1);
    CHECK(output.resets == 1);
}

// Guards against a confirmation that says nothing of the configuration being taken for one.
TEST_CASE_FIXTURE(host_with_one_route,
                  "unknown route: a newer configuration may exist: flows are not reset")
{
    receiveData(newPort);
    SUBCASE("the view was confirmed as of a time before the flow was seen")
    {
        core.onViewConfirmed(clock.monotonic() - milliseconds(1));
    }
    SUBCASE("another host has a newer configuration")
    {
        reportVersion(2);
        confirmView();
    }
    SUBCASE("the configuration in the store cannot be read")
    {
        record_change change;
        change.revision = 102;
        change.content = record_change::unreadable{"cut off"};
        core.onRecordChange(change);
        confirmView();
    }
    receiveData(newPort);
    CHECK(output.resets == 0);
    CHECK(output.forwarded == 2);
}

TEST_CASE_FIXTURE(host_with_one_route,
                  "unknown route: the upstream of the flow is not known here either: dropped, not "
                  "reset")
{
    receiveData(newPort, 99);
    CHECK(output.forwarded == 0);
    CHECK(output.resets == 0);
}

// Guards against callers that are refused on a new route, although the configuration comes before
// their next SYN.
TEST_CASE_FIXTURE(host_with_one_route,
                  "unknown route: a SYN, another host has a newer configuration: no answer while "
                  "its caller retransmits, then refused")
{
    advanceTime(100);
    reportVersion(2);
    receiveSyn(newPort);
    CHECK(output.resets == 0);
    advanceTime(200);
    core.onRecordChange(configChange(2, {knownPort, newPort}));
    receiveSyn(newPort, 1);
    CHECK(output.forwarded == 1);
    reportVersion(3);
    advanceTime(1400);
    receiveSyn(8443);
    CHECK(output.resets == 1);
}

// Guards against a refusal that reaches a caller whose flow another host has just opened.
TEST_CASE_FIXTURE(host_with_one_route,
                  "unknown route: a retransmitted SYN, the first went elsewhere: not refused")
{
    receiveSyn(newPort, 1);
    CHECK(output.resets == 0);
    receiveSyn(newPort);
    CHECK(output.resets == 1);
}
