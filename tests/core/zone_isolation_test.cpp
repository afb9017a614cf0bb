#include "figstair/core/view/zone_isolation.h"

#include <memory>
#include <random>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"

using namespace figstair;

namespace {

/// A host of zone z1 with the state that zone_isolation reads.
struct isolated_host
{
    isolated_host()
    {
        addHost("h2", "z1");
        addHost("h3", "z2");
        addHost("h4", "z3");
        route_config config;
        config.version = 1;
        config.routes.push_back(route{"r1", 1, 443, {{"desk", 1}, {"spare", 0}}, {}, {}, 0});
        config.routes.push_back(route{"r2", 2, 443, {{"print", 1}}, {}, {}, 0});
        routes.accept(config);
    }

    void addHost(const std::string &name, const std::string &zone)
    {
        record_change change;
        change.kind = record_kind::host;
        change.name = name;
        change.content = host_record{name, zone, {}, 1};
        roster.apply(change, now);
    }
    upstream_index addUpstream(std::uint64_t id, const std::string &zone,
                               const std::string &service = "desk", bool isDraining = false)
    {
        upstream_record entry;
        entry.id = id;
        entry.zone = zone;
        entry.service = service;
        entry.isDraining = isDraining;
        directory.apply(changeOf(entry, ++revision), now);
        return directory.findTag(upstreamTag(id));
    }
    void evacuate(const std::string &zone)
    {
        record_change change;
        change.kind = record_kind::evacuation;
        change.name = zone;
        change.revision = ++revision;
        change.content = zone_evacuation{};
        directory.apply(change, now);
    }
    void hear(const std::string &name, const std::string &zone)
    {
        roster.onHostMessage(host_record{name, zone, {}, 1}, false, now);
    }
    void update()
    {
        if (const auto change = isolation.update(mode, now)) {
            changes.emplace_back(toText(change->reason));
        }
    }
    /// Updates every 100 ms for @p time; zone z2 is heard before each if @p isHeard.
    void run(std::int64_t time, bool isHeard)
    {
        for (const monotonic_time end = now + milliseconds(time); now < end;) {
            now += milliseconds(100);
            if (isHeard) {
                hear("h3", "z2");
            }
            update();
        }
    }
    /// Zone z1 is evacuated, z2 has the only usable upstream and is heard.
    upstream_index serveFromOtherZone()
    {
        addUpstream(1, "z1");
        const upstream_index other = addUpstream(2, "z2");
        evacuate("z1");
        run(1000, true);
        REQUIRE(isolation.isInRotation());
        changes.clear();
        return other;
    }

    monotonic_time now{milliseconds(5000)};
    std::uint64_t revision = 0;
    part_mode mode = part_mode::automatic;
    route_table routes;
    upstream_directory directory{milliseconds(60000)};
    load_board loads{directory};
    upstream_health health;
    peer_roster roster{host_record{"h1", "z1", {}, 1}};
    zone_isolation isolation{routes, directory, roster, loads, health};
    std::vector<std::string> changes;
};

/// Runs the reports of a fleet of @p hosts in @p zones without loss, for a minute, and returns how
/// often hosts of zone 0 leave the rotation. Only zones from @p firstServing on have upstreams.
unsigned leavesWithoutFault(unsigned hosts, unsigned zones, unsigned firstServing)
{
    struct member
    {
        explicit member(host_record record)
            : self(std::move(record))
        {
        }

        host_record self;
        isolated_host state;
        peer_roster roster{self};
        zone_isolation isolation{state.routes, state.directory, roster, state.loads, state.health};
        monotonic_time nextReport{};
        std::uint64_t sequence = 0;
    };
    std::vector<std::unique_ptr<member>> fleet;
    std::vector<record_change> records;
    for (unsigned index = 0; index < hosts; ++index) {
        record_change change;
        change.kind = record_kind::host;
        change.name = "host-" + std::to_string(index);
        host_record self{change.name, "z" + std::to_string(index % zones), {}, 1};
        self.peerAddress.port = static_cast<std::uint16_t>(index + 1);
        change.content = self;
        records.push_back(change);
    }
    for (unsigned index = 0; index < hosts; ++index) {
        fleet.push_back(std::make_unique<member>(std::get<host_record>(records[index].content)));
        member &added = *fleet.back();
        for (const record_change &change : records) {
            added.roster.apply(change, {});
        }
        for (unsigned zone = firstServing; zone < zones; ++zone) {
            added.state.addUpstream(zone + 1, "z" + std::to_string(zone));
        }
        added.nextReport = monotonic_time{milliseconds(1000 + (index * 7919U) % 150)};
    }
    unsigned leaves = 0;
    unsigned step = 0;
    std::mt19937 random(1);
    for (monotonic_time now{milliseconds(1000)}; now < monotonic_time{milliseconds(61000)};
         now += milliseconds(10)) {
        ++step;
        for (unsigned index = 0; index < hosts; ++index) {
            member &sender = *fleet[index];
            if (index % zones == 0 || now < sender.nextReport) {
                continue;
            }
            sender.nextReport += sender.roster.reportInterval();
            // News between the reports advance the rotation of the targets too.
            sender.sequence += 1 + (random() % 4 == 0 ? 1 : 0);
            for (const endpoint &target : sender.roster.reportTargets(sender.sequence)) {
                if ((target.port - 1U) % zones == 0) {
                    fleet[target.port - 1U]->roster.onHostMessage(sender.self, false, now);
                }
            }
        }
        for (unsigned index = 0; step % 10 == 0 && index < hosts; index += zones) {
            const auto change = fleet[index]->isolation.update(part_mode::automatic, now);
            leaves += change && change->reason == reach::silentZones ? 1 : 0;
        }
    }
    return leaves;
}

} // namespace

