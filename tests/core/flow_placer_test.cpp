#include "figstair/core/flow/flow_placer.h"

#include <map>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"

using namespace figstair;

namespace {

const std::string service = "desk";

struct two_zones
{
    two_zones()
    {
        for (std::uint64_t id = 1; id <= 6; ++id) {
            add(id, id <= 3 ? "here" : "there", milliseconds(0));
        }
    }

    void add(std::uint64_t id, const std::string &zone, milliseconds coldFor)
    {
        upstream_record entry;
        entry.id = id;
        entry.service = service;
        entry.zone = zone;
        entry.slots = 2;
        entry.coldFor = coldFor;
        directory.apply(changeOf(entry, ++revision), now);
    }

    placement_result choose(double queueLimit = 2.0, unsigned coldFlowsPerSecond = 2,
                            upstream_index excluded = noUpstream)
    {
        return placer.choose(placement_request{service, coldFlowsPerSecond, queueLimit, excluded},
                             now);
    }

    std::uint64_t idOf(upstream_index index) { return directory.at(index).entry.id; }
    upstream_index indexOf(std::uint64_t id) { return directory.findTag(upstreamTag(id)); }
    void addOpenRequests(std::uint64_t id, unsigned count)
    {
        for (unsigned step = 0; step < count; ++step) {
            loads.addOpenRequest(indexOf(id));
        }
    }

    monotonic_time now{milliseconds(10000)};
    std::uint64_t revision = 0;
    upstream_directory directory{milliseconds(60000)};
    load_board loads{directory};
    upstream_health health;
    peer_roster roster{host_record{"h1", "here", {}, 1}};
    flow_placer placer{directory, loads, health, roster, 1};
};

} // namespace

TEST_CASE_FIXTURE(two_zones, "flow_placer: idle upstreams: the own zone's are chosen, evenly")
{
    std::map<std::uint64_t, int> chosen;
    for (int step = 0; step < 6; ++step) {
        const placement_result result = choose();
        REQUIRE(result.outcome == placement_outcome::placed);
        loads.addOpenRequest(result.upstream);
        ++chosen[idOf(result.upstream)];
    }
    CHECK(chosen[1] == 2);
    CHECK(chosen[2] == 2);
    CHECK(chosen[3] == 2);
}

TEST_CASE_FIXTURE(two_zones, "flow_placer: own zone full: free slots of the other zone are used")
{
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        addOpenRequests(id, 2);
    }
    CHECK(idOf(choose().upstream) > 3);
}

TEST_CASE_FIXTURE(two_zones,
                  "flow_placer: a measured slow upstream: avoided while others have room")
{
    for (int sample = 0; sample < 5; ++sample) {
        loads.onServed(indexOf(1), 6.0, now);
    }
    for (int step = 0; step < 4; ++step) {
        const placement_result result = choose();
        CHECK(idOf(result.upstream) != 1);
        loads.addOpenRequest(result.upstream);
    }
}

TEST_CASE_FIXTURE(two_zones, "flow_placer: all above the queue limit: saturated, not placed")
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        addOpenRequests(id, 3);
    }
    CHECK(choose(1.5).outcome == placement_outcome::saturated);
    CHECK(choose(2.0).outcome == placement_outcome::placed);
}

TEST_CASE_FIXTURE(two_zones, "flow_placer: no upstream of the service: none usable")
{
    const std::string other = "other";
    CHECK(placer.choose(placement_request{other, 2, 2.0, noUpstream}, now).outcome
          == placement_outcome::noneUsable);
}

TEST_CASE_FIXTURE(two_zones,
                  "flow_placer: no host of a zone is heard any more: its upstreams get "
                  "flows only when the own zone has no room")
{
    roster.onHostMessage(host_record{"h2", "there", {}, 1}, false, now);
    now += milliseconds(2000);
    roster.advance(now);
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        addOpenRequests(id, 3);
    }
    for (int step = 0; step < 20; ++step) {
        CHECK(idOf(choose(2.5).upstream) <= 3);
    }
    CHECK(idOf(choose(1.5).upstream) > 3);
}

