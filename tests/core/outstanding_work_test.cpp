#include "figstair/core/load/outstanding_work.h"

#include <doctest/doctest.h>

using namespace figstair;

namespace {

const std::string service = "desk";

/// Requests of a long route (80 ms) and a short one (10 ms).
struct two_routes
{
    two_routes()
    {
        for (int step = 0; step < 100; ++step) {
            now += milliseconds(200);
            costs.onAnswer(1, service, 80, now);
            costs.onAnswer(2, service, 10, now);
        }
    }
    work_handle add(upstream_index upstream, route_key route)
    {
        return work.add(upstream, costs.classOf(route, service, now), 1, now);
    }

    monotonic_time now{milliseconds(1000)};
    request_cost costs{part_mode::automatic};
    outstanding_work work{costs};
};

} // namespace

TEST_CASE_FIXTURE(two_routes, "outstanding_work: open requests of two routes: their work is added")
{
    add(3, 1);
    const work_handle brief = add(3, 2);
    CHECK(work.of(3, now) == doctest::Approx(90));
    CHECK(work.of(2, now) == 0);
    CHECK(work.of(99, now) == 0);
    work.remove(3, brief);
    CHECK(work.of(3, now) == doctest::Approx(80));
    work.remove(3, brief);
    CHECK(work.of(3, now) == doctest::Approx(80));
}

TEST_CASE_FIXTURE(two_routes, "outstanding_work: a request in progress: less of its work remains")
{
    const work_handle handle = add(0, 1);
    now += milliseconds(50);
    CHECK(work.of(0, now) < 50);
    work.restart(handle, now);
    CHECK(work.of(0, now) == doctest::Approx(80));
}

TEST_CASE_FIXTURE(two_routes, "outstanding_work: a request that waits behind others: ages slower")
{
    work.add(0, costs.classOf(1, service, now), 4, now);
    add(1, 1);
    now += milliseconds(50);
    CHECK(work.of(0, now) > work.of(1, now));
}

TEST_CASE_FIXTURE(two_routes,
                  "outstanding_work: an upstream restarts: it has no work, and the removal of "
                  "earlier requests leaves later ones")
{
    const work_handle before = add(0, 1);
    work.reset(0);
    CHECK(work.of(0, now) == 0);
    add(0, 1);
    work.remove(0, before);
    CHECK(work.of(0, now) == doctest::Approx(80));
}

TEST_CASE_FIXTURE(two_routes,
                  "outstanding_work: more requests than are tracked: others count as the mean, and "
                  "all can be removed")
{
    std::vector<std::pair<upstream_index, work_handle>> open;
    for (unsigned step = 0; step < 10000; ++step) {
        const upstream_index upstream = step % 400;
        open.emplace_back(upstream, add(upstream, 1));
    }
    CHECK(work.of(399, now) <= 25 * 80);
    CHECK(work.of(399, now) >= 25 * 44);
    for (const auto &[upstream, handle] : open) {
        work.remove(upstream, handle);
    }
    for (upstream_index upstream = 0; upstream < 400; ++upstream) {
        CHECK(work.of(upstream, now) == 0);
    }
    CHECK(add(0, 1) != 0);
    CHECK(work.of(0, now) == doctest::Approx(80));
}
