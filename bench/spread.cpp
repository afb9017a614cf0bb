// Measures control traffic and the propagation time of changes by the number of hosts. Runs many
// host_cores in virtual time on a network with a latency of 1 ms. Each row has, for one number of
// hosts: control bytes per second that a host sends while idle (mean and maximum), time until an
// accepted edit is in force on all hosts, time until all hosts have detected the loss of a rack,
// control bytes per second per host meanwhile, and the share of one processor that a host uses.

#include <chrono>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <set>

#include "benchmark_scene.h"
#include "figstair/replay/replay_host.h"
#include "figstair/replay/replay_network.h"
#include "figstair/replay/replay_platform.h"

using namespace bench;

namespace {

constexpr std::uint64_t seed = 5;
constexpr milliseconds tickInterval{50};
constexpr milliseconds pollInterval{500};
constexpr milliseconds settleDuration{60000};
constexpr milliseconds idleDuration{20000};
constexpr milliseconds maxWait{120000};
constexpr std::size_t hostsPerKilledHost = 20;
constexpr std::uint16_t hostPort = 7000;

/// A simulated deployment: hosts, network and platform.
class fleet
{
public:
    explicit fleet(std::size_t hosts)
        : m_network(m_time, seed, milliseconds(1))
        , m_platform(secret)
        , m_rows(makeRows(40))
    {
        m_rows.pop_back();
        m_platform.accept(m_rows, m_time.wall());
        for (std::size_t index = 0; index < hosts; ++index) {
            addHost(index);
        }
        tick();
    }

    void run(milliseconds duration) { m_time.runUntil(m_time.monotonic() + duration); }

    /// Runs until @p done is true for every running host, at most for maxWait. Returns the time
    /// that passed.
    template <typename condition> milliseconds runUntil(condition done)
    {
        const monotonic_time start = m_time.monotonic();
        while (m_time.monotonic() - start < maxWait) {
            bool isDone = true;
            for (const auto &host : m_hosts) {
                isDone = isDone && (!host->isRunning() || done(*host));
            }
            if (isDone) {
                break;
            }
            run(tickInterval);
        }
        return m_time.monotonic() - start;
    }

    /// Has the platform accept an edit that changes one row.
    void edit()
    {
        m_rows.back().weight = m_rows.back().weight % 9 + 2;
        m_platform.accept(m_rows, m_time.wall());
    }

    /// Kills several hosts of one zone at once: one in hostsPerKilledHost of all hosts, but at most
    /// half of the zone. Returns their names.
    std::set<std::string> killRack()
    {
        std::set<std::string> killed;
        const std::size_t zoneHosts = m_hosts.size() / zoneCount;
        const std::size_t count = std::min(m_hosts.size() / hostsPerKilledHost, zoneHosts / 2);
        for (const auto &host : m_hosts) {
            if (host->zone() == zoneName(1) && killed.size() < count) {
                killed.insert(host->name());
                host->kill();
            }
        }
        return killed;
    }

    /// Control bytes sent by all hosts since the start.
    double totalControlBytes() const
    {
        double sum = 0;
        for (const auto &host : m_hosts) {
            sum += static_cast<double>(host->counterValue(counter::controlBytesSent));
        }
        return sum;
    }

    /// Most control bytes that any host has sent since @p before was taken.
    double maxControlBytesSince(const std::map<std::string, double> &before) const
    {
        double most = 0;
        for (const auto &[name, bytes] : controlBytesByHost()) {
            most = std::max(most, bytes - before.at(name));
        }
        return most;
    }

    std::map<std::string, double> controlBytesByHost() const
    {
        std::map<std::string, double> bytes;
        for (const auto &host : m_hosts) {
            bytes[host->name()] =
                static_cast<double>(host->counterValue(counter::controlBytesSent));
        }
        return bytes;
    }

    std::uint64_t revision() const { return m_platform.newest().revision(); }
    std::size_t size() const { return m_hosts.size(); }

private:
    void addHost(std::size_t index)
    {
        host_settings settings;
        settings.self.name = "host-" + std::to_string(index);
        settings.self.zone = zoneName(index);
        settings.self.address = addressOf(index + 1, hostPort);
        settings.peerSecret = secret;
        settings.seeds = {addressOf(1, hostPort), addressOf(2, hostPort), addressOf(3, hostPort)};
        m_hosts.push_back(std::make_unique<replay_host>(
            settings, index + 1, m_time, m_network,
            [this](const endpoint &address) { return findHost(address); }));
        m_byAddress[settings.self.address] = m_hosts.back().get();
        m_hosts.back()->start();
    }

