#include "figstair/core/flow/entry_core.h"

#include <algorithm>
#include <array>
#include <random>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"

using namespace figstair;

namespace {

constexpr std::uint32_t routeAddress = 0xC6120001;
constexpr std::uint16_t routePort = 443;
constexpr std::uint32_t callerAddress = 0x64400007;

class recording_output : public entry_output
{
public:
    struct forwarded
    {
        std::uint64_t upstream;
        std::uint8_t mark; ///< first byte of the packet
    };

    void forward(byte_view packet, const known_upstream &upstream) override
    {
        sent.push_back(forwarded{upstream.entry.id, packet.empty() ? std::uint8_t{0} : packet[0]});
    }
    void reset(const flow_id &, std::uint32_t sequence) override { resets.push_back(sequence); }
    void logEvent(std::string_view name, event_fields) override { events.emplace_back(name); }
    void count(entry_counter which, std::uint64_t amount) override
    {
        counts[static_cast<std::size_t>(which)] += amount;
    }
    void observe(entry_distribution, milliseconds) override { }

    std::uint64_t counterValue(entry_counter which) const
    {
        return counts[static_cast<std::size_t>(which)];
    }

    std::vector<forwarded> sent;
    std::vector<std::uint32_t> resets;
    std::vector<std::string> events;
    std::array<std::uint64_t, static_cast<std::size_t>(entry_counter::count)> counts{};
};

entry_settings hostSettings()
{
    entry_settings settings;
    settings.self = host_record{"h1", "here", {}, 1};
    return settings;
}

/// A host past the rotation settle time, with four upstreams in its zone.
struct settled_host
{
    settled_host()
    {
        core.onListing(listing(1), 100);
        advanceTime(2000);
    }

    static route_config config(std::uint64_t version, bool hasRoute = true)
    {
        route_config result;
        result.version = version;
        if (hasRoute) {
            result.routes.push_back(route{"r",
                                          routeAddress,
                                          routePort,
                                          {{"desk", 1}},
                                          milliseconds(4000),
                                          milliseconds(250),
                                          0});
        }
        return result;
    }
    static record_change configChange(const route_config &content, std::uint64_t revision)
    {
        record_change change;
        change.revision = revision;
        change.content = content;
        return change;
    }
    static record_change upstreamChange(std::uint64_t id, std::uint64_t revision,
                                        bool isDraining = false, std::int64_t bornMs = 1)
    {
        upstream_record entry;
        entry.id = id;
        entry.service = "desk";
        entry.zone = "here";
        entry.slots = 2;
        entry.isDraining = isDraining;
        entry.startedAtMs = bornMs;
        return changeOf(entry, revision);
    }
    static std::vector<record_change> listing(std::uint64_t version)
    {
        std::vector<record_change> records{configChange(config(version), 50)};
        for (std::uint64_t id = 1; id <= 4; ++id) {
            records.push_back(upstreamChange(id, 50 + id));
        }
        return records;
    }

    void advanceTime(std::int64_t time)
    {
        const monotonic_time end = clock.monotonic() + milliseconds(time);
        while (clock.monotonic() < end) {
            clock.advance(milliseconds(5));
            core.tick();
        }
    }
    static flow_packet packetOf(std::uint16_t port)
    {
        flow_packet packet;
        packet.flow = flow_id{callerAddress, routeAddress, port, routePort};
        packet.sequence = 1;
        return packet;
    }
    void receive(const flow_packet &packet, std::uint8_t mark = 1)
    {
        const std::vector<std::uint8_t> bytes{mark};
        core.onPacket(packet, bytes);
    }
    void receiveSyn(std::uint16_t port, std::uint32_t retransmissions = 0,
                    std::uint32_t sequence = 1)
    {
        flow_packet packet = packetOf(port);
        packet.isSyn = true;
        packet.sequence = sequence;
        packet.acknowledged = retransmissions;
        receive(packet);
    }
    flow_packet subsequentPacket(std::uint16_t port, std::uint64_t upstream)
    {
        flow_packet packet = packetOf(port);
        packet.isAck = true;
        packet.sequence = 2;
        packet.acknowledged = 1;
        packet.upstreamTag = upstreamTag(upstream);
        return packet;
    }
    /// The first data of a flow whose SYN had the number @p sequence. The acknowledged number is
    /// specific to the upstream.
    static flow_packet dataPacket(std::uint16_t port, std::uint64_t upstream,
                                  std::uint32_t sequence)
    {
        flow_packet packet = packetOf(port);
        packet.isAck = true;
        packet.sequence = sequence + 1;
        packet.acknowledged = static_cast<std::uint32_t>(upstream << 28U) + 1;
        packet.payloadBytes = 100;
        packet.upstreamTag = upstreamTag(upstream);
        return packet;
    }
    unsigned openRequestsOf(std::uint64_t upstream)
    {
        return core.loads().openRequests(core.directory().findTag(upstreamTag(upstream)));
    }
    /// Completes the handshake of a flow and returns its upstream.
    std::uint64_t establishFlow(std::uint16_t port)
    {
        receiveSyn(port);
        const std::uint64_t upstream = output.sent.back().upstream;
        receive(subsequentPacket(port, upstream));
        return upstream;
    }

