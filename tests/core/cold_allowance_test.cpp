#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"
#include "figstair/core/flow/flow_placer.h"

using namespace figstair;

namespace {

const std::string service = "desk";

/// Flows that one host may send to a cold upstream in a second, and what the upstream bears.
constexpr unsigned flowsPerHost = 5;
constexpr std::size_t flowLimit = 11;

constexpr milliseconds step{10};

/// The roster and the placement of one host, from its start to its end.
struct running_host
{
    running_host(const host_record &self, std::uint64_t seed)
        : roster(self)
        , placer(directory, loads, health, roster, seed)
    {
    }

    upstream_directory directory{milliseconds(60000)};
    load_board loads{directory};
    upstream_health health;
    peer_roster roster;
    flow_placer placer;
    std::uint64_t reports = 0;
    monotonic_time nextReport{};
    bool isFrozen = false;
};

/// Hosts that report to each other and always have flows for one upstream, which stays cold.
class cold_fleet
{
public:
    cold_fleet(unsigned zones, unsigned hostsPerZone, std::uint64_t upstreamId)
        : m_upstreamId(upstreamId)
    {
        for (unsigned zone = 0; zone < zones; ++zone) {
            for (unsigned number = 0; number < hostsPerZone; ++number) {
                const auto port = static_cast<std::uint16_t>(m_records.size() + 1);
                m_records.push_back(host_record{"host-" + std::to_string(port),
                                                "zone-" + std::to_string(zone), endpoint{{}, port},
                                                1});
            }
        }
        m_hosts.resize(m_records.size());
    }

    void start(std::size_t index)
    {
        ++m_records[index].incarnation;
        m_hosts[index] = std::make_unique<running_host>(m_records[index], ++m_starts);
        running_host &host = *m_hosts[index];
        upstream_record entry;
        entry.id = m_upstreamId;
        entry.service = service;
        entry.zone = "zone-0";
        entry.slots = 1000;
        entry.coldFor = milliseconds(100000);
        host.directory.apply(changeOf(entry, 1), m_now);
        for (const host_record &record : m_records) {
            record_change change;
            change.kind = record_kind::host;
            change.name = record.name;
            change.content = record;
            host.roster.apply(change, m_now);
        }
        host.roster.onResumed(m_now);
        host.nextReport = m_now + milliseconds(std::int64_t(index * 37 % 100));
    }
    void startAll()
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            start(index);
        }
    }
    void kill(std::size_t index) { m_hosts[index].reset(); }
    void freeze(std::size_t index) { m_hosts[index]->isFrozen = true; }
    void resume(std::size_t index)
    {
        m_hosts[index]->isFrozen = false;
        m_hosts[index]->roster.onResumed(m_now);
    }

    /// Index of the host that sent the latest flow.
    std::size_t sender() const { return m_sender; }
    std::size_t size() const { return m_hosts.size(); }

    void run(milliseconds time)
    {
        for (const monotonic_time end = m_now + time; m_now < end; m_now += step) {
            for (std::size_t index = 0; index < m_hosts.size(); ++index) {
                if (m_hosts[index] && !m_hosts[index]->isFrozen) {
                    runHost(index);
                }
            }
        }
    }

    std::size_t flowsSince(monotonic_time begin) const
    {
        return static_cast<std::size_t>(std::count_if(
            m_flows.begin(), m_flows.end(), [&](monotonic_time time) { return time >= begin; }));
    }

    /// The most flows of any second.
    std::size_t mostFlows() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_flows.size(); ++last) {
            while (m_flows[last] - m_flows[first] > milliseconds(1000)) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    monotonic_time now() const { return m_now; }

private:
    void runHost(std::size_t index)
    {
        running_host &host = *m_hosts[index];
        host.roster.advance(m_now);
        if (m_now >= host.nextReport) {
            host.nextReport = m_now + host.roster.reportInterval();
            for (const endpoint &target : host.roster.reportTargets(++host.reports)) {
                const std::unique_ptr<running_host> &other = m_hosts[target.port - 1U];
                if (other && !other->isFrozen) {
                    other->roster.onHostMessage(m_records[index], false, m_now);
                }
            }
        }
        const placement_request request{service, flowsPerHost, 2.0, noUpstream};
        if (host.placer.choose(request, m_now).outcome == placement_outcome::placed) {
            m_flows.push_back(m_now);
            m_sender = index;
        }
    }

    std::uint64_t m_upstreamId;
    std::vector<host_record> m_records;
    std::vector<std::unique_ptr<running_host>> m_hosts;
    std::vector<monotonic_time> m_flows;
    std::size_t m_sender = 0;
    std::uint64_t m_starts = 0;
    monotonic_time m_now{milliseconds(100000)};
};

} // namespace

