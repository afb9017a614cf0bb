#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "fault_proxy.h"
#include "soak_fabric.h"
#include "soak_timer.h"

namespace asio = boost::asio;
namespace po = boost::program_options;
using asio::ip::tcp;

extern char **environ;

namespace soak {
namespace {

constexpr std::uint16_t packetPort = 8172;
constexpr std::uint16_t readinessPort = 8167;
constexpr std::uint16_t internalPort = 7720;
constexpr std::uint16_t storePort = 8169;

constexpr milliseconds startupTime{2500}; // until hosts have joined the cluster
constexpr milliseconds faultPhaseTime{8000};
constexpr milliseconds recoveryPhaseTime{14000}; // recover-s of the platform and a 5 s check
constexpr milliseconds maxFaultTime{2500};
constexpr milliseconds copyAge{4000}; // of the copy that the store returns from
constexpr unsigned maxGrowths = 4; // with 1,400 routes each the value stays below 1 MiB
constexpr std::size_t linkBytesPerSecond = 1'250'000; // 10 Mbit/s, the slowest link of a host
constexpr milliseconds finalRequestWindow{4000}; // all requests sent in it must be answered

/// One `figstair entry` process and the fault proxy between it and the store.
class host_under_test
{
public:
    host_under_test(asio::io_context &io, const std::string &program, const host_place &place,
                    const std::vector<host_place> &all, const std::filesystem::path &folder,
                    const tcp::endpoint &store)
        : m_program(program)
        , m_place(place)
        , m_settingsFile((folder / (place.name + ".ini")).string())
        , m_logFile((folder / (place.name + ".log")).string())
        , m_proxy(io, tcp::endpoint(place.address, storePort), store)
    {
        std::string seeds;
        for (const host_place &other : all) {
            seeds += (seeds.empty() ? "" : ",") + other.address.to_string() + ":1";
        }
        std::ofstream file(m_settingsFile);
        const std::string address = place.address.to_string();
        file << "[host]\nname = " << place.name << "\nzone = " << place.zone
             << "\nlisten = " << address << ":" << packetPort << "\nreadiness_listen = " << address
             << ":" << readinessPort << "\ninternal_address = " << address
             << "\ninternal_ports = " << internalPort << "," << internalPort + 5
             << "\nseeds = " << seeds
             << "\ncpu_share = 0.2\ngrace_s = 6\n\n[store]\nendpoint = " << address << ":"
             << storePort << "\n\n[upstreams]\nheartbeat_ms = 1200\nflow_life_s = 60\n"
             << "cold_overshoot = 1.5\ncold_slack = 5\n";
    }
    ~host_under_test() { kill(); }
    host_under_test(const host_under_test &) = delete;
    host_under_test &operator=(const host_under_test &) = delete;

    void start()
    {
        if (m_pid != 0) {
            return;
        }
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        std::string entry = "entry";
        char *arguments[] = {m_program.data(), entry.data(), m_settingsFile.data(), nullptr};
        if (posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments, environ) != 0) {
            m_pid = 0;
            throw std::runtime_error("cannot start " + m_program);
        }
        posix_spawn_file_actions_destroy(&actions);
    }

    void signal(int number)
    {
        if (m_pid != 0) {
            ::kill(m_pid, number);
        }
    }

