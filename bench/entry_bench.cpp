// Benchmarks of the packet path: forwarding a packet, placing or refusing a flow and applying a
// route configuration.

#include <array>

#include <benchmark/benchmark.h>

#include "entry/entry_doubles.h"
#include "figstair/core/flow/entry_core.h"
#include "platform/packet_format.h"

using namespace figstair;

namespace {

constexpr std::uint32_t routeAddress = 0xC6120001;
constexpr std::uint16_t routePort = 443;
constexpr std::uint32_t callerAddress = 0x64400001;

/// Encodes forwarded packets as the platform adapter does, and discards them.
class encoding_output : public silent_output
{
public:
    void forward(byte_view packet, const known_upstream &upstream) override
    {
        platform::encodeForUpstream(packet, upstream, m_buffer);
        benchmark::DoNotOptimize(m_buffer.data());
    }
    void reset(const flow_id &, std::uint32_t) override { ++m_resets; }
    std::size_t resets() const { return m_resets; }

private:
    std::size_t m_resets = 0;
    byte_buffer m_buffer;
};

route_config configWith(std::size_t routes, std::uint64_t version)
{
    route_config config;
    config.version = version;
    for (std::size_t index = 0; index < routes; ++index) {
        config.routes.push_back(route{"route-" + std::to_string(index),
                                      routeAddress + static_cast<std::uint32_t>(index),
                                      routePort,
                                      {{"desk", 1}},
                                      milliseconds(4000),
                                      milliseconds(250),
                                      1});
    }
    return config;
}

/// A host with 13 routes and a given number of upstreams.
struct loaded_host
{
    explicit loaded_host(std::size_t upstreams, unsigned slots = 4,
                         part_mode placementByWork = part_mode::automatic)
        : core(settings(placementByWork), clock, 1, output)
    {
        std::vector<record_change> listing;
        record_change change;
        change.revision = 1;
        change.content = configWith(13, 1);
        listing.push_back(change);
        for (std::uint64_t id = 1; id <= upstreams; ++id) {
            upstream_record entry;
            entry.id = id;
            entry.service = "desk";
            entry.zone = "zone-" + std::to_string(id % 3);
            entry.slots = slots;
            listing.push_back(changeOf(entry, 1));
        }
        core.onListing(listing, 2);
    }

    static entry_settings settings(part_mode placementByWork)
    {
        entry_settings result;
        result.self = host_record{"h", "zone-0", {}, 1, 100};
        result.maxFlows = std::size_t{1} << 20U;
        result.placementByWork = placementByWork;
        return result;
    }

