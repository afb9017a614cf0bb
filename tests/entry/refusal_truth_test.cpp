#include <algorithm>
#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"
#include "figstair/core/flow/entry_core.h"

using namespace figstair;

// A caller that gets a reset takes its request as not run and may send it again, also an order. So
// no upstream may open a flow that a host has reset. Random schedules of everything that can bring
// the SYNs of one flow to several hosts: losses, delays, retransmissions, hosts that join and leave
// the rotation, restart, or freeze.

namespace {

constexpr std::uint32_t routeAddress = 0xC6120001;
constexpr std::uint16_t routePort = 443;
constexpr std::size_t hostCount = 3;
constexpr std::uint64_t upstreamCount = 2;

/// Longest time that a packet takes from a caller to a host or back, and the shortest.
constexpr int maxPathTime = 20;
constexpr int minPathTime = 1;

struct schedule
{
    class output : public silent_output
    {
    public:
        explicit output(schedule &owner)
            : m_schedule(owner)
        {
        }
        void forward(byte_view packet, const known_upstream &) override
        {
            std::uint16_t port = 0;
            std::memcpy(&port, packet.data(), sizeof port);
            m_schedule.onForwarded(port);
        }
        void reset(const flow_id &flow, std::uint32_t) override
        {
            m_schedule.onReset(flow.callerPort);
        }

    private:
        schedule &m_schedule;
    };

    struct flow_state
    {
        bool isOver = false; ///< the caller got a reset or gave up
        bool wasForwarded = false;
    };

    explicit schedule(std::uint64_t seed)
        : random(seed)
        , inRotation(hostCount, true)
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            outputs.push_back(std::make_unique<output>(*this));
            hosts.emplace_back();
            start(host);
        }
    }

    int pick(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); }

    void at(int delay, std::function<void()> action)
    {
        events.emplace(clock.monotonic() + milliseconds(delay), std::move(action));
    }

    static entry_settings settingsOf(std::size_t host)
    {
        entry_settings settings;
        settings.self = host_record{"h" + std::to_string(host), "here",
                                    endpoint{{}, static_cast<std::uint16_t>(host + 1)}, 1};
        return settings;
    }

    void start(std::size_t host)
    {
        hosts[host] =
            std::make_unique<entry_core>(settingsOf(host), clock, random(), *outputs[host]);
        route_config config;
        config.version = 1;
        config.routes.push_back(route{
            "r", routeAddress, routePort, {{"desk", 1}}, milliseconds(4000), milliseconds(250), 0});
        record_change change;
        change.revision = 1;
        change.content = config;
        std::vector<record_change> listing{change};
        for (std::uint64_t id = 1; id <= upstreamCount; ++id) {
            upstream_record entry;
            entry.id = id;
            entry.service = "desk";
            entry.zone = "here";
            entry.slots = 1;
            listing.push_back(changeOf(entry, 1));
        }
        hosts[host]->onListing(listing, 2);
    }

    void onForwarded(std::uint16_t port) { flows[port].wasForwarded = true; }

    void onReset(std::uint16_t port)
    {
        // The reset takes a while; an upstream that got a SYN meanwhile answers a caller that still
        // waits.
        at(pick(minPathTime, maxPathTime), [this, port] {
            flow_state &flow = flows[port];
            if (!flow.isOver) {
                flow.isOver = true;
                ++resets;
                falseResets += flow.wasForwarded ? 1 : 0;
            }
        });
    }

    /// The host to which the routers send the packets of the flow now.
    std::size_t hostOf(std::uint16_t port) const
    {
        std::vector<std::size_t> used;
        for (std::size_t host = 0; host < hostCount; ++host) {
            if (inRotation[host]) {
                used.push_back(host);
            }
        }
        return used.empty() ? port % hostCount : used[port % used.size()];
    }

    void sendOpening(std::uint16_t port, std::uint32_t retransmissions)
    {
        if (flows[port].isOver || pick(0, 9) == 0) {
            return; // answered, or the packet is lost
        }
        at(pick(minPathTime, maxPathTime), [this, port, retransmissions] {
            flow_packet packet;
            packet.flow =
                flow_id{0x64400000 + std::uint32_t{port} % 5, routeAddress, port, routePort};
            packet.isSyn = true;
            packet.sequence = 1;
            packet.acknowledged = retransmissions;
            std::vector<std::uint8_t> bytes(sizeof port);
            std::memcpy(bytes.data(), &port, sizeof port);
            hosts[hostOf(port)]->onPacket(packet, bytes);
        });
    }

    void openFlow(std::uint16_t port)
    {
        flows.emplace(port, flow_state{});
        sendOpening(port, 0);
        at(200, [this, port] { sendOpening(port, 1); });
        at(600, [this, port] { sendOpening(port, 2); });
        at(1400, [this, port] { flows[port].isOver = true; });
    }

    /// Runs flows and disturbances for @p time.
    void run(int time)
    {
        for (std::uint16_t port = 1; port <= 400; ++port) {
            at(pick(0, time), [this, port] { openFlow(port); });
        }
        for (int step = 0; step < 30; ++step) {
            at(pick(0, time), [this] { disturb(); });
        }
        for (int step = 0; step < (time + 2000) / 5; ++step) {
            at(step * 5, [this, step] {
                for (std::size_t host = 0; host < hostCount; ++host) {
                    hosts[host]->tick();
                    if (step % 20 == 0) {
                        exchangeReports(host);
                    }
                }
            });
        }
        while (!events.empty()) {
            const auto next = events.begin();
            clock.advance(
                std::chrono::duration_cast<milliseconds>(next->first - clock.monotonic()));
            const std::function<void()> action = std::move(next->second);
            events.erase(next);
            action();
        }
    }

    void exchangeReports(std::size_t host)
    {
        if (const auto due = hosts[host]->takeDueReport()) {
            for (std::size_t other = 0; other < hostCount; ++other) {
                if (other != host && pick(0, 4) != 0) {
                    hosts[other]->onPeerReport(due->report);
                }
            }
        }
    }

    void disturb()
    {
        const auto host = static_cast<std::size_t>(pick(0, int(hostCount) - 1));
        switch (pick(0, 3)) {
        case 0:
            start(host);
            break;
        case 1:
            hosts[host]->onFreeze(milliseconds(pick(100, 3000)));
            break;
        default:
            inRotation[host] = !inRotation[host];
            break;
        }
    }

    std::mt19937_64 random;
    fake_clock clock;
    std::multimap<monotonic_time, std::function<void()>> events;
    std::vector<std::unique_ptr<output>> outputs;
    std::vector<std::unique_ptr<entry_core>> hosts;
    std::vector<bool> inRotation;
    std::map<std::uint16_t, flow_state> flows;
    unsigned resets = 0;
    unsigned falseResets = 0;
};

} // namespace

TEST_CASE(
    "entry refusal: random schedules of SYNs, hosts and losses: no upstream got a SYN of a flow "
    "that was reset")
{
    unsigned resets = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        schedule played(seed);
        played.run(4000);
        CHECK(played.falseResets == 0);
        resets += played.resets;
    }
    // Two upstreams with one slot each cannot take 100 flows a second.
    CHECK(resets > 1000);
}
