// Compares the answers in time of a simulated fleet under overload with those of a scheduler that
// knows at any moment which slots are free, for the same requests.

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <utility>

#include "entry/entry_world.h"

using namespace figstair;

namespace {

/// When the load rises and falls, and the end of the simulation.
struct burst_times
{
    std::int64_t beginMs = 3000;
    std::int64_t endMs = 9000;
    std::int64_t worldEndMs = 14000;
};

/// Placement by work needs some hundreds of answers at each host before it acts.
constexpr burst_times byWorkTimes{20000, 30000, 34000};

/// Least time on the network from a caller's SYN to the start of its work, and from its end to the
/// caller, as in entry_world.
constexpr std::int64_t requestPathMs = 11;
constexpr std::int64_t answerPathMs = 3;

/// Work in milliseconds and number of the requests answered within their target, of those that came
/// in the burst.
struct answered_in_time
{
    std::int64_t workMs = 0;
    unsigned requests = 0;
};

/// What the scheduler that knows everything answers within its target.
/// All slots are one pool. Urgent requests go first, then those that came first; what would be late
/// is left out.
answered_in_time boundOf(const world_plan &plan, const std::vector<world_arrival> &arrivals,
                         std::size_t slots, const burst_times &burst)
{
    using waiting_request = std::pair<unsigned, std::size_t>; // priority, index of the arrival
    std::set<waiting_request> waiting;
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> freeAt;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        freeAt.push(0);
    }
    answered_in_time useful;
    std::size_t next = 0;
    while (next < arrivals.size() || !waiting.empty()) {
        std::int64_t now = freeAt.top();
        if (waiting.empty()) {
            now = std::max(now, arrivals[next].at.count() + requestPathMs);
        }
        for (; next < arrivals.size() && arrivals[next].at.count() + requestPathMs <= now; ++next) {
            waiting.emplace(plan.classes[arrivals[next].kind].priority, next);
        }
        if (waiting.empty()) {
            continue;
        }
        const std::size_t index = waiting.begin()->second;
        waiting.erase(waiting.begin());
        const world_arrival &arrival = arrivals[index];
        const std::int64_t answeredAt = now + arrival.work.count() + answerPathMs;
        if (answeredAt > (arrival.at + plan.classes[arrival.kind].latencyTarget).count()) {
            continue;
        }
        freeAt.pop();
        freeAt.push(now + arrival.work.count());
        if (arrival.at.count() >= burst.beginMs && arrival.at.count() < burst.endMs) {
            useful.workMs += arrival.work.count();
            ++useful.requests;
        }
    }
    return useful;
}

void compare(const std::string &name, const world_plan &plan, double factor)
{
    const burst_times burst;
    entry_world world(plan);
    world.at(milliseconds(burst.beginMs), [&] { world.setLoad(factor); });
    world.at(milliseconds(burst.endMs), [&] { world.setLoad(1); });
    world.run(milliseconds(burst.worldEndMs));
    const std::size_t slots = plan.slots * world.upstreamCount();
    const std::int64_t possible = boundOf(plan, world.arrivals(), slots, burst).workMs;
    const std::int64_t useful = world.usefulWork(burst.beginMs / 1000, burst.endMs / 1000).count();
    std::printf("| %s | %g | %lld | %lld | %.3f |\n", name.c_str(), factor,
                static_cast<long long>(useful), static_cast<long long>(possible),
                double(useful) / double(possible));
}

/// Compares placement by work, off and on, for several seeds together.
void compareByWork(const std::string &name, world_plan plan, double factor)
{
    constexpr std::uint64_t seedCount = 4;
    const burst_times burst = byWorkTimes;
    answered_in_time possible;
    std::array<second_result, 2> results; // off, automatic
    std::uint64_t placedByWork = 0;
    for (plan.seed = 1; plan.seed <= seedCount; ++plan.seed) {
        for (std::size_t mode = 0; mode < results.size(); ++mode) {
            plan.placementByWork = mode == 0 ? part_mode::off : part_mode::automatic;
            entry_world world(plan);
            world.at(milliseconds(burst.beginMs), [&] { world.setLoad(factor); });
            world.at(milliseconds(burst.endMs), [&] { world.setLoad(1); });
            world.run(milliseconds(burst.worldEndMs));
            results.at(mode).add(world.sum(burst.beginMs / 1000, burst.endMs / 1000));
            if (mode == 0) {
                const std::size_t slots = plan.slots * world.upstreamCount();
                const answered_in_time bound = boundOf(plan, world.arrivals(), slots, burst);
                possible.workMs += bound.workMs;
                possible.requests += bound.requests;
            } else {
                placedByWork += world.countOf(entry_counter::flowsPlacedByWork);
            }
        }
    }
    std::printf("| %s | %g", name.c_str(), factor);
    for (const second_result &result : results) {
        std::printf(" | %.4f | %.3f", double(result.inTarget) / result.sent,
                    double(result.usefulWork.count()) / double(possible.workMs));
    }
    std::printf(" | %.4f | %llu |\n", double(possible.requests) / results[0].sent,
                static_cast<unsigned long long>(placedByWork));
}