// Guards against several hosts that each take themselves for the owner of a cold upstream: one that
// has just started has not heard from the others and does not know what was sent in the last
// second.
TEST_CASE("cold allowance: hosts killed together start again: within the limit of the upstream")
{
    std::int64_t spreadMs = 0;
    SUBCASE("at once") { }
    SUBCASE("within 0.2 s")
    {
        spreadMs = 50;
    }
    SUBCASE("within 0.6 s")
    {
        spreadMs = 150;
    }
    for (std::uint64_t id = 1; id <= 20; ++id) {
        cold_fleet fleet(3, 3, id);
        fleet.startAll();
        fleet.run(milliseconds(4000));
        for (std::size_t index = 0; index < 5; ++index) {
            fleet.kill(index);
        }
        fleet.run(milliseconds(400));
        for (std::size_t index = 0; index < 5; ++index) {
            fleet.start((index * 3 + id) % 5);
            fleet.run(milliseconds(spreadMs));
        }
        fleet.run(milliseconds(4000));
        CHECK(fleet.mostFlows() <= flowLimit);
        // The upstream is used again.
        CHECK(fleet.flowsSince(fleet.now() - milliseconds(1000)) >= flowsPerHost - 1);
    }
}

TEST_CASE("cold allowance: all hosts start together: one of them uses the upstream within 1.5 s")
{
    unsigned hostsPerZone = 3;
    SUBCASE("9 hosts") { }
    SUBCASE("20 hosts in a zone")
    {
        hostsPerZone = 20;
    }
    for (std::uint64_t id = 1; id <= 5; ++id) {
        cold_fleet fleet(3, hostsPerZone, id);
        fleet.startAll();
        fleet.run(milliseconds(1500));
        CHECK(fleet.flowsSince({}) >= flowsPerHost);
        fleet.run(milliseconds(3000));
        CHECK(fleet.mostFlows() <= flowLimit);
    }
}

TEST_CASE("cold allowance: each owner is killed soon after it took over: within the limit of the "
          "upstream")
{
    for (std::uint64_t id = 1; id <= 20; ++id) {
        cold_fleet fleet(1, 7, id);
        fleet.startAll();
        fleet.run(milliseconds(3000));
        for (int round = 0; round < 4; ++round) {
            const std::size_t owner = fleet.sender();
            fleet.kill(owner);
            fleet.run(milliseconds(500));
            if (round % 2 == 1) {
                fleet.start(owner);
            }
        }
        fleet.run(milliseconds(3000));
        CHECK(fleet.mostFlows() <= flowLimit);
        CHECK(fleet.flowsSince(fleet.now() - milliseconds(1000)) >= flowsPerHost - 1);
    }
}

TEST_CASE("cold allowance: hosts freeze together and resume: within the limit of the upstream")
{
    for (std::uint64_t id = 1; id <= 20; ++id) {
        cold_fleet fleet(3, 3, id);
        fleet.startAll();
        fleet.run(milliseconds(3000));
        for (std::size_t index = 0; index < 5; ++index) {
            fleet.freeze(index);
        }
        fleet.run(milliseconds(2000));
        for (std::size_t index = 0; index < 5; ++index) {
            fleet.resume(index);
        }
        fleet.run(milliseconds(3000));
        CHECK(fleet.mostFlows() <= flowLimit);
    }
}

TEST_CASE("cold allowance: half of a large fleet is killed and starts again: within the limit of "
          "the upstream")
{
    for (std::uint64_t id = 1; id <= 2; ++id) {
        cold_fleet fleet(5, 39, id);
        fleet.startAll();
        fleet.run(milliseconds(6000));
        for (std::size_t index = 0; index < fleet.size(); index += 2) {
            fleet.kill(index);
        }
        fleet.run(milliseconds(600));
        for (std::size_t index = 0; index < fleet.size(); index += 2) {
            fleet.start(index);
            fleet.run(index % 10 == 0 ? step : milliseconds(0));
        }
        fleet.run(milliseconds(5000));
        CHECK(fleet.mostFlows() <= flowLimit);
        CHECK(fleet.flowsSince(fleet.now() - milliseconds(1000)) >= flowsPerHost - 1);
    }
}
