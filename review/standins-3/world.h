#pragma once

#include <array>
#include <csignal>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>

#include "../../tests/soak/soak_store.h"

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// Packet header of the users' protocol page.
struct packet
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::uint32_t sum = 0;
    std::uint8_t flags = 0;
    std::uint16_t destinationPort = 0;
    std::uint32_t destination = 0;
    std::uint32_t source = 0;
    std::uint16_t sourcePort = 0;
    std::string data;
};

/// The two ends of a flow, seen from the client.
struct flow_key
{
    std::uint32_t client = 0;
    std::uint16_t clientPort = 0;
    std::uint16_t routePort = 0;

    bool operator<(const flow_key &other) const
    {
        return std::tie(client, clientPort, routePort)
            < std::tie(other.client, other.clientPort, other.routePort);
    }
};

class world;

/// A host process of the system, `target/figstair entry`, on a loopback address of its own.
class host
{
public:
    host(world &owner, std::string name, std::string zone, asio::ip::address_v4 address);
    ~host() { kill(); }
    host(const host &) = delete;
    host &operator=(const host &) = delete;

    void start();
    void signal(int number);
    void kill();
    /// Whether the process has ended; reaps it.
    bool hasEnded();
    /// SIGTERM, SIGKILL after the grace period, and a new start after a short delay.
    void restart();

    std::string name;
    std::string zone;
    asio::ip::address_v4 address;
    bool isInRotation = false;

    unsigned misses = 0; ///< readiness checks that failed in a row

private:
    void awaitEnd(clock::time_point killAt);

    world &m_owner;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = 0;
};

/// A server of the users, which follows the protocol page: registers itself in the store, answers
/// each SYN, acknowledges data at once and runs requests in its slots.
class server
{
public:
    struct opening
    {
        flow_key flow;
        clock::time_point sentAt; ///< when the client sent the first SYN of the flow
        clock::time_point arrivedAt;
    };

    server(world &owner, std::uint64_t id, std::string service, std::string zone,
           asio::ip::address_v4 address);

    /// Starts a new incarnation, which stays cold for @p coldTime and writes its first entry after
    /// @p entryDelay.
    void start(milliseconds coldTime, milliseconds entryDelay = milliseconds(0));
    /// Ends the process: flows are lost, and packets get no answer.
    void crash();
    bool isCold() const { return clock::now() < coldUntil; }
    std::string text() const;

    std::uint64_t id;
    std::string service;
    std::string zone;
    asio::ip::address_v4 address;
    bool isUp = false;
    clock::time_point startedAt{};
    clock::time_point coldUntil{};
    std::vector<opening> coldOpenings; ///< flows opened by a SYN that arrived while it was cold
    unsigned requestsRun = 0;
    unsigned foreignRuns = 0; ///< of requests that the configuration sends to another service

private:
    struct flow
    {
        std::uint32_t ownSequence = 0; ///< of its SYN+ACK
        std::uint32_t clientSequence = 0; ///< of the client's SYN
        std::uint32_t echo = 0;
        bool isOpen = false;
        bool hasRequest = false;
        bool isAnswerAcknowledged = false;
        std::string answer;
    };

    void receive();
    void beat(std::uint64_t incarnation);
    void onPacket(const packet &from);
    void sendTo(const packet &from, const flow &state, std::uint8_t flags, std::uint32_t sequence,
                const std::string &data);
    void sendReset(const packet &from);
    void sendSynAck(const packet &from, const flow_key &key, std::uint64_t incarnation,
                    unsigned copy);
    void sendAnswer(const packet &from, const flow_key &key, std::uint64_t incarnation,
                    unsigned copy);
    void startQueued();

    world &m_owner;
    udp::socket m_socket;
    std::array<std::uint8_t, 2048> m_buffer{};
    std::map<flow_key, flow> m_flows;
    std::deque<std::pair<packet, flow_key>> m_queue;
    unsigned m_busySlots = 0;
    std::uint64_t m_incarnation = 0;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_writes = 0;
};

/// One attempt of a client: a flow with one request.
struct attempt
{
    unsigned requestNumber = 0;
    unsigned tries = 0;
    std::size_t clientZone = 0;
    flow_key flow;
    std::uint32_t sequence = 0;
    std::uint32_t serverSequence = 0;
    std::uint32_t echo = 0;
    clock::time_point firstSentAt{};
    bool isOpen = false;
    bool isAcknowledged = false;
    bool isFinished = false;
};

