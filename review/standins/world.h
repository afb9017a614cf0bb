#pragma once

#include <array>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <sys/types.h>

#include "store.h"

namespace review {

using bytes = std::vector<std::uint8_t>;

/// Header of a packet; PROTOCOL.md gives the layout.
struct head
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
};

constexpr std::uint8_t flagSyn = 32;
constexpr std::uint8_t flagAck = 64;
constexpr std::uint8_t flagFin = 8;
constexpr std::uint8_t flagRst = 4;

/// Client address and port, route address and port.
using flow_key = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

struct route
{
    std::string name;
    std::string service;
    std::uint16_t port = 0;
    std::string kind;
};

struct service
{
    std::string name;
    unsigned slots = 4;
    milliseconds work{5};
    double warmupPerSecond = 0;
};

/// One end of a flow: what it has sent and what it expects.
struct flow_end
{
    std::uint32_t sendNext = 0;
    std::uint32_t receiveNext = 0;
    std::uint32_t echo = 0; ///< last one received
    std::string unacknowledged;
    std::uint32_t unacknowledgedSequence = 0;
    bool isFinUnacknowledged = false;
    bool hasSentFin = false;
    bool hasReceivedFin = false;
    unsigned transmission = 0; ///< incremented with each new segment, ends earlier timers
};

class world;

/// A host of the system under test: the released program, started as the deploy file says.
class host
{
public:
    host(world &owner, std::string name, std::string zone, std::string address);
    ~host();
    host(const host &) = delete;
    host &operator=(const host &) = delete;

    void writeSettings(const std::string &seeds) const;
    void start();
    void signal(int number);
    /// Whether the process has ended since the last call to start().
    bool hasEnded();

    const std::string &name() const { return m_name; }
    const std::string &zone() const { return m_zone; }
    const std::string &address() const { return m_address; }
    bool isInRotation = false;
    unsigned misses = 0;

private:
    world &m_world;
    std::string m_name;
    std::string m_zone;
    std::string m_address;
    pid_t m_pid = 0;
};

/// A target. Runs the requests of its flows and answers their clients directly.
class target
{
public:
    static constexpr milliseconds heartbeatInterval{1200};

    struct flow
    {
        flow_end end;
        std::uint32_t clientSequence = 0; ///< of the SYN
        std::uint32_t ownSequence = 0; ///< of the SYN-ACK
        std::uint32_t synCopy = 0;
        steady::time_point arrivedAt; ///< of the SYN
        bool isOpen = false;
        bool hasEnded = false;
        bool closesAfterAnswer = false;
    };

    target(world &owner, std::uint64_t id, std::string service, std::string zone,
           const std::string &address, milliseconds coldFor);

    void drain();
    /// Loses what made it fast; its next heartbeat tells.
    void becomeCold(milliseconds time);
    /// Ends the process of the target and removes its entry.
    void leave();
    /// Is silent from now on; its entry stays.
    void crash();
    /// Starts again under the same id, after crash().
    void restartCold(milliseconds coldFor);

    /// Called once, right after the next heartbeat.
    std::function<void()> onHeartbeat;

    std::string name() const;
    bool isCold() const { return steady::now() < m_coldUntil; }
    steady::time_point coldUntil() const { return m_coldUntil; }
    bool hasLeft() const { return m_hasLeft; }
    std::string address() const { return m_socket.local_endpoint().address().to_string(); }

private:
    void publish();
    void heartbeat();
    void receive();
    void onPacket(const head &packet, const std::string &data);
    void startWork();
    void answer(const flow_key &key, std::uint32_t clientSequence, const std::string &request);
    void send(const flow_key &key, std::uint8_t flags, std::uint32_t sequence,
              std::uint32_t acknowledged, std::uint32_t echo, const std::string &data);
    void sendSynAck(const flow_key &key, unsigned copy);
    void sendSegment(const flow_key &key, flow &item, const std::string &data, bool isFin);
    void retransmit(const flow_key &key, unsigned transmission, milliseconds wait, unsigned count);

    world &m_world;
    std::uint64_t m_id;
    std::string m_service;
    std::string m_zone;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 2048> m_buffer{};
    std::map<flow_key, flow> m_flows;
    std::deque<std::tuple<flow_key, std::uint32_t, std::string>> m_waiting;
    unsigned m_busy = 0;
    std::int64_t m_bornMs;
    unsigned m_sequence = 0;
    nlohmann::json m_published; ///< without "seq"
    bool m_isDraining = false;
    bool m_hasLeft = false;
    bool m_isDown = false;
    unsigned m_incarnation = 0;
    steady::time_point m_coldUntil;
};

/// A flow of a client, on which it sends one request after the other.
class client_flow : public std::enable_shared_from_this<client_flow>
{
public:
    enum class state : std::uint8_t { opening, open, closed, failed, reset };