// The fault of the returns platform: hosts that reach no upstream stay in the rotation.
TEST_CASE_FIXTURE(
    isolated_host,
    "zone_isolation: partitioned while evacuated: leaves after 1 s, joins 500 ms after "
    "the partition heals")
{
    serveFromOtherZone();
    run(1000, false);
    CHECK(isolation.isInRotation());
    run(200, false);
    CHECK_FALSE(isolation.isInRotation());
    run(5000, false);
    CHECK(changes == std::vector<std::string>{"silent_zones"});
    run(500, true);
    CHECK_FALSE(isolation.isInRotation());
    run(100, true);
    CHECK(isolation.isInRotation());
    CHECK(changes.back() == "other_zone");
}

// A few lost messages must not move the flows of the zone.
TEST_CASE_FIXTURE(isolated_host, "zone_isolation: silences of 900 ms: stays in the rotation")
{
    serveFromOtherZone();
    for (int round = 0; round < 5; ++round) {
        run(900, false);
        run(100, true);
    }
    CHECK(changes.empty());
}

// A zone that serves its callers itself must not lose its hosts when it is partitioned.
TEST_CASE_FIXTURE(isolated_host, "zone_isolation: a usable upstream in the own zone: stays")
{
    addUpstream(1, "z1", "print");
    addUpstream(2, "z2");
    run(5000, false);
    CHECK(isolation.isInRotation());
    CHECK(changes.empty());
}

TEST_CASE_FIXTURE(isolated_host,
                  "zone_isolation: own upstreams that drain or get no flows: leaves without others")
{
    addUpstream(1, "z1", "desk", true);
    addUpstream(3, "z1", "spare"); // weight 0 in its route
    addUpstream(4, "z1", "unrouted");
    addUpstream(2, "z2");
    run(1000, true);
    run(1200, false);
    CHECK_FALSE(isolation.isInRotation());
}

// Leaving has no benefit if nobody can serve; all zones together would refuse everything.
TEST_CASE_FIXTURE(isolated_host, "zone_isolation: usable upstreams nowhere: stays")
{
    addUpstream(1, "z1");
    addUpstream(2, "z2");
    evacuate("z1");
    evacuate("z2");
    run(5000, false);
    CHECK(isolation.isInRotation());
    CHECK(changes.empty());
}

TEST_CASE_FIXTURE(isolated_host,
                  "zone_isolation: started in a partitioned zone: not ready until another zone is "
                  "heard, then at once")
{
    addUpstream(2, "z2");
    hear("h2", "z1");
    hear("h4", "z3"); // has no upstreams
    update();
    CHECK_FALSE(isolation.isInRotation());
    run(2000, false);
    CHECK_FALSE(isolation.isInRotation());
    run(100, true);
    CHECK(isolation.isInRotation());
    CHECK(changes == std::vector<std::string>{"unheard_since_start", "other_zone"});
}

// What was observed before a freeze says nothing about the time after it.
TEST_CASE_FIXTURE(isolated_host, "zone_isolation: a freeze: restarts the time until it leaves")
{
    const upstream_index upstream = serveFromOtherZone();
    run(900, false);
    hear("h3", "z2");
    loads.onServed(upstream, 1.0, now);
    now += milliseconds(1); // a clock that did not count the freeze
    roster.onResumed(now);
    isolation.onResumed();
    run(300, false);
    CHECK(isolation.isInRotation());
    run(100, false);
    CHECK_FALSE(isolation.isInRotation());
    run(400, true);
    roster.onResumed(now);
    isolation.onResumed();
    run(500, true);
    CHECK_FALSE(isolation.isInRotation());
    run(100, true);
    CHECK(isolation.isInRotation());
}