/// 3% of the requests take 7 times as long. At the ordinary load half of the slots are busy.
world_plan heavyTail()
{
    world_plan plan;
    plan.zones = 4;
    plan.upstreamsPerZone = 8;
    plan.slots = 2;
    plan.queueCapacity = 8;
    plan.classes = {request_class{0.78, milliseconds(47), milliseconds(500), 1, 0.03, 7},
                    request_class{0.22, milliseconds(61), milliseconds(600), 0, 0.03, 7}};
    plan.requestsPerSecond = 540;
    return plan;
}

/// Two routes of one service, of 55 and 5 ms. At the ordinary load half of the slots are busy.
world_plan unequalRoutes()
{
    world_plan plan = heavyTail();
    plan.classes = {request_class{0.5, milliseconds(55), milliseconds(400), 0},
                    request_class{0.5, milliseconds(5), milliseconds(100), 0}};
    plan.requestsPerSecond = 1070;
    return plan;
}

world_plan fourSlots()
{
    world_plan plan;
    plan.zoneDemand = {142, 112, 147};
    plan.classes = {request_class{7.0 / 9, milliseconds(55), milliseconds(250), 2},
                    request_class{2.0 / 9, milliseconds(72), milliseconds(300), 1}};
    return plan;
}

world_plan twoSlots()
{
    world_plan plan;
    plan.zones = 4;
    plan.upstreamsPerZone = 4;
    plan.slots = 2;
    plan.queueCapacity = 8;
    plan.deadline = milliseconds(2000);
    plan.classes = {request_class{7.0 / 9, milliseconds(22), milliseconds(120), 2},
                    request_class{2.0 / 9, milliseconds(29), milliseconds(150), 1}};
    return plan;
}

world_plan largeFleet()
{
    world_plan plan;
    plan.zones = 5;
    plan.hostsPerZone = 39;
    plan.upstreamsPerZone = 47;
    plan.slots = 2;
    plan.queueCapacity = 8;
    plan.requestsPerSecond = 1192;
    plan.deadline = milliseconds(5000);
    plan.zoneDemand = {257, 294, 294, 226, 200};
    plan.classes = {request_class{7.0 / 9, milliseconds(55), milliseconds(400), 2},
                    request_class{2.0 / 9, milliseconds(72), milliseconds(400), 1}};
    return plan;
}

} // namespace

int main()
{
    std::printf("| fleet | load | work in time, ms | possible, ms | ratio |\n"
                "|---|---|---|---|---|\n");
    for (const double factor : {2.0, 3.0, 4.0, 8.0}) {
        compare("6 hosts, 15 upstreams of 4 slots", fourSlots(), factor);
    }
    for (const double factor : {2.0, 3.0, 4.0, 8.0}) {
        compare("8 hosts, 16 upstreams of 2 slots, 23 ms of work", twoSlots(), factor);
    }
    for (const double factor : {4.0, 8.0}) {
        compare("195 hosts, 235 upstreams of 2 slots", largeFleet(), factor);
    }
    std::printf(
        "\n| work | load | in time, off | work, off / possible | in time, auto | work, auto / "
        "possible | in time, possible | flows by work |\n"
        "|---|---|---|---|---|---|---|---|\n");
    for (const double factor : {1.0, 1.5, 2.0}) {
        compareByWork("3% take 7 times as long", heavyTail(), factor);
    }
    for (const double factor : {1.0, 1.5, 2.0}) {
        compareByWork("routes of 55 ms and 5 ms", unequalRoutes(), factor);
    }
}