// Guards against a zone that gets hardly any flows, for good, because its hosts left.
TEST_CASE_FIXTURE(two_zones,
                  "flow_placer: all hosts of a zone left: its upstreams get flows as before")
{
    roster.onHostMessage(host_record{"h2", "there", {}, 1}, false, now);
    roster.onHostMessage(host_record{"h2", "there", {}, 1}, true, now);
    now += milliseconds(2000);
    roster.advance(now);
    for (const std::uint64_t id : {1U, 2U, 3U}) {
        addOpenRequests(id, 3);
    }
    for (int step = 0; step < 20; ++step) {
        CHECK(idOf(choose(2.5).upstream) > 3);
    }
}

TEST_CASE_FIXTURE(two_zones, "flow_placer: all upstreams ejected: saturated, since they may return")
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        health.onTimeout(indexOf(id), now);
        health.onTimeout(indexOf(id), now);
    }
    CHECK(choose().outcome == placement_outcome::saturated);
}

TEST_CASE_FIXTURE(two_zones, "flow_placer: the upstream that did not answer: is not chosen again")
{
    for (int step = 0; step < 20; ++step) {
        CHECK(idOf(choose(2.0, 2, indexOf(2)).upstream) != 2);
    }
}

TEST_CASE_FIXTURE(
    two_zones,
    "flow_placer: a trial is due: a flow that got no answer elsewhere is not used for "
    "it")
{
    health.onTimeout(indexOf(2), now);
    health.onTimeout(indexOf(2), now);
    now += milliseconds(1000);
    const placement_result repeated = choose(2.0, 2, indexOf(1));
    CHECK(repeated.outcome == placement_outcome::placed);
    CHECK(idOf(repeated.upstream) != 2);
    const placement_result fresh = choose();
    CHECK(idOf(fresh.upstream) == 2);
    CHECK(fresh.reason == "trial");
}

TEST_CASE_FIXTURE(two_zones, "flow_placer: warm upstreams with free slots: cold ones get nothing")
{
    add(1, "here", milliseconds(2000));
    for (int step = 0; step < 20; ++step) {
        CHECK(idOf(choose().upstream) != 1);
    }
}

TEST_CASE_FIXTURE(
    two_zones, "flow_placer: only cold upstreams: each gets its limit of flows per second, no more")
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        add(id, "here", milliseconds(5000));
    }
    std::map<std::uint64_t, int> chosen;
    for (int step = 0; step < 40; ++step) {
        const placement_result result = choose();
        if (result.outcome == placement_outcome::placed) {
            ++chosen[idOf(result.upstream)];
        }
    }
    CHECK(chosen.size() == 6);
    for (const auto &[id, count] : chosen) {
        CHECK(count == 2);
    }
    now += milliseconds(1001);
    CHECK(choose().outcome == placement_outcome::placed);
    CHECK(choose(2.0, 0).outcome == placement_outcome::saturated);
}

TEST_CASE_FIXTURE(
    two_zones, "flow_placer: a cold upstream that another host owns: gets no flows from this host")
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        add(id, "there", milliseconds(5000));
    }
    // The live host in the upstreams' zone owns them.
    roster.onHostMessage(host_record{"h2", "there", {}, 1}, false, now);
    CHECK(choose().outcome == placement_outcome::saturated);
}

TEST_CASE("flow_placer: hosts with the same view: exactly one owns each cold upstream")
{
    const monotonic_time now(milliseconds(10000));
    const std::vector<host_record> hosts{{"a", "x", {}, 1}, {"b", "x", {}, 1}, {"c", "y", {}, 1}};
    std::vector<peer_roster> rosters;
    for (const host_record &self : hosts) {
        rosters.emplace_back(self);
        for (const host_record &other : hosts) {
            rosters.back().onHostMessage(other, false, now);
        }
    }
    for (std::uint64_t id = 1; id <= 200; ++id) {
        const std::string zone = id % 2 == 0 ? "x" : "y";
        int owners = 0;
        for (const peer_roster &roster : rosters) {
            owners += roster.owns(id, zone, now) ? 1 : 0;
        }
        CHECK(owners == 1);
    }
}