    replay_host *findHost(const endpoint &address)
    {
        const auto found = m_byAddress.find(address);
        return found == m_byAddress.end() ? nullptr : found->second;
    }

    void tick()
    {
        const bool isPolling = m_time.monotonic() >= m_nextPoll;
        if (isPolling) {
            m_nextPoll = m_time.monotonic() + pollInterval;
        }
        for (const auto &host : m_hosts) {
            host->tick();
            if (isPolling && host->isRunning() && host->core().watchesPlatform()) {
                table_reply reply;
                reply.baseRevision = host->core().currentTable().revision();
                reply.edits = m_platform.editsAfter(reply.baseRevision);
                host->core().onTableReply(reply);
                host->core().onPlatformHead(m_platform.newest().revision(),
                                            m_platform.newest().digest());
            }
        }
        m_time.runAfter(tickInterval, [this] { tick(); });
    }

    timeline m_time;
    replay_network m_network;
    replay_platform m_platform;
    std::vector<table_row> m_rows;
    std::vector<std::unique_ptr<replay_host>> m_hosts;
    std::map<endpoint, replay_host *> m_byAddress;
    monotonic_time m_nextPoll{};
};

void measure(std::size_t hosts)
{
    fleet system(hosts);
    system.run(settleDuration);
    const double totalBytesBefore = system.totalControlBytes();
    const auto bytesBefore = system.controlBytesByHost();
    const auto cpuStart = std::chrono::steady_clock::now();
    system.run(idleDuration);
    const std::chrono::duration<double> cpu = std::chrono::steady_clock::now() - cpuStart;
    const double hostSeconds =
        static_cast<double>(hosts) * static_cast<double>(idleDuration.count()) / 1000.0;
    const double idleBytesPerSecond = (system.totalControlBytes() - totalBytesBefore) / hostSeconds;
    const double maxIdleBytesPerSecond = system.maxControlBytesSince(bytesBefore)
        / (static_cast<double>(idleDuration.count()) / 1000.0);

    milliseconds maxPropagationTime{0};
    for (int edit = 0; edit < 5; ++edit) {
        system.edit();
        const std::uint64_t revision = system.revision();
        maxPropagationTime =
            std::max(maxPropagationTime, system.runUntil([revision](const replay_host &host) {
                return host.core().currentTable().revision() >= revision;
            }));
        system.run(milliseconds(1700));
    }

    const double bytesBeforeFailure = system.totalControlBytes();
    const std::set<std::string> killed = system.killRack();
    const milliseconds detectionTime = system.runUntil([&killed](const replay_host &host) {
        for (const std::string &name : killed) {
            const member *record = host.core().members().find(name);
            if (record != nullptr && isPresent(record->state)) {
                return false;
            }
        }
        return true;
    });
    const double failureBytesPerSecond = (system.totalControlBytes() - bytesBeforeFailure)
        / (static_cast<double>(hosts)
           * std::max(1.0, static_cast<double>(detectionTime.count()) / 1000));
    std::cout << "| " << hosts << " | " << std::fixed << std::setprecision(0) << idleBytesPerSecond
              << " | " << maxIdleBytesPerSecond << " | " << maxPropagationTime.count() << " | "
              << killed.size() << " | " << detectionTime.count() << " | " << failureBytesPerSecond
              << " | " << std::setprecision(3) << 100.0 * cpu.count() / hostSeconds << "% |\n"
              << std::flush;
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    std::cout << "| hosts | control bytes/s sent a host | most of any host | edit in force "
                 "everywhere (ms) | hosts lost | known everywhere (ms) | bytes/s a host meanwhile "
                 "| processor a host |\n|---|---|---|---|---|---|---|---|\n";
    const std::size_t largest = argumentCount > 1 ? std::stoul(argumentValues[1]) : 700;
    for (const std::size_t hosts : {23, 70, 230, 700, 2300}) {
        if (hosts <= largest) {
            measure(hosts);
        }
    }
    return 0;
}