    fake_clock clock;
    encoding_output output;
    entry_core core;
};

std::array<std::uint8_t, 31> packetBytes(std::uint8_t flags, std::uint16_t port, std::uint32_t tag,
                                         std::uint32_t caller = callerAddress)
{
    std::array<std::uint8_t, 31> bytes{};
    bytes[3] = 1;
    for (unsigned index = 0; index < 4; ++index) {
        const unsigned shift = 24 - 8 * index;
        bytes[8 + index] = static_cast<std::uint8_t>(tag >> shift);
        bytes[21 + index] = static_cast<std::uint8_t>(routeAddress >> shift);
        bytes[25 + index] = static_cast<std::uint8_t>(caller >> shift);
    }
    bytes[16] = flags;
    bytes[19] = static_cast<std::uint8_t>(routePort >> 8U);
    bytes[20] = static_cast<std::uint8_t>(routePort & 255U);
    bytes[29] = static_cast<std::uint8_t>(port >> 8U);
    bytes[30] = static_cast<std::uint8_t>(port & 255U);
    return bytes;
}

constexpr std::uint8_t openFlag = 32;
constexpr std::uint8_t acknowledgeFlag = 64;
constexpr std::uint8_t endFlags = 8 | 64;

/// Baseline without decisions: decodes the packet head and encodes the datagram.
void bareForwarding(benchmark::State &state)
{
    const auto bytes = packetBytes(acknowledgeFlag, 1, upstreamTag(1));
    known_upstream upstream;
    byte_buffer out;
    for (auto step : state) {
        (void)step;
        const auto packet = platform::decodePacket(bytes);
        benchmark::DoNotOptimize(packet);
        platform::encodeForUpstream(bytes, upstream, out);
        benchmark::DoNotOptimize(out.data());
    }
}

void packetOfOpenFlow(benchmark::State &state)
{
    loaded_host host(static_cast<std::size_t>(state.range(0)));
    const auto bytes = packetBytes(acknowledgeFlag, 1, upstreamTag(1));
    for (auto step : state) {
        (void)step;
        host.core.onPacket(*platform::decodePacket(bytes), bytes);
    }
}

void flowPlacedAndEnded(benchmark::State &state)
{
    loaded_host host(static_cast<std::size_t>(state.range(0)));
    std::uint16_t port = 0;
    for (auto step : state) {
        (void)step;
        const auto opening = packetBytes(openFlag, ++port, 0);
        host.core.onPacket(*platform::decodePacket(opening), opening);
        const auto last = packetBytes(endFlags, port, upstreamTag(1));
        host.core.onPacket(*platform::decodePacket(last), last);
        if (port % 64 == 0) {
            host.clock.advance(milliseconds(200));
            host.core.tick();
        }
    }
}

/// A request from its SYN to its answer while each upstream has two other open requests, with
/// placement by work off (0) or on (1).
void requestServed(benchmark::State &state)
{
    const auto upstreams = static_cast<std::uint32_t>(state.range(0));
    loaded_host host(upstreams, 4, state.range(1) == 0 ? part_mode::off : part_mode::on);
    const std::array<std::uint8_t, 31> bytes{};
    std::uint32_t number = 0;
    const auto openNext = [&] {
        ++number;
        flow_packet packet;
        packet.flow = flow_id{callerAddress + (number >> 15U), routeAddress,
                              static_cast<std::uint16_t>(number & 0x7FFFU), routePort};
        packet.isSyn = true;
        host.core.onPacket(packet, bytes);
        packet.isSyn = false;
        packet.sequence = 1;
        packet.acknowledged = 1;
        packet.isAck = true;
        packet.payloadBytes = 100;
        packet.upstreamTag = upstreamTag(1 + number % upstreams);
        host.core.onPacket(packet, bytes);
        return packet;
    };
    const auto answer = [&](flow_packet packet) {
        packet.sequence = 101;
        packet.acknowledged = 1000;
        packet.payloadBytes = 0;
        packet.isFin = true;
        host.core.onPacket(packet, bytes);
    };
    for (unsigned step = 0; step < 200; ++step) {
        const flow_packet request = openNext();
        host.clock.advance(milliseconds(20));
        answer(request);
    }
    for (std::uint32_t step = 0; step < 2 * upstreams; ++step) {
        openNext();
    }
    for (auto step : state) {
        (void)step;
        host.clock.advance(milliseconds(1));
        answer(openNext());
    }
}

/// A new flow while all upstreams are full, each of another caller.
void flowRefused(benchmark::State &state)
{
    loaded_host host(static_cast<std::size_t>(state.range(0)), 1);
    std::uint32_t number = 0;
    const auto openNext = [&] {
        ++number;
        const auto opening = packetBytes(openFlag, static_cast<std::uint16_t>(number), 0,
                                         callerAddress + number % 40);
        host.core.onPacket(*platform::decodePacket(opening), opening);
    };
    while (host.output.resets() == 0) {
        openNext();
        if (number % 1024 == 0) {
            host.clock.advance(milliseconds(1));
        }
    }
    for (auto step : state) {
        (void)step;
        openNext();
    }
}

void configApplied(benchmark::State &state)
{
    const auto routes = static_cast<std::size_t>(state.range(0));
    std::uint64_t version = 1;
    route_config config = configWith(routes, version);
    route_table table;
    for (auto step : state) {
        (void)step;
        config.version = ++version;
        benchmark::DoNotOptimize(table.accept(config));
    }
}

void patchApplied(benchmark::State &state)
{
    const auto routes = static_cast<std::size_t>(state.range(0));
    route_table table;
    table.accept(configWith(routes, 1));
    config_patch patch;
    patch.baseVersion = 1;
    patch.changed = configWith(1, 2);
    for (auto step : state) {
        (void)step;
        benchmark::DoNotOptimize(table.accept(patch));
        ++patch.baseVersion;
        ++patch.changed.version;
    }
}

} // namespace

BENCHMARK(bareForwarding);
BENCHMARK(packetOfOpenFlow)->Arg(15)->Arg(150)->Arg(73000);
BENCHMARK(flowPlacedAndEnded)->Arg(15)->Arg(150)->Arg(73000);
BENCHMARK(requestServed)->ArgsProduct({{15, 150}, {0, 1}});
BENCHMARK(flowRefused)->Arg(15)->Arg(300)->Arg(73000);
BENCHMARK(configApplied)->Arg(170)->Arg(1700)->Arg(17000)->Unit(benchmark::kMicrosecond);
BENCHMARK(patchApplied)->Arg(170)->Arg(1700)->Arg(17000)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