    client_flow(world &owner, std::string zone, std::uint32_t address, std::uint16_t port,
                const route &to);

    void open();
    /// Sends a request; @p closes asks the target to close the flow after the answer.
    void request(const std::string &id, bool closes);
    void onPacket(const head &packet, const std::string &data, const std::string &sender);

    const flow_key &key() const { return m_key; }
    std::string clientName() const;
    std::uint32_t sequence() const { return m_initialSequence; }
    steady::time_point synSentAt(std::uint32_t copy) const { return m_synSentAt[copy]; }

    state phase = state::opening;
    std::string openAt; ///< name of the target that has the end of the handshake
    std::string resetBy; ///< sender of the reset
    unsigned answers = 0;
    std::string firstRequest;
    bool firstCloses = true;
    std::function<void(client_flow &)> onAnswer;
    std::function<void(client_flow &)> onClosed;

private:
    void sendSyn(std::uint32_t copy);
    void send(std::uint8_t flags, std::uint32_t sequence, const std::string &data);
    void sendSegment(const std::string &data, bool isFin);
    void retransmit(unsigned transmission, milliseconds wait);
    void finishIfClosed();

    world &m_world;
    std::string m_zone;
    flow_key m_key;
    std::uint32_t m_initialSequence;
    std::array<steady::time_point, 3> m_synSentAt{};
    flow_end m_end;
};

/// A SYN-opened flow, as its target saw it.
struct opening
{
    std::string target;
    flow_key key;
    steady::time_point sentAt; ///< the first SYN of the attempt
    steady::time_point arrivedAt; ///< the SYN that the target took
    bool isCold = false; ///< the target was cold when the SYN arrived
};

/// Platform, operator, targets and clients around the hosts; all on loopback addresses.
class world
{
public:
    world(boost::asio::io_context &io, std::string program, std::string folder,
          const std::string &recordFile);
    ~world();

    host &addHost(const std::string &name, const std::string &zone);
    void startHosts();
    void writeConfig();
    /// @p id: 0 draws one.
    target &addTarget(const std::string &service, const std::string &zone, milliseconds coldFor,
                      std::uint64_t id = 0);
    /// Adds a client and returns its address.
    std::uint32_t addClient();
    std::shared_ptr<client_flow> openFlow(const std::string &zone, std::uint32_t client,
                                          std::uint16_t port, const route &to,
                                          const std::string &firstRequest, bool firstCloses);

    void after(milliseconds time, std::function<void()> action);
    void note(const std::string &line);
    double seconds() const;
    bool areAllReady() const;
    std::size_t inRotation() const;

    /// The host that the routers of @p zone send packets with @p key to; null: none.
    host *hostFor(const std::string &zone, const flow_key &key) const;
    void sendFromClient(const std::string &zone, const head &packet, const std::string &data);
    std::shared_ptr<client_flow> flowOf(const flow_key &key) const;
    void onOpened(const target &at, const flow_key &key, const target::flow &flow);
    std::uint32_t random() { return static_cast<std::uint32_t>(m_random()); }
    const service &serviceOf(const std::string &name) const;

    std::vector<service> services;
    std::vector<route> routes;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<std::unique_ptr<target>> targets;
    std::vector<opening> openings;

    /// What an address belongs to; the third number of the address.
    enum class owner : std::uint8_t { host = 1, target = 2, client = 3, store = 4 };
    /// An unused address; the store has only one.
    std::string newAddress(owner kind);

    boost::asio::io_context &io;
    std::string program;
    std::string folder;
    unsigned network = 0;
    std::unique_ptr<store> platformStore;

    static constexpr std::uint16_t packetPort = 8172;
    static constexpr std::uint16_t readinessPort = 8167;
    static constexpr std::uint16_t controlPort = 8166;
    static constexpr std::uint16_t internalPort = 7720;
    static constexpr std::uint16_t storePort = 8169;
    static constexpr std::uint16_t targetPort = 8080;
    std::uint32_t routeAddress = 0; ///< of all routes; a loopback address without a socket

private:
    struct client
    {
        explicit client(boost::asio::io_context &io)
            : socket(io)
        {
        }
        boost::asio::ip::udp::socket socket;
        boost::asio::ip::udp::endpoint sender;
        std::array<std::uint8_t, 2048> buffer{};
    };

    void probe(host &item);
    void receive(client &item);

    std::ofstream m_record;
    steady::time_point m_startedAt = steady::now();
    std::mt19937_64 m_random;
    std::map<owner, unsigned> m_addresses; ///< number of addresses by owner
    std::map<std::uint32_t, std::unique_ptr<client>> m_clients;
    std::map<flow_key, std::shared_ptr<client_flow>> m_flows;
    std::uint64_t m_version = 0;
    std::uint64_t m_nextId;
};

} // namespace review