TEST_CASE("flow_placer: 73,000 upstreams: a nearly idle one is found among the busy")
{
    upstream_directory directory{milliseconds(60000)};
    const monotonic_time now(milliseconds(10000));
    for (std::uint64_t id = 1; id <= 73000; ++id) {
        upstream_record entry;
        entry.id = id;
        entry.service = service;
        entry.zone = "z" + std::to_string(id % 23);
        entry.slots = 2;
        directory.apply(changeOf(entry, id), now);
    }
    load_board loads{directory};
    upstream_health health;
    const peer_roster roster{host_record{"h1", "z1", {}, 1}};
    flow_placer placer{directory, loads, health, roster, 1};
    std::uint64_t shared = 0;
    for (upstream_index index = 0; index < directory.size(); ++index) {
        if (index % 2 == 0) {
            loads.addOpenRequest(index);
            loads.addOpenRequest(index);
        }
        shared += directory.at(index).isTagShared ? 1 : 0;
    }
    // Packets with a tag shared by two upstreams could reach either, so such upstreams get no
    // flows.
    CHECK(shared < 20);
    for (int step = 0; step < 50; ++step) {
        const placement_result result =
            placer.choose(placement_request{service, 2, 2.0, noUpstream}, now);
        REQUIRE(result.outcome == placement_outcome::placed);
        CHECK(loads.openRequests(result.upstream) == 0);
        CHECK_FALSE(directory.at(result.upstream).isTagShared);
    }
}

namespace {

/// A host whose share of the service is the upstreams 1 and 2, of its zone.
struct divided_slots : two_zones
{
    divided_slots()
    {
        share.home = {{indexOf(1), 2}, {indexOf(2), 2}};
        share.slots = 4;
        share.serviceSlots = 12;
    }

    placement_result chooseShared(double queueLimit = 2.0, double ownUtilization = 0)
    {
        placement_request request{service, 2, queueLimit, noUpstream};
        request.share = &share;
        request.ownUtilization = ownUtilization;
        return placer.choose(request, now);
    }

    slot_share share;
};

} // namespace

TEST_CASE_FIXTURE(divided_slots, "flow_placer: slots are divided: the host's own are used first")
{
    for (int step = 0; step < 4; ++step) {
        const placement_result result = chooseShared();
        CHECK(idOf(result.upstream) <= 2);
        loads.addOpenRequest(result.upstream);
    }
}

TEST_CASE_FIXTURE(divided_slots,
                  "flow_placer: the host's own slots are full: others that seem free "
                  "are used, those with requests of other hosts are not")
{
    addOpenRequests(1, 2);
    addOpenRequests(2, 2);
    CHECK(idOf(chooseShared().upstream) > 2);
    std::vector<load_row> rows;
    for (std::uint64_t id = 3; id <= 6; ++id) {
        rows.push_back(load_row{upstreamTag(id), 2, 0, false});
    }
    loads.setReport("h2", rows, now);
    CHECK(idOf(chooseShared().upstream) <= 2);
    CHECK(chooseShared(1.0).outcome == placement_outcome::saturated);
}

TEST_CASE_FIXTURE(divided_slots,
                  "flow_placer: an upstream of the host's share drains or its zone is "
                  "evacuated: it gets no flow")
{
    upstream_record entry;
    entry.id = 1;
    entry.service = service;
    entry.zone = "here";
    entry.slots = 2;
    entry.isDraining = true;
    directory.apply(changeOf(entry, ++revision), now);
    for (int step = 0; step < 20; ++step) {
        CHECK(idOf(chooseShared().upstream) != 1);
    }
    record_change evacuated;
    evacuated.kind = record_kind::evacuation;
    evacuated.name = "here";
    evacuated.revision = ++revision;
    evacuated.content = zone_evacuation{};
    directory.apply(evacuated, now);
    for (int step = 0; step < 20; ++step) {
        CHECK(idOf(chooseShared().upstream) > 3);
    }
}