    /// Kills the process with SIGKILL and reaps it.
    void kill()
    {
        if (m_pid != 0) {
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    /// Whether the process is not running. Sets @p how if it has ended by a signal or with a
    /// non-zero status.
    bool hasEnded(std::string &how)
    {
        int status = 0;
        if (m_pid == 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
            return m_pid == 0;
        }
        m_pid = 0;
        if (WIFSIGNALED(status)) {
            how = "signal " + std::to_string(WTERMSIG(status));
        } else if (WEXITSTATUS(status) != 0) {
            how = "status " + std::to_string(WEXITSTATUS(status));
        }
        return true;
    }

    const host_place &place() const { return m_place; }
    fault_proxy &proxy() { return m_proxy; }

private:
    std::string m_program;
    host_place m_place;
    std::string m_settingsFile;
    std::string m_logFile;
    fault_proxy m_proxy;
    pid_t m_pid = 0;
};

/// One run: starts the hosts, injects overlapping faults, lets the hosts recover and reports all
/// violations.
class soak_run
{
public:
    soak_run(const std::string &program, std::filesystem::path folder, unsigned network,
             unsigned hostsPerZone, double perSecond, unsigned growth, std::uint64_t seed)
        : m_random(seed)
        , m_growthRandom(seed)
        , m_growth(growth)
        , m_folder(std::move(folder))
        , m_storeAddress(addressOf(network, 4, 1), storePort)
        , m_store(m_io, m_storeAddress)
        , m_perSecond(perSecond)
        , m_signals(m_io, SIGINT, SIGTERM)
    {
        std::filesystem::create_directories(m_folder);
        std::vector<host_place> places;
        for (const char *zone : {"east", "west"}) {
            for (unsigned number = 1; number <= hostsPerZone; ++number) {
                const auto last = static_cast<unsigned>(places.size() + 1);
                places.push_back(host_place{std::string(zone) + "-" + std::to_string(number), zone,
                                            addressOf(network, 1, last), packetPort,
                                            readinessPort});
            }
        }
        m_fabric = std::make_unique<soak_fabric>(m_io, m_store, places, network, seed);
        for (const host_place &place : places) {
            m_hosts.push_back(std::make_unique<host_under_test>(m_io, program, place, places,
                                                                m_folder, m_storeAddress));
        }
        m_signals.async_wait([this](boost::system::error_code error, int) {
            if (!error) {
                m_fabric->reportViolation("interrupted", "by a signal");
                m_io.stop();
            }
        });
    }

    /// Returns whether no guarantee was violated.
    bool run()
    {
        for (const auto &host : m_hosts) {
            host->start();
        }
        runAfter(startupTime, [this] { m_fabric->startTraffic(m_perSecond); });
        runAfter(startupTime + milliseconds(500), [this] { injectNextFaults(); });
        m_faultsUntil = soak_clock::now() + startupTime + faultPhaseTime;
        scheduleGrowth();
        const milliseconds end = startupTime + faultPhaseTime + recoveryPhaseTime;
        runAfter(startupTime + faultPhaseTime - copyAge, [this] { m_store.takeCopy(); });
        runAfter(startupTime + faultPhaseTime, [this] { endFaults(); });
        runAfter(end - milliseconds(1000), [this] { m_fabric->stopTraffic(); });
        // The last requests have a deadline of 4 s.
        runAfter(end + finalRequestWindow, [this] {
            m_fabric->checkRecovered(soak_clock::now() - finalRequestWindow - finalRequestWindow);
            m_io.stop();
        });
        m_io.run();
        for (const auto &host : m_hosts) {
            host->kill();
        }
        for (const violation &what : m_fabric->violations()) {
            std::cout << "BROKEN rule=\"" << what.rule << "\" at_s=" << what.atSeconds
                      << " evidence=\"" << what.evidence << "\" logs=" << m_folder.string() << "\n";
        }
        std::cout << m_fabric->summary() << " faults=" << m_faultCount
                  << " store_calls=" << m_store.calls()
                  << " broken=" << m_fabric->violations().size() << std::endl;
        return m_fabric->violations().empty();
    }

private:
    static asio::ip::address_v4 addressOf(unsigned network, unsigned thirdByte, unsigned number)
    {
        return asio::ip::make_address_v4("127." + std::to_string(network) + "."
                                         + std::to_string(thirdByte) + "."
                                         + std::to_string(number));
    }

    void runAfter(milliseconds time, std::function<void()> action)
    {
        callAfter(m_io, time, std::move(action));
    }

    milliseconds randomTime(std::int64_t minMs, std::int64_t maxMs)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(minMs, maxMs)(m_random));
    }

    void logFault(const std::string &fault)
    {
        ++m_faultCount;
        m_fabric->noteDisturbance();
        std::cout << "fault at_s=" << m_fabric->elapsedSeconds() << " " << fault << "\n";
    }

    /// Undoes a fault after @p time.
    void undoAfter(milliseconds time, std::function<void()> undo)
    {
        runAfter(time, [this, undo = std::move(undo)] {
            undo();
            m_fabric->noteDisturbance();
        });
    }

