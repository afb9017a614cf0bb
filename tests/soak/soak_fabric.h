#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "soak_store.h"

namespace soak {

/// Where a host listens.
struct host_place
{
    std::string name;
    std::string zone;
    boost::asio::ip::address_v4 address;
    std::uint16_t packetPort = 0;
    std::uint16_t readinessPort = 0;
};

/// Packet header, as the platform documentation specifies it.
struct packet_head
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint16_t destinationPort = 0;
    std::uint32_t destination = 0;
    std::uint32_t source = 0;
    std::uint16_t sourcePort = 0;
};

/// One observed breach of a guarantee.
struct violation
{
    std::string rule;
    std::string evidence;
    double atSeconds = 0;
};

/// Simulates routers, upstreams and callers around real host processes on loopback. Routers map
/// each caller port to one of the ready hosts; upstreams answer callers directly. Records a
/// violation where the traffic that callers and upstreams see breaks a guarantee.
class soak_fabric
{
public:
    /// Upstreams and callers get addresses in 127.@p network.0.0/16.
    soak_fabric(boost::asio::io_context &io, soak_store &store, std::vector<host_place> hosts,
                unsigned network, std::uint64_t seed);
    ~soak_fabric();

    /// Starts sending requests with exponential gaps, on average @p perSecond a second.
    void startTraffic(double perSecond);
    void stopTraffic() { m_isSending = false; }

    // Actions of operators and upstreams.
    void drainUpstream(std::size_t upstream);
    void crashUpstream(std::size_t upstream);
    void restartUpstreamCold(std::size_t upstream);
    void setEvacuated(const std::string &zone, bool isEvacuated);
    void setExtraRoute(bool exists);
    /// Adds @p count routes without traffic to the configuration.
    void addIdleRoutes(unsigned count);

    /// Starts the recovery period, during which rules that depend on contact with the store are not
    /// checked.
    void noteDisturbance() { m_disturbedAt = soak_clock::now(); }

    /// Drops all packets that callers send to @p host while @p isDropping is true.
    void setDropsPackets(std::size_t host, bool isDropping);

    /// Notes that the process of @p host ended: the next one starts without a configuration.
    void noteRestart(std::size_t host)
    {
        m_newestSeenVersions[host] = 0;
        m_servedAdditions[host] = 0;
    }

    std::size_t upstreamCount() const { return m_upstreams.size(); }
    const std::vector<violation> &violations() const { return m_violations; }
    void reportViolation(const std::string &rule, const std::string &evidence);
    std::string summary() const;

    /// Records a violation if a request sent since @p since has no answer, or if none was sent.
    void checkRecovered(soak_clock::time_point since);
    double elapsedSeconds() const;

private:
    struct upstream;
    struct request;
    struct attempt;
    using udp = boost::asio::ip::udp;

    void runAfter(milliseconds time, std::function<void()> action);
    void publish(upstream &target);
    void writeConfig();
    void checkReadiness(std::size_t host);
    void sendNextRequest(double perSecond);
    void startAttempt(const std::shared_ptr<request> &ownerRequest);
    void endAttempt(const std::shared_ptr<attempt> &flowAttempt, bool mayRunAgain);
    void sendOpening(const std::shared_ptr<attempt> &flowAttempt, unsigned copy);
    void sendRequest(const std::shared_ptr<attempt> &flowAttempt);
    void sendPacket(const attempt &from, std::uint8_t flags, std::uint32_t sequence,
                    std::uint32_t acknowledged, const std::string &data);
    void probeRoutes();
    void receiveAtUpstream(upstream &target);
    void receiveAtCaller();
    void onUpstreamPacket(upstream &target, const packet_head &head, const std::string &data);
    void checkOpening(const upstream &target, const packet_head &head);
    void startQueuedWork(upstream &target);
    void onOpened(const std::shared_ptr<attempt> &flowAttempt, std::size_t upstreamIndex,
                  std::uint32_t echo);
    void onAnswer(const std::shared_ptr<attempt> &flowAttempt, const std::string &data);
    void onReset(const packet_head &head, bool isFromHost);
    bool isRecovered() const;

    boost::asio::io_context &m_io;
    soak_store &m_store;
    std::vector<host_place> m_hosts;
    std::vector<bool> m_isReady;
    std::vector<unsigned> m_failedChecks;
    std::vector<bool> m_dropsPackets;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    udp::socket m_callerSocket;
    udp::endpoint m_sender;
    std::array<std::uint8_t, 2048> m_receiveBuffer{};
    soak_clock::time_point m_startedAt = soak_clock::now();
    soak_clock::time_point m_disturbedAt = soak_clock::now();
    std::map<std::uint16_t, std::shared_ptr<attempt>> m_attempts; ///< by the caller's port
    std::vector<std::shared_ptr<request>> m_requests;
    std::map<std::string, unsigned> m_orderRuns;
    std::map<std::string, soak_clock::time_point> m_evacuatedAt; ///< evacuated zones
    bool m_hasExtraRoute = false;
    unsigned m_idleRoutes = 0;
    soak_clock::time_point m_extraRouteSince{};
    std::uint64_t m_additionVersion = 0; ///< configuration that last added the extra route
    /// By host: m_additionVersion when a probe on the extra route last opened.
    std::vector<std::uint64_t> m_servedAdditions;
    std::vector<std::uint64_t> m_newestSeenVersions; ///< by host: newest version that a
                                                     ///< probe showed
    std::uint64_t m_version = 0;
    std::uint16_t m_nextPort = 20000;
    bool m_isSending = false;
    std::vector<violation> m_violations;
};

} // namespace soak