// Hosts decide alone: one that is partitioned by itself must not take the others of its zone along.
TEST_CASE_FIXTURE(isolated_host,
                  "zone_isolation: hosts of a zone disagree: each keeps to what it hears itself")
{
    serveFromOtherZone();
    isolated_host other;
    other.serveFromOtherZone();
    for (int step = 0; step < 30; ++step) {
        hear("h2", "z1");
        run(100, false);
        other.hear("h2", "z1");
        other.run(100, true);
    }
    CHECK_FALSE(isolation.isInRotation());
    CHECK(other.isolation.isInRotation());
    CHECK(other.changes.empty());
}

// All hosts of the other zone may have stopped while its upstreams still serve this host's flows.
TEST_CASE_FIXTURE(isolated_host, "zone_isolation: no message, but answers through this host: stays")
{
    const upstream_index upstream = serveFromOtherZone();
    for (int step = 0; step < 10; ++step) {
        loads.onServed(upstream, 1.0, now);
        run(500, false);
    }
    CHECK(isolation.isInRotation());
    run(1200, false);
    CHECK_FALSE(isolation.isInRotation());
}

// Without this, a deployment whose upstreams are in a zone without hosts would lose all its hosts.
// Guards against one host that joins for a stray answer, while its zone is partitioned: the routers
// then send all callers of the zone to its hosts again.
TEST_CASE_FIXTURE(isolated_host,
                  "zone_isolation: left the rotation, answers through this host: joins only when "
                  "another zone is heard")
{
    const upstream_index upstream = serveFromOtherZone();
    run(1200, false);
    REQUIRE_FALSE(isolation.isInRotation());
    for (int step = 0; step < 20; ++step) {
        loads.onServed(upstream, 1.0, now);
        run(100, false);
    }
    CHECK_FALSE(isolation.isInRotation());
    run(700, true);
    CHECK(isolation.isInRotation());
}

TEST_CASE_FIXTURE(isolated_host, "zone_isolation: only a zone without hosts has upstreams: stays")
{
    addUpstream(2, "z9");
    run(2000, false);
    CHECK(isolation.isInRotation());
    mode = part_mode::on;
    run(400, false);
    CHECK_FALSE(isolation.isInRotation());
}

// Guards against hosts that take a zone for partitioned because its hosts were stopped.
TEST_CASE_FIXTURE(isolated_host,
                  "zone_isolation: all hosts of the zone with the usable upstream left: stays")
{
    serveFromOtherZone();
    roster.onHostMessage(host_record{"h3", "z2", {}, 1}, true, now);
    run(5000, false);
    CHECK(isolation.isInRotation());
    CHECK(changes.empty());
}

TEST_CASE_FIXTURE(isolated_host, "zone_isolation: switched off: stays, or joins at once")
{
    serveFromOtherZone();
    run(1200, false);
    CHECK_FALSE(isolation.isInRotation());
    mode = part_mode::off;
    update();
    CHECK(isolation.isInRotation());
    run(3000, false);
    CHECK(isolation.isInRotation());
}

// In large fleets a host gets reports from other zones at irregular times, a second apart or more.
TEST_CASE("zone_isolation: large fleets without a fault or requests: no host leaves in a minute")
{
    CHECK(leavesWithoutFault(79, 3, 1) == 0);
    CHECK(leavesWithoutFault(79, 3, 2) == 0);
    CHECK(leavesWithoutFault(132, 4, 1) == 0);
    CHECK(leavesWithoutFault(132, 4, 3) == 0);
}

TEST_CASE_FIXTURE(
    isolated_host,
    "zone_isolation: partitioned in a large fleet: leaves after 1 s if a flow failed, "
    "later without")
{
    for (int index = 0; index < 30; ++index) {
        addHost("z1-" + std::to_string(index), "z1");
        addHost("z2-" + std::to_string(index), "z2");
    }
    const upstream_index upstream = serveFromOtherZone();
    run(1200, false);
    CHECK(isolation.isInRotation());
    health.onTimeout(upstream, now);
    run(400, false);
    CHECK_FALSE(isolation.isInRotation());
    run(1000, true);
    CHECK(isolation.isInRotation());
    run(2300, false);
    CHECK_FALSE(isolation.isInRotation());
}