    fake_clock clock;
    recording_output output;
    entry_core core{hostSettings(), clock, 1, output};
};

} // namespace

TEST_CASE_FIXTURE(settled_host, "entry_core: a SYN: goes to one upstream")
{
    receiveSyn(1);
    CHECK(output.sent.size() == 1);
    CHECK(output.counterValue(entry_counter::flowsPlaced) == 1);
}

TEST_CASE_FIXTURE(settled_host, "entry_core: a SYN without a route: reset at once")
{
    flow_packet packet = packetOf(1);
    packet.isSyn = true;
    packet.flow.routePort = 9;
    receive(packet);
    CHECK(output.sent.empty());
    CHECK(output.resets.size() == 1);
}

TEST_CASE("entry_core: before the first listing: nothing is forwarded, nothing is reset")
{
    fake_clock clock;
    recording_output output;
    entry_core core(hostSettings(), clock, 1, output);
    flow_packet packet = settled_host::packetOf(1);
    packet.isSyn = true;
    const std::vector<std::uint8_t> bytes{1};
    core.onPacket(packet, bytes);
    packet.isSyn = false;
    packet.isAck = true;
    packet.upstreamTag = upstreamTag(1);
    core.onPacket(packet, bytes);
    CHECK(output.sent.empty());
    CHECK(output.resets.empty());
}

TEST_CASE_FIXTURE(settled_host, "entry_core: a service without upstreams: refused at once")
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        core.onRecordChange(upstreamChange(id, 200 + id, true));
    }
    receiveSyn(1);
    CHECK(output.sent.empty());
    CHECK(output.resets.size() == 1);
}

TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: the first packet seen of a flow is no SYN: goes to the upstream of its tag")
{
    receive(subsequentPacket(1, 3));
    REQUIRE(output.sent.size() == 1);
    CHECK(output.sent.front().upstream == 3);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: an upstream drains or leaves: packets of its flows still reach it")
{
    const std::uint64_t upstream = establishFlow(1);
    core.onRecordChange(upstreamChange(upstream, 300, true));
    receive(subsequentPacket(1, upstream));
    CHECK(output.sent.back().upstream == upstream);
    record_change gone = upstreamChange(upstream, 301);
    gone.content = record_change::removed{};
    core.onRecordChange(gone);
    receive(subsequentPacket(1, upstream));
    CHECK(output.sent.back().upstream == upstream);
    receiveSyn(2);
    CHECK(output.sent.back().upstream != upstream);
}

TEST_CASE_FIXTURE(settled_host, "entry_core: an unknown tag: dropped and counted")
{
    flow_packet packet = subsequentPacket(1, 1);
    packet.upstreamTag = 42;
    receive(packet);
    CHECK(output.sent.empty());
    CHECK(output.resets.empty());
    CHECK(output.counterValue(entry_counter::packetsWithUnknownTag) == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a SYN-ACK from the callers' side: dropped as reflected")
{
    flow_packet packet = packetOf(1);
    packet.isSyn = true;
    packet.isAck = true;
    receive(packet);
    CHECK(output.sent.empty());
    CHECK(output.counterValue(entry_counter::packetsReflected) == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: an older configuration comes: the newer stays in force")
{
    core.onRecordChange(configChange(config(9), 400));
    core.onRecordChange(configChange(config(8, false), 401));
    CHECK(core.configVersion() == 9);
    receiveSyn(1);
    CHECK(output.sent.size() == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a configuration drops the route: open flows of it are reset")
{
    const std::uint64_t upstream = establishFlow(1);
    core.onRecordChange(configChange(config(9, false), 400));
    const std::size_t before = output.sent.size();
    receive(subsequentPacket(1, upstream));
    CHECK(output.sent.size() == before);
    CHECK(output.resets.size() == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a SYN is not answered: it is sent to a second upstream in time")
{
    receiveSyn(1);
    advanceTime(60);
    REQUIRE(output.sent.size() == 2);
    CHECK(output.sent[0].upstream != output.sent[1].upstream);
    advanceTime(100);
    CHECK(output.sent.size() == 2);
}

TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: the first of two upstreams answers after the retry: packets go there")
{
    receiveSyn(1);
    advanceTime(60);
    REQUIRE(output.sent.size() == 2);
    const std::uint64_t first = output.sent[0].upstream;
    const std::uint64_t second = output.sent[1].upstream;
    receive(subsequentPacket(1, first));
    CHECK(output.sent.back().upstream == first);
    // A late answer of the second one changes the tag that the caller echoes, but the flow stays
    // with the first.
    receive(subsequentPacket(1, second));
    CHECK(output.sent.back().upstream == first);
}

// Guards against packets of a flow that go to the upstream of an earlier flow from the same port,
// which resets them: this host saw the earlier flow only, and not its end.
TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a port is used again, the new flow opened through another host: its "
                  "packets go to its own upstream")
{
    receiveSyn(1);
    const std::uint64_t earlier = output.sent.back().upstream;
    receive(dataPacket(1, earlier, 1));
    const std::uint64_t later = earlier % 4 + 1;
    advanceTime(1000);
    for (std::uint32_t step = 0; step < 3; ++step) {
        receive(dataPacket(1, later, 0x50000000 + step * 100));
        CHECK(output.sent.back().upstream == later);
    }
    CHECK(openRequestsOf(earlier) == 0);
    CHECK(openRequestsOf(later) == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a port is used again after the earlier flow closed here: packets of "
                  "the new flow go to its own upstream")
{
    receiveSyn(1);
    const std::uint64_t earlier = output.sent.back().upstream;
    flow_packet end = dataPacket(1, earlier, 1);
    end.isFin = true;
    receive(end);
    const std::uint64_t later = earlier % 4 + 1;
    receive(dataPacket(1, later, 0x50000000));
    CHECK(output.sent.back().upstream == later);
    CHECK(openRequestsOf(later) == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the end of an earlier flow comes while a new one from its port is "
                  "open: the new flow stays as it is")
{
    const std::uint64_t earlier = 1;
    receiveSyn(1, 0, 0x50000000);
    const std::uint64_t later = output.sent.back().upstream;
    receive(dataPacket(1, later, 0x50000000));
    for (const bool isRst : {false, true}) {
        flow_packet end = dataPacket(1, earlier, 1);
        end.payloadBytes = 0;
        end.isFin = !isRst;
        end.isRst = isRst;
        receive(end);
        CHECK(output.sent.back().upstream == earlier);
        CHECK(openRequestsOf(later) == (later == earlier ? 2 : 1));
    }
    receive(dataPacket(1, later, 0x50000100));
    CHECK(output.sent.back().upstream == later);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the end of an earlier flow comes while a SYN from its port is held: "
                  "the SYN stays held")
{
    std::uint16_t port = 1;
    for (; output.counterValue(entry_counter::flowsHeld) == 0; ++port) {
        REQUIRE(port < 40);
        receiveSyn(port, 0, 0x50000000);
    }
    --port;
    const std::size_t placed = output.sent.size();
    flow_packet end = dataPacket(port, 1, 1);
    end.payloadBytes = 0;
    end.isFin = true;
    receive(end);
    REQUIRE(output.sent.size() == placed + 1);
    CHECK(output.sent.back().upstream == 1);
    const std::uint64_t freed = output.sent.front().upstream;
    flow_packet freeing = dataPacket(1, freed, 0x50000000);
    freeing.isFin = true;
    receive(freeing);
    advanceTime(10);
    CHECK(output.counterValue(entry_counter::flowsPlaced) == placed + 1);
}

TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: a SYN is held, its caller sends data on another flow from that port: "
    "the SYN is not placed any more")
{
    std::uint16_t port = 1;
    for (; output.counterValue(entry_counter::flowsHeld) == 0; ++port) {
        REQUIRE(port < 40);
        receiveSyn(port, 0, 0x50000000);
    }
    --port;
    const std::size_t placed = output.counterValue(entry_counter::flowsPlaced);
    receive(dataPacket(port, 1, 1));
    CHECK(output.sent.back().upstream == 1);
    flow_packet freeing = dataPacket(1, output.sent.front().upstream, 0x50000000);
    freeing.isFin = true;
    receive(freeing);
    advanceTime(10);
    CHECK(output.counterValue(entry_counter::flowsPlaced) == placed);
}

// Guards against packets that go to another upstream because the directory used the index of their
// own, which it had forgotten, again.
TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: the upstream of an open flow was forgotten, its index names another: "
    "packets of the flow are dropped")
{
    const std::uint64_t upstream = establishFlow(1);
    record_change gone = upstreamChange(upstream, 300);
    gone.content = record_change::removed{};
    core.onRecordChange(gone);
    for (int second = 0; second < 62; ++second) {
        receive(subsequentPacket(1, upstream));
        advanceTime(1000);
    }
    core.onRecordChange(upstreamChange(9, 301));
    output.sent.clear();
    receive(subsequentPacket(1, upstream));
    CHECK(output.sent.empty());
    CHECK(output.counterValue(entry_counter::packetsWithUnknownTag) >= 1);
}

TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: a large body passes through other hosts meanwhile: the flow is still "
    "the same one")
{
    receiveSyn(1, 0, 0x50000000);
    advanceTime(60);
    REQUIRE(output.sent.size() == 2);
    const std::uint64_t first = output.sent[0].upstream;
    const std::uint64_t second = output.sent[1].upstream;
    receive(dataPacket(1, first, 0x50000000));
    flow_packet packet = dataPacket(1, first, 0x50000000 + 500'000);
    packet.acknowledged += 500'000;
    packet.upstreamTag = upstreamTag(second); // of its late answer to the SYN
    receive(packet);
    CHECK(output.sent.back().upstream == first);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the host froze: missing answers do not count against upstreams")
{
    receiveSyn(1);
    clock.advance(milliseconds(3000));
    core.onFreeze(milliseconds(3000));
    core.tick();
    CHECK(output.sent.size() == 1);
    CHECK(std::find(output.events.begin(), output.events.end(), "upstream_silent")
          == output.events.end());
    const std::vector<load_row> rows = core.takeDueReport()->report.rows;
    for (const load_row &row : rows) {
        CHECK_FALSE(row.isEjected);
    }
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the rotation changes, the upstream answers other hosts: no retry")
{
    peer_report report;
    report.sender = host_record{"h2", "here", {}, 1};
    core.onPeerReport(report);
    receiveSyn(1);
    advanceTime(80);
    report.rows.push_back(load_row{upstreamTag(output.sent.back().upstream), 1, 0, false, true});
    core.onPeerReport(report);
    advanceTime(200);
    CHECK(output.sent.size() == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the rotation changes, no host gets answers: retried, after a delay")
{
    peer_report report;
    report.sender = host_record{"h2", "here", {}, 1};
    core.onPeerReport(report);
    receiveSyn(1);
    advanceTime(100);
    CHECK(output.sent.size() == 1);
    advanceTime(100);
    CHECK(output.sent.size() == 2);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a flow of another host ends here: no open request is left")
{
    receive(subsequentPacket(1, 1));
    flow_packet last = subsequentPacket(1, 1);
    last.isFin = true;
    receive(last);
    CHECK(core.loads().openRequests(core.directory().findTag(upstreamTag(1))) == 0);
}

TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: upstreams are full: new flows are held, the first free slot gets one")
{
    for (std::uint16_t port = 1; port <= 40; ++port) {
        receiveSyn(port);
    }
    const std::size_t placed = output.sent.size();
    CHECK(placed < 40);
    CHECK(output.counterValue(entry_counter::flowsHeld) == 40 - placed);
    const std::uint64_t upstream = output.sent.front().upstream;
    flow_packet end = subsequentPacket(1, upstream);
    end.isFin = true;
    receive(end);
    advanceTime(10);
    CHECK(output.counterValue(entry_counter::flowsPlaced) == placed + 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a caller reuses the port of a held flow: only its latest SYN is "
                  "forwarded")
{
    constexpr std::uint8_t firstMark = 7;
    constexpr std::uint8_t secondMark = 8;
    std::uint16_t port = 0;
    while (output.counterValue(entry_counter::flowsHeld) == 0) {
        REQUIRE(port < 40);
        flow_packet packet = packetOf(++port);
        packet.isSyn = true;
        receive(packet, firstMark);
    }
    const std::vector<recording_output::forwarded> placed = std::exchange(output.sent, {});
    flow_packet reused = packetOf(port);
    reused.isSyn = true;
    reused.sequence = 9;
    receive(reused, secondMark);
    for (std::uint16_t ended = 1; ended < port; ++ended) {
        flow_packet end = subsequentPacket(ended, placed[ended - 1].upstream);
        end.isFin = true;
        receive(end);
    }
    advanceTime(10);
    const auto sentCount = [&](std::uint8_t mark) {
        return std::count_if(output.sent.begin(), output.sent.end(),
                             [&](const auto &entry) { return entry.mark == mark; });
    };
    CHECK(sentCount(firstMark) == 0);
    CHECK(sentCount(secondMark) == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: ports of held flows are reused, no slot becomes free: each flow is "
                  "ended once")
{
    for (std::uint32_t sequence = 1; sequence <= 20; ++sequence) {
        for (std::uint16_t port = 1; port <= 50; ++port) {
            flow_packet packet = packetOf(port);
            packet.isSyn = true;
            packet.sequence = sequence;
            receive(packet);
        }
        advanceTime(20);
    }
    const std::uint64_t placed = output.counterValue(entry_counter::flowsPlaced);
    advanceTime(5000);
    const std::uint64_t ended = output.counterValue(entry_counter::flowsRefused)
        + output.counterValue(entry_counter::flowsDropped);
    CHECK(core.state().flowsHeld == 0);
    CHECK(output.resets.size() == output.counterValue(entry_counter::flowsRefused));
    CHECK(ended + placed <= 1000);
}

TEST_CASE_FIXTURE(settled_host, "entry_core: a retransmission of a held SYN: is not held twice")
{
    for (std::uint16_t port = 1; port <= 40; ++port) {
        receiveSyn(port);
    }
    const std::uint64_t held = output.counterValue(entry_counter::flowsHeld);
    receiveSyn(40, 1);
    CHECK(output.counterValue(entry_counter::flowsHeld) == held);
}

TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: an upstream restarts with the same id: old open requests are cleared")
{
    const std::uint64_t upstream = establishFlow(1);
    const upstream_index index = core.directory().findTag(upstreamTag(upstream));
    CHECK(core.loads().openRequests(index) == 1);
    core.onRecordChange(upstreamChange(upstream, 300, false, 2));
    CHECK(core.loads().openRequests(index) == 0);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a host that ejects nearly all upstreams: its ejections are ignored")
{
    peer_report report;
    report.sender = host_record{"h2", "here", {}, 1};
    for (std::uint64_t id = 1; id <= 4; ++id) {
        report.rows.push_back(load_row{upstreamTag(id), 0, 0, true});
    }
    core.onPeerReport(report);
    const std::vector<load_row> rows = core.takeDueReport()->report.rows;
    for (const load_row &row : rows) {
        CHECK_FALSE(row.isEjected);
    }
    receiveSyn(1);
    CHECK(output.sent.size() == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: leaving: is announced in reports, packets are still forwarded")
{
    core.leave();
    CHECK(core.takeDueReport()->report.isLeaving);
    receiveSyn(1);
    CHECK(output.sent.size() == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: 86 hosts: reports to a bounded number, at a bounded rate")
{
    for (int number = 2; number <= 86; ++number) {
        peer_report report;
        report.sender =
            host_record{"h" + std::to_string(number), number % 3 == 0 ? "here" : "there",
                        endpoint{{}, static_cast<std::uint16_t>(number)}, 1};
        core.onPeerReport(report);
    }
    const double targets = double(core.roster().reportTargets(1).size());
    CHECK(targets <= 40);
    CHECK(targets / (double(core.roster().reportInterval().count()) / 1000) <= 130);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a long freeze: SYNs are dropped until a newer view is confirmed")
{
    receiveSyn(1);
    const std::uint64_t upstream = output.sent[0].upstream;
    clock.advance(milliseconds(2500));
    core.onFreeze(milliseconds(2500));
    receiveSyn(2);
    CHECK(output.sent.size() == 1);
    CHECK(core.isResuming());
    receive(subsequentPacket(1, upstream)); // packets of open flows are forwarded
    CHECK(output.sent.size() == 2);
    core.onViewConfirmed(clock.monotonic()
                         - milliseconds(10)); // a view from before the freeze ended
    CHECK(core.isResuming());
    core.onViewConfirmed(clock.monotonic() + milliseconds(1));
    CHECK_FALSE(core.isResuming());
    receiveSyn(3);
    CHECK(output.sent.size() == 3);
}

TEST_CASE_FIXTURE(
    settled_host,
    "entry_core: a long freeze, the store is unreachable: flows are placed after a time limit")
{
    core.onFreeze(milliseconds(2500));
    clock.advance(milliseconds(600));
    receiveSyn(2);
    CHECK(output.sent.size() == 1);
}

TEST_CASE_FIXTURE(settled_host, "entry_core: a short freeze: SYNs that queued up are placed")
{
    core.onFreeze(milliseconds(400));
    receiveSyn(2);
    CHECK(output.sent.size() == 1);
}

TEST_CASE_FIXTURE(settled_host, "entry_core: a SYN is not answered: other hosts hear of it at once")
{
    REQUIRE(core.takeDueReport());
    const monotonic_time regular = core.nextReport();
    receiveSyn(1);
    clock.advance(milliseconds(40));
    core.tick();
    REQUIRE(std::count(output.events.begin(), output.events.end(), "upstream_silent") == 1);
    CHECK(core.nextReport() < regular);
    CHECK(core.nextReport() <= clock.monotonic());
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the rotation changes, a flow falls silent: its request "
                  "is no longer counted, since it continues through another host")
{
    const std::uint64_t upstream = establishFlow(1);
    const upstream_index index = core.directory().findTag(upstreamTag(upstream));
    peer_report report;
    report.sender = host_record{"h2", "here", {}, 1};
    core.onPeerReport(report);
    REQUIRE(core.loads().openRequests(index) == 1);
    advanceTime(300);
    CHECK(core.loads().openRequests(index) == 0);
}

// Guards against a host that has just started or resumed and takes itself for the owner of cold
// upstreams before it has heard from the others.
TEST_CASE_FIXTURE(settled_host,
                  "entry_core: just started, or after a freeze: cold upstreams get no flows for a "
                  "second")
{
    route_config limited = config(2);
    limited.services.push_back(service_limits{"desk", 0, milliseconds(0), 4});
    std::vector<record_change> records{configChange(limited, 50)};
    for (std::uint64_t id = 1; id <= 4; ++id) {
        records.push_back(upstreamChange(id, 50 + id));
        std::get<upstream_record>(records.back().content).coldFor = milliseconds(20000);
    }
    recording_output sent;
    entry_core host(hostSettings(), clock, 1, sent);
    host.onListing(records, 100);
    const auto sendFlows = [&](std::uint16_t firstPort, std::int64_t time) {
        const std::uint64_t before = sent.counterValue(entry_counter::coldFlowsSent);
        for (std::int64_t step = 0; step < time / 10; ++step) {
            flow_packet packet = packetOf(static_cast<std::uint16_t>(firstPort + step));
            packet.isSyn = true;
            const std::vector<std::uint8_t> bytes{1};
            host.onPacket(packet, bytes);
            clock.advance(milliseconds(10));
            host.tick();
        }
        return sent.counterValue(entry_counter::coldFlowsSent) - before;
    };
    CHECK(sendFlows(1000, 1000) == 0);
    CHECK(sendFlows(2000, 1000) > 0);
    host.onFreeze(milliseconds(600));
    CHECK(sendFlows(3000, 1000) == 0);
    CHECK(sendFlows(4000, 1000) > 0);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the route of an unanswered SYN is removed and the SYN comes again: "
                  "its request no longer counts as open")
{
    receiveSyn(1);
    const std::uint64_t upstream = output.sent.back().upstream;
    REQUIRE(openRequestsOf(upstream) == 1);
    core.onRecordChange(configChange(config(2, false), 101));
    receiveSyn(1, 1);
    CHECK(openRequestsOf(upstream) == 0);
    advanceTime(10000);
    CHECK(openRequestsOf(upstream) == 0);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: the restored store has an entry of an earlier start: it is ignored, "
                  "and the upstream's open requests still count")
{
    core.onRecordChange(upstreamChange(1, 101, true, 1));
    core.onRecordChange(upstreamChange(2, 102, true, 1));
    core.onRecordChange(upstreamChange(3, 103, true, 1));
    core.onRecordChange(upstreamChange(4, 104, false, 7));
    REQUIRE(establishFlow(1) == 4);
    const upstream_index index = core.directory().findTag(upstreamTag(4));
    REQUIRE(core.loads().openRequests(index) == 1);
    core.onStoreRestored();
    core.onRecordChange(upstreamChange(4, 54, false, 1));
    CHECK(core.directory().at(index).entry.startedAtMs == 7);
    CHECK(core.loads().openRequests(index) == 1);
}

TEST_CASE_FIXTURE(settled_host,
                  "entry_core: a host has used its share of slots, reports show others "
                  "that are free: it uses those only")
{
    // Another host, of which half of the slots are, and which uses none of them.
    peer_report report;
    report.sender = host_record{"h2", "here", {}, 1};
    core.onPeerReport(report);
    for (int step = 0; step < 20; ++step) {
        advanceTime(100);
        core.onPeerReport(report);
    }
    for (std::uint16_t port = 1; port <= 60; ++port) {
        receiveSyn(port);
    }
    // Four of the eight slots are its own, with up to 1.75 requests each; the others get one each.
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const unsigned open = core.loads().openRequests(core.directory().findTag(upstreamTag(id)));
        CHECK(open >= 2);
    }
    CHECK(output.sent.size() <= 11);
}

// While the zone has no other hosts to go to, the packets of its flows must still be forwarded.
TEST_CASE_FIXTURE(settled_host,
                  "entry_core: evacuated, then partitioned: leaves the rotation, forwards packets, "
                  "joins again after the partition")
{
    REQUIRE(core.isInRotation());
    const std::uint64_t upstream = establishFlow(1);
    record_change remote = upstreamChange(9, 101);
    std::get<upstream_record>(remote.content).zone = "there";
    core.onRecordChange(remote);
    peer_report report;
    report.sender = host_record{"h2", "there", {}, 1};
    core.onPeerReport(report);
    record_change evacuation;
    evacuation.kind = record_kind::evacuation;
    evacuation.name = "here";
    evacuation.revision = 102;
    evacuation.content = zone_evacuation{};
    core.onRecordChange(evacuation);
    advanceTime(900);
    CHECK(core.isInRotation());
    core.onFreeze(milliseconds(300));
    advanceTime(250);
    CHECK(core.isInRotation());
    advanceTime(250);
    CHECK_FALSE(core.isInRotation());
    CHECK(output.counterValue(entry_counter::rotationLeaves) == 1);
    CHECK(output.events.back() == "rotation_left");
    const std::size_t sent = output.sent.size();
    receive(dataPacket(1, upstream, 1));
    CHECK(output.sent.size() == sent + 1);
    for (int step = 0; step < 7; ++step) {
        core.onPeerReport(report);
        advanceTime(100);
    }
    CHECK(core.isInRotation());
    CHECK(output.events.back() == "rotation_joined");
    CHECK(output.counterValue(entry_counter::rotationLeaves) == 1);
}

TEST_CASE("entry_core: no listing yet, or one without a configuration: not in the rotation")
{
    fake_clock clock;
    recording_output output;
    entry_core core(hostSettings(), clock, 1, output);
    const auto run = [&] {
        for (int step = 0; step < 100; ++step) {
            clock.advance(milliseconds(5));
            core.tick();
        }
    };
    run();
    CHECK_FALSE(core.isInRotation());
    core.onListing({}, 100);
    run();
    CHECK_FALSE(core.isInRotation());
    core.onRecordChange(settled_host::configChange(settled_host::config(1), 101));
    run();
    CHECK(core.isInRotation());
    CHECK(output.counterValue(entry_counter::rotationLeaves) == 0);
}

namespace {

/// A host that serves one request after the other.
struct serving_host : settled_host
{
    void serve(unsigned count, std::int64_t workMs, unsigned heavyEvery, std::int64_t heavyMs)
    {
        for (unsigned number = 1; number <= count; ++number) {
            ++port;
            flow_packet packet = subsequentPacket(port, establishFlow(port));
            packet.payloadBytes = 100;
            receive(packet);
            advanceTime(heavyEvery > 0 && number % heavyEvery == 0 ? heavyMs : workMs);
            packet.sequence += 100;
            packet.payloadBytes = 0;
            packet.acknowledged = 1000;
            packet.isFin = true;
            receive(packet);
        }
    }
    /// Random requests for 10 s, each answered 25 to 75 ms after its SYN was forwarded.
    void serveAtRandom(std::uint64_t seed, std::uint64_t openedOfTen)
    {
        std::mt19937_64 random(seed);
        std::vector<std::pair<monotonic_time, flow_packet>> answers;
        std::array<std::uint16_t, 256> portsByMark{};
        std::size_t seen = output.sent.size();
        for (unsigned step = 0; step < 2000; ++step) {
            advanceTime(5);
            while (random() % 10 < openedOfTen) {
                flow_packet packet = packetOf(++port);
                packet.isSyn = true;
                const auto mark = static_cast<std::uint8_t>(1 + port % 255);
                portsByMark.at(mark) = port;
                receive(packet, mark);
            }
            for (; seen < output.sent.size(); ++seen) {
                const recording_output::forwarded sent = output.sent[seen];
                if (sent.mark == 0) {
                    continue; // no SYN
                }
                flow_packet packet = subsequentPacket(portsByMark.at(sent.mark), sent.upstream);
                packet.payloadBytes = 100;
                receive(packet, 0);
                packet.sequence += 100;
                packet.payloadBytes = 0;
                packet.acknowledged = 1000;
                packet.isFin = true;
                answers.emplace_back(clock.monotonic() + milliseconds(25 + random() % 50), packet);
            }
            for (std::size_t index = answers.size(); index-- > 0;) {
                if (answers[index].first <= clock.monotonic()) {
                    receive(answers[index].second, 0);
                    answers[index] = answers.back();
                    answers.pop_back();
                }
            }
        }
    }
    std::size_t changes() const
    {
        return std::size_t(
            std::count(output.events.begin(), output.events.end(), "placement_by_work"));
    }

    std::uint16_t port = 1;
};

} // namespace

TEST_CASE_FIXTURE(serving_host,
                  "entry_core: every twentieth request takes 7 times as long: flows are placed by "
                  "work, once that is known, and it is logged once")
{
    serve(40, 50, 20, 350);
    CHECK(output.counterValue(entry_counter::flowsPlacedByWork) == 0);
    serve(600, 50, 20, 350);
    CHECK(changes() == 1);
    const std::uint64_t placed = output.counterValue(entry_counter::flowsPlacedByWork);
    CHECK(placed > 0);
    entry_settings settings = hostSettings();
    settings.placementByWork = part_mode::off;
    core.updateSettings(settings);
    serve(20, 50, 0, 0);
    CHECK(output.counterValue(entry_counter::flowsPlacedByWork) == placed);
    CHECK(changes() == 2);
}

TEST_CASE_FIXTURE(serving_host,
                  "entry_core: equal work: flows are placed by count, nothing is logged")
{
    serve(600, 50, 0, 0);
    CHECK(output.counterValue(entry_counter::flowsPlacedByWork) == 0);
    CHECK(changes() == 0);
}

TEST_CASE("entry_core: equal work, at any load: with placement by work off and automatic, the same "
          "packets go to the same upstreams")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::array<serving_host, 2> hosts; // off, automatic
        entry_settings settings = hostSettings();
        settings.placementByWork = part_mode::off;
        hosts[0].core.updateSettings(settings);
        for (serving_host &host : hosts) {
            host.serveAtRandom(seed, 2 + 2 * (seed % 3));
        }
        CHECK(hosts[0].output.sent.size() > 1000);
        CHECK(std::equal(hosts[0].output.sent.begin(), hosts[0].output.sent.end(),
                         hosts[1].output.sent.begin(), hosts[1].output.sent.end(),
                         [](const auto &a, const auto &b) { return a.upstream == b.upstream; }));
        CHECK(hosts[0].output.events == hosts[1].output.events);
        CHECK(hosts[0].output.counts == hosts[1].output.counts);
    }
}
