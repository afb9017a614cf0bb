#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "world.h"

namespace {

using review::clock;
using review::milliseconds;
using review::server;
using review::world;

constexpr milliseconds leadTime{6000};
constexpr milliseconds window{1000};
constexpr double overshoot = 1.5;
constexpr double slack = 5;

/// Opening packets of one cold server within one second: sent and arrived inside it.
struct finding
{
    std::size_t most = 0;
    std::string where;
    double atSeconds = 0;
};

finding mostInOneSecond(const server &item, clock::time_point start)
{
    finding result;
    for (const server::opening &first : item.coldOpenings) {
        std::size_t count = 0;
        for (const server::opening &other : item.coldOpenings) {
            const bool isInside =
                other.sentAt >= first.sentAt && other.arrivedAt < first.sentAt + window;
            count += isInside ? 1 : 0;
        }
        if (count > result.most) {
            result.most = count;
            result.atSeconds = std::chrono::duration<double>(first.sentAt - start).count();
        }
    }
    result.where = item.text() + " in " + item.zone;
    return result;
}

} // namespace

/// Writes what the cold servers got into the record. Returns the exit code of the case.
int judge(world &scene, clock::time_point start)
{
    const double limit = scene.config().warmupPerSecond * overshoot + slack;
    bool isBroken = false;
    for (const auto &item : scene.servers()) {
        const finding found = mostInOneSecond(*item, start);
        if (item->coldOpenings.empty()) {
            continue;
        }
        scene.record("cold server " + found.where + ": " + std::to_string(item->coldOpenings.size())
                     + " requests while cold, at most " + std::to_string(found.most)
                     + " in one second, from " + std::to_string(found.atSeconds) + " s; allowed "
                     + std::to_string(limit));
        isBroken = isBroken || double(found.most) > limit;
    }
    scene.record("requests sent " + std::to_string(scene.sent) + ", answered "
                 + std::to_string(scene.answered) + ", run " + std::to_string(scene.runs));
    scene.record(isBroken ? "FAILBACK broken" : "FAILBACK held");
    if (scene.isInterrupted) {
        scene.record("interrupted");
        return 2;
    }
    if (scene.answered * 4 < scene.sent) {
        scene.record("less than a quarter was answered: the case could not run");
        return 2;
    }
    return isBroken ? 1 : 0;
}

/// Hosts are stopped and started in turn while servers that were just added are cold.
int runColdRoll(bool hasTrouble)
{
    world::settings settings;
    settings.zones = {{"graz-nord", 3}, {"graz-sued", 2}, {"leoben", 2}};
    settings.requestsPerSecond = 160;
    world scene(settings);
    const clock::time_point start = clock::now();
    scene.writeConfig();
    for (const auto &[zone, hosts] : settings.zones) {
        scene.addServer("order-desk", zone).start(milliseconds(0));
    }
    scene.startHosts();
    scene.runAfter(leadTime, [&] { scene.startTraffic(); });
    const milliseconds growth = leadTime + milliseconds(4000);
    scene.runAfter(growth, [&] {
        for (int number = 0; number < 8; ++number) {
            scene.addServer("order-desk", "graz-sued").start(settings.warmup);
        }
    });
    if (hasTrouble) {
        // 0.4 of 7 hosts: graz-sued-1, graz-sued-2 and leoben-1.
        for (std::size_t number = 0; number < 3; ++number) {
            scene.runAfter(growth + milliseconds(2600) + milliseconds(1200) * number,
                           [&scene, number] { scene.hostAt(3 + number).restart(); });
        }
    }
    scene.runAfter(growth + settings.warmup, [&] { scene.stopTraffic(); });
    scene.runAfter(growth + settings.warmup + milliseconds(3000), [&] { scene.stop(); });
    scene.run();
    return judge(scene, start);
}

/// A server crashes and starts again, cold and under its id, while the store answers 503.
int runColdOutage(bool hasTrouble)
{
    world::settings settings;
    settings.zones = {{"graz-nord", 3}, {"graz-sued", 2}, {"leoben", 2}};
    settings.requestsPerSecond = 160;
    world scene(settings);
    const clock::time_point start = clock::now();
    scene.writeConfig();
    for (std::size_t number = 0; number < 9; ++number) {
        scene.addServer("order-desk", settings.zones[number % 3].first).start(milliseconds(0));
    }
    scene.startHosts();
    scene.runAfter(leadTime, [&] { scene.startTraffic(); });
    const milliseconds outage = leadTime + milliseconds(6000);
    const milliseconds outageTime(6000);
    if (hasTrouble) {
        scene.runAfter(outage, [&] {
            scene.store().setFault(soak::store_fault::unavailable);
            scene.isStoreDown = true;
            scene.record("store answers 503");
        });
        scene.runAfter(outage + outageTime, [&] {
            scene.store().setFault(soak::store_fault::none);
            scene.isStoreDown = false;
            scene.record("store answers again");
        });
    }
    server &crashing = *scene.servers().front();
    scene.runAfter(outage + milliseconds(200), [&] { crashing.crash(); });
    scene.runAfter(outage + milliseconds(700), [&] { crashing.start(settings.warmup); });
    const milliseconds end = outage + milliseconds(700) + settings.warmup;
    scene.runAfter(end, [&] { scene.stopTraffic(); });
    scene.runAfter(end + milliseconds(3000), [&] { scene.stop(); });
    scene.run();
    return judge(scene, start);
}