    /// Lets the configuration grow up to maxGrowths times during the faults, with hosts on slow
    /// links. Uses random numbers of its own: the faults of a seed are the same without growth.
    void scheduleGrowth()
    {
        if (m_growth == 0) {
            return;
        }
        for (const auto &host : m_hosts) {
            host->proxy().setBytesPerSecond(linkBytesPerSecond);
        }
        const std::uint64_t growths = 1 + m_growthRandom() % maxGrowths;
        for (std::uint64_t index = 0; index < growths; ++index) {
            const milliseconds at(m_growthRandom() % faultPhaseTime.count());
            runAfter(startupTime + at, [this] {
                logFault("configuration grows");
                m_fabric->addIdleRoutes(m_growth);
            });
        }
    }

    void injectNextFaults()
    {
        if (soak_clock::now() >= m_faultsUntil) {
            return;
        }
        // Injects one kind of fault one to three times at once, so that the faults overlap.
        const auto kind = static_cast<unsigned>(m_random() % 12);
        const auto times = 1 + m_random() % 3;
        for (std::uint64_t step = 0; step < times; ++step) {
            injectFault(kind);
        }
        runAfter(randomTime(200, 900), [this] { injectNextFaults(); });
    }

    void injectFault(unsigned kind)
    {
        const std::size_t index = m_random() % m_hosts.size();
        host_under_test &host = *m_hosts[index];
        const std::size_t upstream = m_random() % m_fabric->upstreamCount();
        const milliseconds time = randomTime(200, maxFaultTime.count());
        const std::string name = host.place().name;
        const std::string length = " for_ms=" + std::to_string(time.count());
        switch (kind) {
        case 0:
            logFault("kill " + name + length);
            host.kill();
            m_fabric->noteRestart(index);
            undoAfter(time, [&host] { host.start(); });
            break;
        case 1:
            logFault("pause " + name + length);
            host.signal(SIGSTOP);
            undoAfter(time, [&host] { host.signal(SIGCONT); });
            break;
        case 2:
            logFault("stop " + name);
            host.signal(SIGCONT);
            host.signal(SIGTERM);
            restartWhenEnded(index);
            break;
        case 3:
            logFault("reload " + name);
            host.signal(SIGHUP);
            break;
        case 4:
        case 5: {
            const auto mode = static_cast<proxy_mode>(1 + m_random() % 4);
            logFault("proxy " + name + " mode=" + std::to_string(static_cast<int>(mode)) + length);
            host.proxy().setMode(mode);
            undoAfter(time, [&host] { host.proxy().setMode(proxy_mode::pass); });
            break;
        }
        case 6: {
            const auto fault = static_cast<store_fault>(1 + m_random() % 3);
            logFault("store fault=" + std::to_string(static_cast<int>(fault)) + length);
            m_store.setFault(fault);
            undoAfter(time, [this] { m_store.setFault(store_fault::none); });
            break;
        }
        case 7:
            logFault("store history dropped");
            m_store.dropHistory();
            break;
        case 8:
            logFault("packet loss " + name + length);
            m_fabric->setDropsPackets(index, true);
            undoAfter(time, [this, index] { m_fabric->setDropsPackets(index, false); });
            break;
        case 9:
            logFault("upstream silent " + std::to_string(upstream) + length);
            m_fabric->crashUpstream(upstream);
            undoAfter(time, [this, upstream] { m_fabric->restartUpstreamCold(upstream); });
            break;
        case 10:
            if (upstream != 0 && upstream % 4 != 3 && !m_hasDrainedUpstream) {
                // Only once during the faults: the others carry its load until the end.
                m_hasDrainedUpstream = true;
                logFault("upstream draining " + std::to_string(upstream));
                m_fabric->drainUpstream(upstream);
            }
            break;
        default:
            if (m_random() % 3 == 0) {
                toggleEvacuation();
            } else {
                toggleExtraRoute();
            }
        }
    }

    void toggleEvacuation()
    {
        m_isEvacuated = !m_isEvacuated;
        logFault(m_isEvacuated ? "zone west evacuated" : "zone west restored");
        m_fabric->setEvacuated("west", m_isEvacuated);
    }

