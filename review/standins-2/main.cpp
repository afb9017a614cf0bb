#include <cstdlib>
#include <fstream>
#include <iostream>

#include "world.h"

namespace {

using namespace review;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int cannotRun = 2;

const char *const zone = "leoben";

/// Plays for @p seconds of traffic, which @p plan prepares.
int play(std::ostream &record, const world_settings &settings, double seconds,
         const std::function<void(event_loop &, world &)> &plan)
{
    event_loop loop;
    world played(loop, settings, record);
    played.start([&] {
        plan(loop, played);
        loop.after(seconds, [&] { played.stopTraffic(); });
        loop.after(seconds + 3, [&] { loop.stop(); });
    });
    loop.run();
    played.writeSummary();
    if (!played.isSound()) {
        played.note("the deployment did not serve; no result");
        return cannotRun;
    }
    return played.violationCount() > 0 ? ruleBroken : ruleHeld;
}

/// All hosts of one zone are removed in turn, as planned work. The targets of the zone stay.
int removeHostsOfZone(std::ostream &record, std::uint64_t seed, bool isDisrupted)
{
    world_settings settings;
    settings.seed = seed;
    return play(record, settings, 45, [&](event_loop &loop, world &played) {
        const std::vector<std::size_t> targets = played.targetsOf(zone, "order-desk");
        for (unsigned number = 0; number < 43; ++number) {
            loop.after(1.0 * number + 1, [&played, target = targets[number % targets.size()]] {
                played.loseNextRequestTo(target);
            });
        }
        double at = 8;
        for (const std::size_t host : played.hostsOf(zone)) {
            if (isDisrupted) {
                loop.after(at, [&played, host] { played.removeHost(host); });
            }
            at += 1.3;
        }
    });
}

/// Another writer replaces entries of targets by one that lacks most fields. Each target writes its
/// own entry again with its next heartbeat.
int overwriteEntries(std::ostream &record, std::uint64_t seed, bool isDisrupted)
{
    world_settings settings;
    settings.seed = seed;
    return play(record, settings, 45, [&](event_loop &loop, world &played) {
        const std::vector<std::size_t> targets = played.targetsOf("", "order-desk");
        for (unsigned number = 0; number < 20; ++number) {
            loop.after(5 + 2 * number,
                       [&played, isDisrupted, target = targets[number % targets.size()]] {
                           if (isDisrupted) {
                               played.overwriteEntry(target,
                                                     R"({"service":"order-desk","state":"ready"})");
                           }
                           played.loseNextRequestTo(target);
                       });
        }
    });
}

/// The network loses datagrams in pairs: two requests to the same target in succession, as when a
/// link is full for a moment. Without the disruption it loses as many, one at a time.
int loseInPairs(std::ostream &record, std::uint64_t seed, bool isDisrupted)
{
    world_settings settings;
    settings.seed = seed;
    return play(record, settings, 45, [&](event_loop &loop, world &played) {
        const std::vector<std::size_t> targets = played.targetsOf("", "order-desk");
        for (unsigned number = 0; number < 56; ++number) {
            const unsigned turn = isDisrupted ? number / 2 : number;
            loop.after(3 + (isDisrupted ? 1.5 : 0.75) * turn,
                       [&played, target = targets[turn % targets.size()]] {
                           played.loseNextRequestTo(target);
                       });
        }
    });
}

/// All hosts are stopped and started in turn, as planned work, while the operator exchanges routes
/// and clients use the new ones at once.
int restartWhileRoutesChange(std::ostream &record, std::uint64_t seed, bool isDisrupted)
{
    world_settings settings;
    settings.seed = seed;
    settings.meanPause = 0.3;
    settings.newRouteClientsPerZone = 30;
    return play(record, settings, 24, [&](event_loop &loop, world &played) {
        for (std::size_t host = 0; host < 7; ++host) {
            const double at = 4 + 2.0 * double(host);
            if (isDisrupted) {
                loop.after(at, [&played, host] { played.restartHost(host); });
            }
            loop.after(at + 0.5, [&played] { played.exchangeRoutes(1400); });
        }
    });
}

/// Targets crash and start again at once under their ids, cold, while the store is down.
int restartTargetsWithoutStore(std::ostream &record, std::uint64_t seed, bool isDisrupted)
{
    world_settings settings;
    settings.seed = seed;
    settings.opensFlowPerRequest = true;
    settings.coldRequestsPerSecond = 4;
    settings.clientsPerZone = 30;
    settings.meanPause = 0.17;
    return play(record, settings, 14, [&](event_loop &loop, world &played) {
        if (isDisrupted) {
            loop.after(6, [&played] { played.stopStore(4.5); });
        }
        // Two of 14 targets crash, three times.
        const std::vector<std::size_t> targets = played.targetsOf("", "order-desk");
        for (unsigned number = 0; number < 6; ++number) {
            const std::size_t target = targets[number * 2];
            const double at = 6.3 + 1.1 * (number / 2);
            loop.after(at, [&played, target] { played.crashTarget(target, 0.06); });
            loop.after(13 + 0.1 * number, [&played, target] { played.judgeColdTarget(target); });
        }
    });
}

} // namespace

/// Arguments: the case, the file for the record, and 0 to leave out the disruption.
int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: review-standins-2 CASE RECORD TROUBLE\n";
        return cannotRun;
    }
    std::ofstream record(argv[2]);
    const std::string name = argv[1];
    const bool isDisrupted = std::string(argv[3]) != "0";
    const char *seedText = std::getenv("SEED");
    const std::uint64_t seed =
        seedText == nullptr ? std::uint64_t(time(nullptr)) : std::strtoull(seedText, nullptr, 10);
    record << "case " << name << ", seed " << seed << ", " << (isDisrupted ? "with" : "without")
           << " the disruption\n";
    try {
        if (name == "remove-hosts-of-zone") {
            return removeHostsOfZone(record, seed, isDisrupted);
        }
        if (name == "overwrite-entries") {
            return overwriteEntries(record, seed, isDisrupted);
        }
        if (name == "lose-in-pairs") {
            return loseInPairs(record, seed, isDisrupted);
        }
        if (name == "restart-while-routes-change") {
            return restartWhileRoutesChange(record, seed, isDisrupted);
        }
        if (name == "restart-targets-without-store") {
            return restartTargetsWithoutStore(record, seed, isDisrupted);
        }
        std::cerr << "unknown case " << name << "\n";
    } catch (const std::exception &error) {
        record << "cannot run: " << error.what() << "\n";
        std::cerr << "cannot run: " << error.what() << "\n";
    }
    return cannotRun;
}
