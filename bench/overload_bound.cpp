// Compares the answers in time of a simulated fleet under overload with those of a scheduler that
// knows at any moment which slots are free, for the same requests.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <set>
#include <string>
#include <utility>

#include "entry/entry_world.h"

using namespace figstair;

namespace {

constexpr std::int64_t burstBeginMs = 3000;
constexpr std::int64_t burstEndMs = 9000;
constexpr std::int64_t worldEndMs = 14000;

/// Least time on the network from a caller's SYN to the start of its work, and from its end to the
/// caller, as in entry_world.
constexpr std::int64_t requestPathMs = 11;
constexpr std::int64_t answerPathMs = 3;

/// Work in milliseconds that is answered within its target, of the requests that came in the burst.
/// All slots are one pool. Urgent requests go first, then those that came first; what would be late
/// is left out.
std::int64_t boundOfUsefulWork(const world_plan &plan, const std::vector<world_arrival> &arrivals,
                               std::size_t slots)
{
    using waiting_request = std::pair<unsigned, std::size_t>; // priority, index of the arrival
    std::set<waiting_request> waiting;
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> freeAt;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        freeAt.push(0);
    }
    std::int64_t useful = 0;
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
        if (arrival.at.count() >= burstBeginMs && arrival.at.count() < burstEndMs) {
            useful += arrival.work.count();
        }
    }
    return useful;
}

void compare(const std::string &name, const world_plan &plan, double factor)
{
    entry_world world(plan);
    world.at(milliseconds(burstBeginMs), [&] { world.setLoad(factor); });
    world.at(milliseconds(burstEndMs), [&] { world.setLoad(1); });
    world.run(milliseconds(worldEndMs));
    const std::size_t slots = plan.slots * world.upstreamCount();
    const std::int64_t possible = boundOfUsefulWork(plan, world.arrivals(), slots);
    const std::int64_t useful = world.usefulWork(burstBeginMs / 1000, burstEndMs / 1000).count();
    std::printf("| %s | %g | %lld | %lld | %.3f |\n", name.c_str(), factor,
                static_cast<long long>(useful), static_cast<long long>(possible),
                double(useful) / double(possible));
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
}