    void toggleExtraRoute()
    {
        m_hasExtraRoute = !m_hasExtraRoute;
        logFault(m_hasExtraRoute ? "route added" : "route removed");
        m_fabric->setExtraRoute(m_hasExtraRoute);
    }

    void restartWhenEnded(std::size_t index)
    {
        std::string how;
        if (!m_hosts[index]->hasEnded(how)) {
            runAfter(milliseconds(100), [this, index] { restartWhenEnded(index); });
            return;
        }
        if (!how.empty()) {
            m_fabric->reportViolation("ends cleanly", m_hosts[index]->place().name + ": " + how);
        }
        m_fabric->noteRestart(index);
        m_hosts[index]->start();
        m_fabric->noteDisturbance();
    }

    void endFaults()
    {
        m_store.setFault(store_fault::none);
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            m_hosts[index]->proxy().setMode(proxy_mode::pass);
            m_hosts[index]->signal(SIGCONT);
            m_fabric->setDropsPackets(index, false);
        }
        logFault("store restored");
        m_store.restore();
        // Changes made now must be in force during the recovery phase.
        if (!m_isEvacuated && m_random() % 3 != 0) {
            toggleEvacuation();
        }
        toggleExtraRoute();
        m_fabric->noteDisturbance();
        // Waits until the last upstream has restarted.
        runAfter(maxFaultTime, [this] {
            logFault("upstream draining 1");
            m_fabric->drainUpstream(1);
        });
    }

    std::mt19937_64 m_random;
    std::mt19937_64 m_growthRandom;
    unsigned m_growth; ///< routes added at a time; 0: the configuration does not grow
    asio::io_context m_io{1};
    std::filesystem::path m_folder;
    tcp::endpoint m_storeAddress;
    soak_store m_store;
    double m_perSecond;
    asio::signal_set m_signals;
    std::unique_ptr<soak_fabric> m_fabric;
    std::vector<std::unique_ptr<host_under_test>> m_hosts;
    soak_clock::time_point m_faultsUntil{};
    unsigned m_faultCount = 0;
    bool m_hasDrainedUpstream = false;
    bool m_isEvacuated = false;
    bool m_hasExtraRoute = false;
};

int runSoak(int count, char **arguments)
{
    po::options_description description(
        "figstair-soak --figstair PROGRAM [options]\n"
        "Runs host processes under injected faults and checks the traffic that callers and\n"
        "upstreams see. Exits 0 when no guarantee was violated, 1 otherwise");
    description.add_options()("help", "print this text")(
        "figstair", po::value<std::string>()->required(), "the program under test")(
        "seed", po::value<std::uint64_t>()->default_value(1), "seed of the random faults")(
        "network", po::value<unsigned>()->default_value(90),
        "addresses in 127.NETWORK.0.0/16; concurrent runs need different ones")(
        "hosts", po::value<unsigned>()->default_value(3), "hosts in each of the two zones")(
        "requests", po::value<double>()->default_value(120),
        "requests a second")("growth", po::value<unsigned>()->default_value(0),
                             "routes that the configuration grows by at a time, up to 1400; hosts "
                             "then have links of 10 Mbit/s to the store")(
        "folder", po::value<std::string>()->default_value("soak-logs"),
        "folder for settings and logs");
    po::variables_map values;
    po::store(po::parse_command_line(count, arguments, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    po::notify(values);
    const auto seed = values["seed"].as<std::uint64_t>();
    const auto folder = std::filesystem::path(values["folder"].as<std::string>())
        / ("seed-" + std::to_string(seed));
    std::filesystem::remove_all(folder);
    std::cout << "soak seed=" << seed << "\n";
    soak_run run(values["figstair"].as<std::string>(), folder, values["network"].as<unsigned>(),
                 values["hosts"].as<unsigned>(), values["requests"].as<double>(),
                 values["growth"].as<unsigned>(), seed);
    return run.run() ? 0 : 1;
}

} // namespace
} // namespace soak

int main(int count, char **arguments)
{
    try {
        return soak::runSoak(count, arguments);
    } catch (const std::exception &error) {
        std::cerr << "figstair-soak: " << error.what() << "\n";
        return 2;
    }
}