TEST_CASE_FIXTURE(divided_slots,
                  "flow_placer: an upstream of the host's share belongs to another "
                  "service now: it gets no flow")
{
    upstream_record entry;
    entry.id = 1;
    entry.service = "other";
    entry.zone = "here";
    entry.slots = 2;
    entry.startedAtMs = 5;
    directory.apply(changeOf(entry, ++revision), now);
    for (int step = 0; step < 20; ++step) {
        CHECK(idOf(chooseShared().upstream) != 1);
    }
}

namespace {

/// Open requests of a long route (80 ms) and a short one (10 ms) at the upstreams of the own zone.
struct unequal_work : two_zones
{
    unequal_work()
    {
        for (int step = 0; step < 100; ++step) {
            const monotonic_time then = now - milliseconds(20000) + milliseconds(200) * step;
            costs.onAnswer(1, service, 80, then);
            costs.onAnswer(2, service, 10, then);
        }
    }
    void addRequest(std::uint64_t id, route_key route)
    {
        addOpenRequests(id, 1);
        work.add(indexOf(id), costs.classOf(route, service, now), 1, now);
    }
    std::uint64_t chooseByWork(double expectedMs, double queueLimit = 2.0)
    {
        const placement_work estimate{work, expectedMs, 45};
        placement_request request{service, 2, queueLimit, noUpstream};
        request.work = &estimate;
        const placement_result result = placer.choose(request, now);
        return result.outcome == placement_outcome::placed ? idOf(result.upstream) : 0;
    }

    request_cost costs{part_mode::automatic};
    outstanding_work work{costs};
};

} // namespace

TEST_CASE_FIXTURE(unequal_work,
                  "flow_placer: two short requests at one upstream, a long one at the others: by "
                  "work the first is chosen, by count another")
{
    addRequest(1, 2);
    addRequest(1, 2);
    for (std::uint64_t id = 2; id <= 6; ++id) {
        addRequest(id, 1);
    }
    for (int step = 0; step < 20; ++step) {
        CHECK(chooseByWork(45) == 1);
        CHECK(idOf(choose().upstream) != 1);
    }
}

TEST_CASE_FIXTURE(unequal_work,
                  "flow_placer: requests of other hosts: count as the mean work of the service")
{
    add(4, "here", milliseconds(0));
    addRequest(1, 2);
    for (std::uint64_t id = 2; id <= 3; ++id) {
        addRequest(id, 1);
    }
    loads.setReport("h2", std::vector<load_row>{load_row{upstreamTag(4), 1, 0, false}}, now);
    CHECK(chooseByWork(45) == 1);
    addRequest(1, 1);
    CHECK(chooseByWork(45) == 4);
}

TEST_CASE_FIXTURE(unequal_work,
                  "flow_placer: upstreams are full by count: placement by work exceeds no limit")
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        for (int step = 0; step < 3; ++step) {
            addRequest(id, 2);
        }
    }
    CHECK(chooseByWork(80, 1.5) == 0);
    CHECK(chooseByWork(80, 2.0) != 0);
}

TEST_CASE_FIXTURE(unequal_work,
                  "flow_placer: a measured slow upstream: avoided when flows are placed by work")
{
    for (int sample = 0; sample < 5; ++sample) {
        loads.onServed(indexOf(1), 8.0, now);
    }
    for (int step = 0; step < 20; ++step) {
        CHECK(chooseByWork(45) != 1);
    }
}

TEST_CASE_FIXTURE(unequal_work,
                  "flow_placer: a local upstream has a free slot behind a long request: a short "
                  "request stays in the own zone")
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        addRequest(id, 1);
    }
    for (int step = 0; step < 20; ++step) {
        CHECK(chooseByWork(10) <= 3);
    }
}