/// A host is paused for less than a second, and meanwhile a server crashes and starts again, cold.
int runPausedHost(bool hasTrouble)
{
    world::settings settings;
    settings.zones = {{"graz-nord", 3}, {"graz-sued", 2}, {"leoben", 2}};
    settings.requestsPerSecond = 300;
    settings.work = milliseconds(25);
    world scene(settings);
    const clock::time_point start = clock::now();
    scene.writeConfig();
    for (std::size_t number = 0; number < 9; ++number) {
        scene.addServer("order-desk", settings.zones[number % 3].first).start(milliseconds(0));
    }
    scene.startHosts();
    scene.runAfter(leadTime, [&] { scene.startTraffic(); });
    const milliseconds pause = leadTime + milliseconds(6000);
    if (hasTrouble) {
        scene.runAfter(pause, [&] {
            scene.record("host " + scene.hostAt(3).name + " is stopped");
            scene.hostAt(3).signal(SIGSTOP);
        });
        scene.runAfter(pause + milliseconds(900), [&] {
            scene.record("host " + scene.hostAt(3).name + " continues");
            scene.hostAt(3).signal(SIGCONT);
        });
    }
    server &crashing = *scene.servers()[1]; // of the zone of the host
    scene.runAfter(pause + milliseconds(200), [&] { crashing.crash(); });
    scene.runAfter(pause + milliseconds(700), [&] { crashing.start(settings.warmup); });
    scene.runAfter(pause + settings.warmup, [&] { scene.stopTraffic(); });
    scene.runAfter(pause + settings.warmup + milliseconds(3000), [&] { scene.stop(); });
    scene.run();
    return judge(scene, start);
}

/// A server crashes, starts again at once, cold, and says so with its next heartbeat.
int runLateEntry(bool hasTrouble)
{
    world::settings settings;
    settings.zones = {{"graz-nord", 3}, {"graz-sued", 2}, {"leoben", 2}};
    settings.requestsPerSecond = 160;
    world scene(settings);
    const clock::time_point start = clock::now();
    scene.writeConfig();
    for (std::size_t number = 0; number < 9; ++number) {
        scene.addServer("order-desk", settings.zones[number % 3].first).start(milliseconds(0));
    }
    scene.startHosts();
    scene.runAfter(leadTime, [&] { scene.startTraffic(); });
    const milliseconds crash = leadTime + milliseconds(6000);
    if (hasTrouble) {
        server &crashing = *scene.servers().front();
        scene.runAfter(crash, [&] { crashing.crash(); });
        scene.runAfter(crash + milliseconds(60),
                       [&] { crashing.start(settings.warmup, milliseconds(1100)); });
    }
    scene.runAfter(crash + settings.warmup, [&] { scene.stopTraffic(); });
    scene.runAfter(crash + settings.warmup + milliseconds(3000), [&] { scene.stop(); });
    scene.run();
    return judge(scene, start);
}

/// Another writer puts an entry without `version` and `seq` under the key of a server. It names the
/// other service, and no target to use.
int runForeignEntry(bool hasTrouble)
{
    world::settings settings;
    settings.zones = {{"graz-nord", 3}, {"graz-sued", 2}, {"leoben", 2}};
    settings.requestsPerSecond = 60;
    settings.catalogueShare = 0.2;
    world scene(settings);
    scene.writeConfig();
    for (std::size_t number = 0; number < 9; ++number) {
        scene.addServer("order-desk", settings.zones[number % 3].first).start(milliseconds(0));
    }
    for (const auto &[zone, hosts] : settings.zones) {
        scene.addServer("catalogue", zone).start(milliseconds(0));
    }
    scene.startHosts();
    scene.runAfter(leadTime, [&] { scene.startTraffic(); });
    if (hasTrouble) {
        scene.runAfter(leadTime + milliseconds(3000), [&] { scene.writeForeignEntry(); });
    }
    scene.runAfter(leadTime + milliseconds(10000), [&] { scene.stopTraffic(); });
    scene.runAfter(leadTime + milliseconds(14000), [&] { scene.stop(); });
    scene.run();
    unsigned foreign = 0;
    for (const auto &item : scene.servers()) {
        foreign += item->foreignRuns;
    }
    scene.record("requests sent " + std::to_string(scene.sent) + ", answered "
                 + std::to_string(scene.answered) + ", run " + std::to_string(scene.runs)
                 + ", run by a service that no configuration allows: " + std::to_string(foreign));
    scene.record(foreign > 0 ? "ROUTE broken" : "ROUTE held");
    if (scene.isInterrupted || scene.answered * 4 < scene.sent) {
        return 2;
    }
    return foreign > 0 ? 1 : 0;
}

int main(int argc, char **argv)
{
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::string name = argc > 1 ? argv[1] : "";
        if (name == "cold-roll") {
            return runColdRoll(hasTrouble);
        }
        if (name == "cold-outage") {
            return runColdOutage(hasTrouble);
        }
        if (name == "late-entry") {
            return runLateEntry(hasTrouble);
        }
        if (name == "paused-host") {
            return runPausedHost(hasTrouble);
        }
        if (name == "foreign-entry") {
            return runForeignEntry(hasTrouble);
        }
        std::cerr << "unknown case\n";
        return 2;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
