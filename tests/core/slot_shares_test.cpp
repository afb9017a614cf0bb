#include "figstair/core/load/slot_shares.h"

#include <map>
#include <memory>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"
#include "figstair/core/load/load_board.h"

using namespace figstair;

namespace {

const std::string service = "desk";

/// One host's view of a fleet.
struct host_view
{
    explicit host_view(const host_record &self)
        : roster(self)
    {
    }

    upstream_directory directory{milliseconds(60000)};
    upstream_health health;
    peer_roster roster;
    slot_shares shares{directory, health, roster};
};

/// Hosts named h0, h1, ... and upstreams with ids from 1, each in the given zones.
struct fleet
{
    fleet(const std::vector<std::string> &hostZones, const std::vector<std::string> &upstreamZones,
          unsigned slots = 2)
        : slots(slots)
    {
        for (const std::string &zone : hostZones) {
            hosts.push_back(host_record{"h" + std::to_string(hosts.size()), zone, {}, 1});
            views.push_back(std::make_unique<host_view>(hosts.back()));
        }
        for (std::size_t view = 0; view < views.size(); ++view) {
            for (const host_record &other : hosts) {
                views[view]->roster.onHostMessage(other, false, now);
            }
            for (std::size_t step = 0; step < upstreamZones.size(); ++step) {
                // Hosts learn of upstreams in different orders.
                const std::size_t index = (step + view) % upstreamZones.size();
                add(*views[view], index + 1, upstreamZones[index]);
            }
        }
    }

    void add(host_view &view, std::uint64_t id, const std::string &zone) const
    {
        upstream_record entry;
        entry.id = id;
        entry.service = service;
        entry.zone = zone;
        entry.slots = slots;
        view.directory.apply(changeOf(entry, 1), now);
    }

    /// Slots by upstream id that all hosts together count as theirs.
    std::map<std::uint64_t, double> sum()
    {
        std::map<std::uint64_t, double> total;
        for (const auto &view : views) {
            for (const auto &[upstream, part] : view->shares.of(service, now).home) {
                total[view->directory.at(upstream).entry.id] += part;
            }
        }
        return total;
    }

    double slotsOf(std::size_t host) { return views[host]->shares.of(service, now).slots; }

    unsigned slots;
    std::vector<host_record> hosts;
    std::vector<std::unique_ptr<host_view>> views;
    monotonic_time now{milliseconds(10000)};
};

} // namespace

TEST_CASE("slot_shares: any fleet: each slot is one host's, each host has as many")
{
    fleet three({"a", "a", "b"}, {"a", "a", "a", "b", "b"});
    fleet moreHosts({"a", "a", "a", "a", "a", "b", "b"}, {"a", "b"});
    fleet manyZones({"a", "b", "c", "c", "d"}, {"a", "a", "b", "b", "b", "c", "d", "d", "d"}, 4);
    for (fleet *item : {&three, &moreHosts, &manyZones}) {
        const auto total = item->sum();
        for (const auto &[id, slots] : total) {
            CHECK(slots == doctest::Approx(item->slots));
        }
        for (std::size_t host = 1; host < item->hosts.size(); ++host) {
            CHECK(item->slotsOf(host) == doctest::Approx(item->slotsOf(0)));
        }
    }
}

TEST_CASE("slot_shares: as many slots in each zone as its hosts need: all are in the own zone")
{
    fleet even({"a", "a", "b", "b"}, {"a", "a", "b", "b"});
    for (const auto &view : even.views) {
        for (const auto &[upstream, part] : view->shares.of(service, even.now).home) {
            const std::uint16_t zone = view->directory.at(upstream).zone;
            CHECK(view->directory.zoneName(zone) == view->roster.self().zone);
        }
    }
}

TEST_CASE("slot_shares: a zone without upstreams: its hosts get what the other zones have left")
{
    fleet uneven({"a", "b"}, {"b", "b", "b"});
    CHECK(uneven.slotsOf(0) == doctest::Approx(3));
    CHECK(uneven.slotsOf(1) == doctest::Approx(3));
    CHECK(uneven.sum().size() == 3);
}

TEST_CASE("slot_shares: a host with more demand: gets more slots, within bounds")
{
    fleet pair({"a", "a"}, {"a", "a", "a"});
    for (int arrival = 0; arrival < 400; ++arrival) {
        pair.now += milliseconds(10);
        pair.views[0]->shares.onArrival(pair.now);
    }
    pair.views[0]->roster.onHostMessage(pair.hosts[1], false, pair.now);
    pair.views[0]->roster.setNewFlowsPerSecond("h1", 50);
    CHECK(pair.slotsOf(0) == doctest::Approx(4).epsilon(0.02));
    pair.now += milliseconds(200);
    pair.views[0]->roster.setNewFlowsPerSecond("h1", 100'000);
    CHECK(pair.slotsOf(0) == doctest::Approx(6.0 / 5).epsilon(0.02));
}

TEST_CASE("slot_shares: ejected and cold upstreams: have no slots to divide")
{
    fleet pair({"a", "a"}, {"a", "a", "a"});
    for (const auto &view : pair.views) {
        const upstream_index upstream = view->directory.findTag(upstreamTag(1));
        view->health.onTimeout(upstream, pair.now);
        view->health.onTimeout(upstream, pair.now);
        REQUIRE(view->health.isEjected(upstream));
        upstream_record entry;
        entry.id = 2;
        entry.service = service;
        entry.zone = "a";
        entry.slots = 2;
        entry.coldFor = milliseconds(5000);
        view->directory.apply(changeOf(entry, 2), pair.now);
    }
    const auto total = pair.sum();
    CHECK(total.size() == 1);
    CHECK(total.at(3) == doctest::Approx(2));
}

TEST_CASE("slot_shares: a host leaves or falls silent: the others get its slots")
{
    fleet trio({"a", "a", "a"}, {"a", "a", "a"});
    CHECK(trio.slotsOf(0) == doctest::Approx(2));
    trio.views[0]->roster.onHostMessage(trio.hosts[1], true, trio.now);
    trio.now += milliseconds(200);
    CHECK(trio.slotsOf(0) == doctest::Approx(3));
    trio.now += milliseconds(5000);
    CHECK(trio.slotsOf(0) == doctest::Approx(6));
}

TEST_CASE("slot_shares: hosts that the store lists have not been heard yet: they count for a while")
{
    host_view view(host_record{"me", "a", {}, 1});
    const monotonic_time now(milliseconds(10000));
    upstream_record entry;
    entry.id = 1;
    entry.service = service;
    entry.zone = "a";
    entry.slots = 4;
    view.directory.apply(changeOf(entry, 1), now);
    record_change listed;
    listed.kind = record_kind::host;
    listed.name = "other";
    listed.content = host_record{"other", "a", {}, 1};
    view.roster.apply(listed, now);
    CHECK(view.shares.of(service, now).slots == doctest::Approx(2));
    CHECK(view.shares.of(service, now + milliseconds(3000)).slots == doctest::Approx(4));
}