/// A small deployment on loopback: the store, routers, servers and clients in this process, and the
/// hosts as processes of their own.
class world
{
public:
    struct settings
    {
        std::vector<std::pair<std::string, unsigned>> zones; ///< names and numbers of hosts
        double warmupPerSecond = 4;
        milliseconds warmup{10000};
        unsigned slots = 4;
        milliseconds work{55};
        double requestsPerSecond = 100; ///< in each zone
        double catalogueShare = 0; ///< of the requests; the rest goes to order-desk
    };

    explicit world(settings what);
    ~world();

    asio::io_context &io() { return m_io; }
    soak::soak_store &store() { return *m_store; }
    const settings &config() const { return m_settings; }
    const std::filesystem::path &folder() const { return m_folder; }
    std::string program() const { return "target/figstair"; }

    void runAfter(milliseconds time, std::function<void()> action);
    void run() { m_io.run(); }
    void stop() { m_io.stop(); }
    double seconds() const;
    double secondsAt(clock::time_point time) const;
    std::string requestOf(const flow_key &flow) const;
    void record(const std::string &line);

    server &addServer(const std::string &service, const std::string &zone);
    host &hostAt(std::size_t index) { return *m_hosts[index]; }
    std::size_t hostCount() const { return m_hosts.size(); }
    std::vector<std::unique_ptr<server>> &servers() { return m_servers; }
    void startHosts();
    void startTraffic();
    void stopTraffic() { m_isSending = false; }
    void writeConfig();
    void writeForeignEntry();

    udp::endpoint clientEndpoint(std::uint32_t client) const;
    std::uint16_t packetPort() const { return m_packetPort; }
    std::uint16_t readinessPort() const { return m_readinessPort; }
    std::uint16_t internalPort() const { return m_internalPort; }
    std::uint16_t serverPort() const { return m_serverPort; }
    tcp::endpoint storeEndpoint() const { return m_storeEndpoint; }
    std::string seeds() const;
    std::mt19937_64 &random() { return m_random; }
    void onPacketForClient(const packet &from, bool isFromServer);
    /// When the client of @p flow sent its first SYN.
    clock::time_point firstSentAt(const flow_key &flow) const;

    unsigned sent = 0;
    unsigned answered = 0;
    unsigned runs = 0;
    bool isInterrupted = false;
    bool isStoreDown = false; ///< for the servers' writes

private:
    void recordTotals();
    void checkReadiness(std::size_t index);
    void setProbeResult(std::size_t index, bool isReady);
    void sendNext(std::size_t zone);
    void startAttempt(unsigned number, unsigned tries, std::size_t zone);
    void sendOpening(const std::shared_ptr<attempt> &item, unsigned copy);
    void sendData(const std::shared_ptr<attempt> &item, unsigned copy);
    void sendFromClient(const attempt &item, std::uint8_t flags, std::uint32_t sequence,
                        std::uint32_t acknowledged, const std::string &data);
    void fail(const std::shared_ptr<attempt> &item);
    host *routeFor(const attempt &item);
    void receiveAtClients(std::size_t zone);

    settings m_settings;
    asio::io_context m_io;
    asio::signal_set m_signals{m_io, SIGTERM, SIGINT};
    std::mt19937_64 m_random{std::random_device{}()};
    std::filesystem::path m_folder;
    std::ofstream m_record;
    unsigned m_network = 0;
    std::uint16_t m_packetPort = 0;
    std::uint16_t m_readinessPort = 0;
    std::uint16_t m_internalPort = 0;
    std::uint16_t m_serverPort = 0;
    tcp::endpoint m_storeEndpoint;
    std::unique_ptr<soak::soak_store> m_store;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<server>> m_servers;
    struct client_side
    {
        explicit client_side(asio::io_context &io)
            : socket(io)
        {
        }
        udp::socket socket;
        std::array<std::uint8_t, 2048> buffer{};
        std::uint32_t address = 0;
        std::uint16_t nextPort = 20000;
    };
    std::vector<std::unique_ptr<client_side>> m_clients; ///< one for each zone
    std::map<flow_key, std::shared_ptr<attempt>> m_attempts;
    clock::time_point m_startedAt = clock::now();
    std::uint64_t m_version = 0;
    bool m_isSending = false;
};

std::vector<std::uint8_t> encode(const packet &what);
bool decode(const std::uint8_t *bytes, std::size_t size, packet &what);

} // namespace review