namespace {

/// Requests of both routes at the two slots of each upstream, placed by work or by count. One
/// upstream is slower than the others.
struct slow_among_six : unequal_work
{
    struct open_request
    {
        std::uint64_t id = 0;
        double restMs = 0;
        double idealMs = 0;
        unsigned requestsAtStart = 0;
        monotonic_time startedAt;
        work_handle handle = 0;
    };

    /// Returns the share of the flows that the slow upstream got.
    double shareOfSlow(bool isByWork, double slowdown, unsigned arrivalsPer100Ms, unsigned seed)
    {
        std::mt19937_64 random(seed);
        std::vector<open_request> open;
        unsigned placed = 0;
        unsigned placedAtSlow = 0;
        for (int step = 0; step < 20000; ++step) {
            now += milliseconds(1);
            std::map<std::uint64_t, unsigned> served;
            for (std::size_t index = 0; index < open.size();) {
                open_request &item = open[index];
                // The first two requests of each upstream have its slots.
                if (++served[item.id] <= 2) {
                    item.restMs -= item.id == 1 ? 1 / slowdown : 1;
                }
                if (item.restMs > 0) {
                    ++index;
                    continue;
                }
                const double tookMs = double((now - item.startedAt).count());
                loads.onServed(indexOf(item.id),
                               tookMs / std::max(1.0, item.requestsAtStart / 2.0) / item.idealMs,
                               now);
                loads.removeOpenRequest(indexOf(item.id));
                work.remove(indexOf(item.id), item.handle);
                open.erase(open.begin() + std::ptrdiff_t(index));
            }
            if (random() % 100 >= arrivalsPer100Ms) {
                continue;
            }
            const route_key route = 1 + random() % 2;
            const work_class requests = costs.classOf(route, service, now);
            const placement_work estimate{work, costs.expected(requests),
                                          costs.serviceMean(requests)};
            placement_request request{service, 2, 2.0, noUpstream};
            request.work = isByWork ? &estimate : nullptr;
            const placement_result result = placer.choose(request, now);
            if (result.outcome != placement_outcome::placed) {
                continue;
            }
            loads.addOpenRequest(result.upstream);
            const double idealMs = route == 1 ? 80 : 10;
            const unsigned atStart = loads.openRequests(result.upstream);
            open.push_back({idOf(result.upstream), idealMs, idealMs, atStart, now,
                            work.add(result.upstream, requests, atStart / 2.0, now)});
            ++placed;
            placedAtSlow += idOf(result.upstream) == 1 ? 1 : 0;
        }
        return double(placedAtSlow) / placed;
    }
};

/// Mean of shareOfSlow() over 8 seeds.
double meanShareOfSlow(bool isByWork, double slowdown, unsigned arrivalsPer100Ms)
{
    double sum = 0;
    for (unsigned seed = 1; seed <= 8; ++seed) {
        sum += slow_among_six().shareOfSlow(isByWork, slowdown, arrivalsPer100Ms, seed);
    }
    return sum / 8;
}

} // namespace

TEST_CASE("flow_placer: an upstream is five times slower: it gets few flows, also when they are "
          "placed by work")
{
    // 14 and 18 requests per 100 ms occupy 52% and 67% of the slots of equally fast upstreams.
    for (const bool isByWork : {false, true}) {
        CHECK(meanShareOfSlow(isByWork, 5, 14) < meanShareOfSlow(isByWork, 1, 14) / 5);
        CHECK(meanShareOfSlow(isByWork, 5, 18) < meanShareOfSlow(isByWork, 1, 18) * 0.6);
    }
}

TEST_CASE_FIXTURE(unequal_work,
                  "flow_placer: long requests at all other upstreams: a suspected upstream gets no "
                  "short request")
{
    health.onTimeout(indexOf(1), now);
    REQUIRE(health.eligibilityOf(indexOf(1), now) == placement_eligibility::lastResort);
    for (std::uint64_t id = 2; id <= 6; ++id) {
        for (int step = 0; step < 3; ++step) {
            addRequest(id, 1);
        }
    }
    for (int step = 0; step < 20; ++step) {
        CHECK(chooseByWork(7) != 1);
    }
}
