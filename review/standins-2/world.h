#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <sys/types.h>

#include "event_loop.h"
#include "packet.h"
#include "store.h"

namespace review {

enum class request_kind : std::uint8_t { safe, unsafe, download };

/// A route and the service that serves it.
struct route
{
    std::string name;
    std::uint16_t port = 0;
    std::string service;
    request_kind kind = request_kind::safe;
    double aimMs = 0;
    double deadline = 0; ///< of a request, in seconds
    double meanWorkMs = 0;
};

struct world_settings
{
    std::uint64_t seed = 1;
    /// Share of the datagrams between clients, hosts and targets that the network loses.
    double lossShare = 0;
    double meanPause = 1; ///< of a client between two requests, in seconds
    unsigned clientsPerZone = 30;
    /// Whether clients open a flow for each request, instead of keeping one open.
    bool opensFlowPerRequest = false;
    double coldRequestsPerSecond = 0; ///< warmup-per-s of each service
    /// Further clients of each zone, which use routes that were just added; see exchangeRoutes().
    unsigned newRouteClientsPerZone = 0;
};

/// A small deployment on loopback addresses: real figstair processes, and stand-ins for the
/// platform's store and routers, targets and clients that keep their flows open for many requests.
/// Records what clients, targets and the platform see, and judges the rule FLOW.
class world
{
public:
    /// Throws std::runtime_error if no free addresses are found.
    world(event_loop &loop, const world_settings &settings, std::ostream &record);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    /// Starts the hosts, and the clients' traffic as soon as all hosts are ready; then calls
    /// @p onTraffic.
    void start(action onTraffic);
    void stopTraffic() { m_isSending = false; }

    // Disruptions and planned work.

    /// Stops the host with SIGTERM, and with SIGKILL after the grace period. It does not return.
    void removeHost(std::size_t host);
    /// Stops the host in the same way. It starts again shortly after its end.
    void restartHost(std::size_t host);
    /// The operator writes a configuration with @p count new routes; those of the last call are
    /// removed. As soon as the store has it, clients begin to use some of them.
    void exchangeRoutes(unsigned count);
    /// Another writer replaces the target's entry in the store by @p value. The target writes its
    /// own again with its next heartbeat.
    void overwriteEntry(std::size_t target, const std::string &value);

    /// The store answers each call of a host with 503 for @p seconds, and targets cannot write.
    void stopStore(double seconds);
    /// The target crashes and starts again @p seconds later under its id, cold, without its flows.
    void crashTarget(std::size_t target, double seconds);

    // Network.

    /// The network loses the next datagram with a new request to @p target.
    void loseNextRequestTo(std::size_t target);

    std::vector<std::size_t> hostsOf(const std::string &zone) const;
    std::vector<std::size_t> targetsOf(const std::string &zone, const std::string &service) const;
    /// Target with the most open flows among @p candidates.
    std::size_t busiestOf(const std::vector<std::size_t> &candidates) const;

    /// Judges FAILBACK for the target: notes the most requests that it got in one second while it
    /// was cold, and counts a violation if the rule allows fewer.
    void judgeColdTarget(std::size_t target);
    std::size_t violationCount() const { return m_violations; }
    /// Whether every started host is alive or was removed, and most requests were answered.
    bool isSound() const;
    void note(const std::string &text);
    void writeSummary();

private:
    struct host;
    struct target;
    struct target_flow;
    struct client;
    struct client_flow;
    struct segment;

    sockaddr_in address(unsigned group, unsigned number, std::uint16_t port) const;
    bool losesDatagram();
    std::string settingsFor(const host &of) const;
    void startHost(host &started);
    void stopHost(std::size_t index);
    void awaitEnd(std::size_t index, double killAt);
    void checkReadiness(std::size_t index);
    void waitUntilReady(double until, action onTraffic);
    void writeConfig();
    sockaddr_in routeAddress() const { return address(routeGroup, 1, 0); }
    void heartbeat(std::size_t index);
    std::string entryOf(const target &of) const;

    host *hostFor(const client &from, const flow_key &flow);
    void sendToHost(client &from, const client_flow &flow, packet content);

    void openFlow(client &owner);
    void sendSyn(std::size_t client, std::uint64_t flow, unsigned copy);
    void onClientDatagram(client &receiver);
    void onSynAck(client &owner, client_flow &flow, const packet &received);
    void onClientReset(client &owner, client_flow &flow, const packet &received, bool isFromHost);
    void onResponse(client &owner, client_flow &flow, const packet &received);
    void sendRequest(client &owner);
    void sendData(std::size_t client, std::uint64_t flow, std::uint64_t request, unsigned copy);
    void acknowledge(client &owner, client_flow &flow);
    void endRequest(client &owner, const char *outcome, bool mayRepeat);
    void endFlow(client &owner);
    void scheduleRequest(client &owner, double pause);
    void judgeReset(const client &owner, const client_flow &flow, const packet &received);

    void onTargetDatagram(target &receiver);
    void onTargetPacket(target &receiver, const packet &received);
    void sendFromTarget(target &from, const flow_key &flow, const target_flow &state,
                        std::uint8_t flags, std::uint32_t sequence, const std::string &data);
    void sendSynAck(std::size_t target, const flow_key &flow, std::uint32_t opening, unsigned copy);
    double startOf(const flow_key &key) const;
    void startWork(target &worker);
    void respond(std::size_t target, const flow_key &flow, std::uint32_t opening,
                 const std::string &requestId);
    void sendResponse(std::size_t target, const flow_key &flow, std::uint32_t opening,
                      std::uint32_t sequence, unsigned copy);

    event_loop &m_loop;
    world_settings m_settings;
    std::ostream &m_record;
    std::mt19937_64 m_random;
    unsigned m_network = 0;
    std::string m_folder;
    std::string m_template;
    static constexpr unsigned routeGroup = 5;
    std::deque<route> m_routes; ///< in the newest configuration
    std::uint64_t m_version = 7;
    std::uint16_t m_nextRoutePort = 10000;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<target>> m_targets;
    std::vector<std::unique_ptr<client>> m_clients;
    std::map<std::string, unsigned> m_runs; ///< by request id
    std::set<std::string> m_sentIds;
    std::set<std::string> m_orderIds;
    bool m_isSending = false;
    std::uint64_t m_nextFlow = 1;
    std::uint64_t m_nextRequest = 1;
    std::size_t m_violations = 0;
    std::map<std::string, std::size_t> m_counts; ///< of what happened, for the summary
};

} // namespace review
