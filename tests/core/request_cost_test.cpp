#include "figstair/core/load/request_cost.h"

#include <cmath>
#include <random>

#include <doctest/doctest.h>

using namespace figstair;

namespace {

constexpr route_key route = std::uint64_t{0xC6120001} << 16U | 443;
constexpr route_key otherRoute = route + 1;
const std::string service = "desk";

/// Estimates from answers that come every 10 ms.
struct observed_requests
{
    /// Returns the number of times that placement by work started or stopped.
    template <typename source> unsigned answer(unsigned count, source workMs, route_key on = route)
    {
        unsigned changes = 0;
        for (unsigned step = 0; step < count; ++step) {
            now += milliseconds(10);
            if (const auto change = costs.onAnswer(on, service, workMs(), now)) {
                last = *change;
                ++changes;
            }
        }
        return changes;
    }
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random);
    }
    /// 3% take 7 times as long.
    double heavyTailed() { return uniform(25, 75) * (uniform(0, 1) < 0.03 ? 7 : 1); }
    bool acts() { return costs.actsOn(costs.classOf(route, service, now)); }

    std::mt19937_64 random{1};
    monotonic_time now{milliseconds(1000)};
    request_cost costs{part_mode::automatic};
    placement_change last;
};

} // namespace

TEST_CASE_FIXTURE(observed_requests, "request_cost: equal work: it never acts")
{
    for (int run = 0; run < 20; ++run) {
        CHECK(answer(500, [&] { return uniform(25, 75); }) == 0);
    }
    CHECK_FALSE(costs.varies(service));
    CHECK(costs.expected(route, service) == doctest::Approx(50).epsilon(0.03));
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: equal work and a few answers that took minutes: it does not act")
{
    answer(40, [&] { return uniform(25, 75); });
    answer(2, [] { return 60000.0; });
    CHECK(answer(2000, [&] { return uniform(25, 75); }) == 0);
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: 3% of the requests take 7 times as long: it acts")
{
    CHECK(answer(49, [&] { return heavyTailed(); }) == 0);
    CHECK(answer(951, [&] { return heavyTailed(); }) == 1);
    CHECK(acts());
    CHECK(last.isActing);
    CHECK(last.reason == "work_varies");
    CHECK(answer(10000, [&] { return heavyTailed(); }) == 0);
    CHECK(acts());
    CHECK(answer(20000, [&] { return uniform(25, 75); }) == 1);
    CHECK(last.reason == "equal_work");
    CHECK_FALSE(acts());
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: some requests take far longer: the remaining work grows with age")
{
    answer(2000, [&] { return heavyTailed(); });
    const double mean = costs.expected(route, service);
    CHECK(mean == doctest::Approx(59).epsilon(0.1));
    CHECK(costs.rest(route, service, milliseconds(0)) == doctest::Approx(mean));
    CHECK(costs.rest(route, service, milliseconds(40)) < mean);
    CHECK(costs.rest(route, service, milliseconds(110)) > 3 * mean);
    for (int age = 0; age < 100000; age += 7) {
        const double rest = costs.rest(route, service, milliseconds(age));
        CHECK(rest >= 0);
        CHECK(rest <= 8 * mean * 1.001);
    }
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: two routes of very different work: it acts, and each is expected "
                  "to take its own time")
{
    CHECK(answer(40, [&] { return uniform(50, 60); }) == 0);
    unsigned changes = 0;
    for (int step = 0; step < 40; ++step) {
        changes += answer(
            1, [&] { return uniform(4, 6); }, otherRoute);
        changes += answer(1, [&] { return uniform(50, 60); });
    }
    CHECK(changes == 1);
    CHECK(last.reason == "routes_differ");
    CHECK(last.spread > 5);
    CHECK(costs.expected(route, service) == doctest::Approx(55).epsilon(0.05));
    CHECK(costs.expected(otherRoute, service) == doctest::Approx(5).epsilon(0.1));
    const double serviceMean = costs.serviceMean(costs.classOf(route, service, now));
    CHECK(costs.expected(route + 7, service) == doctest::Approx(serviceMean));
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: no upstream had room: answers are not recorded, since waiting "
                  "looks like work")
{
    for (int step = 0; step < 500; ++step) {
        costs.onSaturated(costs.classOf(route, service, now), now);
        CHECK(answer(1, [&] { return heavyTailed(); }) == 0);
    }
    CHECK(costs.expected(route, service) == 0);
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: the setting is on or off: it acts always or never")
{
    costs.setMode(part_mode::on);
    CHECK(answer(100, [&] { return uniform(25, 75); }) == 1);
    CHECK(last.reason == "setting");
    CHECK(acts());
    costs.setMode(part_mode::off);
    CHECK_FALSE(acts());
    CHECK(answer(2000, [&] { return heavyTailed(); }) == 1);
    CHECK_FALSE(last.isActing);
    CHECK_FALSE(acts());
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: more routes than are kept: others count as the service, and an "
                  "unused route is replaced after a minute")
{
    for (route_key number = 0; number < 200; ++number) {
        answer(
            20, [&] { return number == 199 ? 500.0 : 50.0; }, route + number);
    }
    CHECK(costs.routeCount() == 64);
    CHECK(costs.expected(route + 199, service) < 100);
    now += milliseconds(61000);
    answer(
        20, [&] { return 500.0; }, route + 199);
    CHECK(costs.routeCount() == 64);
    CHECK(costs.expected(route + 199, service) == doctest::Approx(500));
}

TEST_CASE_FIXTURE(observed_requests,
                  "request_cost: answer times of 0, negative, huge or not a number: the estimates "
                  "stay between 1 ms and a minute")
{
    for (const double workMs :
         {0.0, -5.0, 1e18, double(INFINITY), -double(INFINITY), double(NAN)}) {
        answer(50, [&] { return workMs; });
        const double expected = costs.expected(route, service);
        CHECK(expected >= 1);
        CHECK(expected <= 60000);
        CHECK(costs.rest(route, service, milliseconds(100)) <= 8 * expected * 1.001);
    }
}
