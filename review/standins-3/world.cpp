#include "world.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/endian/conversion.hpp>

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace endian = boost::endian;
using nlohmann::json;

extern char **environ;

namespace review {
namespace {

constexpr std::size_t headBytes = 31;
constexpr std::size_t idBytes = 8;
constexpr std::uint8_t synFlag = 32;
constexpr std::uint8_t ackFlag = 64;
constexpr std::uint8_t finFlag = 8;
constexpr std::uint8_t rstFlag = 4;

constexpr std::uint32_t routeAddress = 0x7F120001; // 127.18.0.1, only named inside packets
constexpr std::uint16_t deskPort = 443; ///< of the route to order-desk
constexpr std::uint16_t sheetPort = 8443; ///< of the route to catalogue

constexpr milliseconds heartbeat{1200};
constexpr milliseconds probeInterval{500};
constexpr milliseconds openTimeout{1400};
constexpr milliseconds gracePeriod{6000};
constexpr milliseconds restartDelay{300};
constexpr milliseconds requestDeadline{4000};
constexpr unsigned maxRetries = 2;
constexpr unsigned maxRepetitions = 8;
constexpr std::size_t maxQueued = 16;

/// Sum over the fields that hosts must not change.
std::uint32_t sumOf(const packet &what)
{
    std::uint32_t sum = 0x9E3779B9;
    const auto add = [&sum](std::uint32_t value) {
        sum = (sum ^ value) * 0x01000193U + 0x7F4A7C15U;
    };
    add(what.sequence);
    add(what.acknowledged);
    add(what.flags);
    add(what.destination ^ what.destinationPort);
    add(what.source ^ (std::uint32_t{what.sourcePort} << 16U));
    for (const char character : what.data) {
        add(static_cast<unsigned char>(character));
    }
    return sum;
}

milliseconds repetitionDelay(unsigned copy)
{
    return milliseconds(std::min(1600U, 200U << std::min(copy, 3U)));
}

asio::ip::address_v4 addressOf(unsigned network, unsigned group, std::size_t last)
{
    return asio::ip::make_address_v4("127." + std::to_string(network) + "." + std::to_string(group)
                                     + "." + std::to_string(last));
}

/// A port that is free on @p address, for UDP and TCP.
std::uint16_t freePort(asio::io_context &io, const asio::ip::address_v4 &address)
{
    udp::socket probe(io, udp::endpoint(address, 0));
    const std::uint16_t port = probe.local_endpoint().port();
    const tcp::acceptor other(io, tcp::endpoint(address, port));
    return port;
}

} // namespace

std::vector<std::uint8_t> encode(const packet &what)
{
    std::vector<std::uint8_t> bytes(headBytes + what.data.size());
    endian::store_big_u32(bytes.data(), what.sequence);
    endian::store_big_u32(&bytes[4], what.acknowledged);
    endian::store_big_u32(&bytes[8], what.echo);
    endian::store_big_u32(&bytes[12], sumOf(what));
    bytes[16] = what.flags;
    endian::store_big_u16(&bytes[17], static_cast<std::uint16_t>(what.data.size()));
    endian::store_big_u16(&bytes[19], what.destinationPort);
    endian::store_big_u32(&bytes[21], what.destination);
    endian::store_big_u32(&bytes[25], what.source);
    endian::store_big_u16(&bytes[29], what.sourcePort);
    std::copy(what.data.begin(), what.data.end(),
              bytes.begin() + static_cast<std::ptrdiff_t>(headBytes));
    return bytes;
}

bool decode(const std::uint8_t *bytes, std::size_t size, packet &what)
{
    if (size < headBytes) {
        return false;
    }
    what.sequence = endian::load_big_u32(bytes);
    what.acknowledged = endian::load_big_u32(bytes + 4);
    what.echo = endian::load_big_u32(bytes + 8);
    what.sum = endian::load_big_u32(bytes + 12);
    what.flags = bytes[16];
    what.destinationPort = endian::load_big_u16(bytes + 19);
    what.destination = endian::load_big_u32(bytes + 21);
    what.source = endian::load_big_u32(bytes + 25);
    what.sourcePort = endian::load_big_u16(bytes + 29);
    what.data.assign(bytes + headBytes, bytes + size);
    return true;
}

// host

host::host(world &owner, std::string hostName, std::string hostZone, asio::ip::address_v4 where)
    : name(std::move(hostName))
    , zone(std::move(hostZone))
    , address(where)
    , m_owner(owner)
    , m_settingsFile((owner.folder() / (name + ".ini")).string())
    , m_logFile((owner.folder() / (name + ".log")).string())
{
    const std::string ip = address.to_string();
    std::ofstream file(m_settingsFile);
    file << "[host]\nname = " << name << "\nzone = " << zone << "\nlisten = " << ip << ":"
         << owner.packetPort() << "\nreadiness_listen = " << ip << ":" << owner.readinessPort()
         << "\ninternal_address = " << ip << "\ninternal_ports = " << owner.internalPort() << ","
         << owner.internalPort() << "\nmetrics_port = 0\nseeds = " << owner.seeds()
         << "\ncpu_share = 0.25\ngrace_s = " << gracePeriod.count() / 1000
         << "\n\n[store]\nendpoint = " << owner.storeEndpoint().address().to_string() << ":"
         << owner.storeEndpoint().port() << "\n\n[upstreams]\nheartbeat_ms = " << heartbeat.count()
         << "\nflow_life_s = 60\ncold_overshoot = 1.5\ncold_slack = 5\n";
}

void host::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = m_owner.program();
    std::string entry = "entry";
    std::string variable = "FIGSTAIR_NODE_FILE=" + m_settingsFile;
    std::vector<char *> variables{variable.data()};
    for (char **item = environ; *item != nullptr; ++item) {
        if (std::string(*item).rfind("FIGSTAIR_NODE_FILE=", 0) != 0) {
            variables.push_back(*item);
        }
    }
    variables.push_back(nullptr);
    char *arguments[] = {program.data(), entry.data(), nullptr};
    if (posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments, variables.data()) != 0) {
        m_pid = 0;
        throw std::runtime_error("cannot start " + program);
    }
    posix_spawn_file_actions_destroy(&actions);
    m_owner.record("host " + name + " started");
}

void host::signal(int number)
{
    if (m_pid != 0) {
        ::kill(m_pid, number);
    }
}

void host::kill()
{
    if (m_pid != 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool host::hasEnded()
{
    if (m_pid != 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid == 0;
}

void host::restart()
{
    m_owner.record("host " + name + " gets SIGTERM");
    signal(SIGTERM);
    awaitEnd(clock::now() + gracePeriod);
}

void host::awaitEnd(clock::time_point killAt)
{
    if (!hasEnded()) {
        if (clock::now() >= killAt) {
            kill();
        }
        m_owner.runAfter(milliseconds(20), [this, killAt] { awaitEnd(killAt); });
        return;
    }
    m_owner.record("host " + name + " ended");
    m_owner.runAfter(restartDelay, [this] { start(); });
}

// server

server::server(world &owner, std::uint64_t serverId, std::string serverService,
               std::string serverZone, asio::ip::address_v4 where)
    : id(serverId)
    , service(std::move(serverService))
    , zone(std::move(serverZone))
    , address(where)
    , m_owner(owner)
    , m_socket(owner.io(), udp::endpoint(where, owner.serverPort()))
{
    m_socket.set_option(asio::socket_base::receive_buffer_size(1 << 20));
    receive();
}

std::string server::text() const
{
    std::ostringstream out;
    out << "i-" << std::hex << id;
    return out.str();
}

void server::start(milliseconds coldTime, milliseconds entryDelay)
{
    isUp = true;
    startedAt = clock::now();
    coldUntil = startedAt + coldTime;
    m_flows.clear();
    m_queue.clear();
    m_busySlots = 0;
    m_writes = 0;
    m_bornMs = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    m_owner.record("server " + text() + " starts, cold for " + std::to_string(coldTime.count())
                   + " ms");
    m_owner.runAfter(entryDelay, [this, incarnation = ++m_incarnation] { beat(incarnation); });
}

void server::crash()
{
    isUp = false;
    ++m_incarnation;
    m_flows.clear();
    m_queue.clear();
    m_owner.record("server " + text() + " crashes");
}

void server::beat(std::uint64_t incarnation)
{
    if (incarnation != m_incarnation || !isUp) {
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(coldUntil - clock::now());
    if (m_owner.isStoreDown) {
        // The store refuses the write; the server tries again with its next heartbeat, or soon.
        m_owner.runAfter(milliseconds(200), [this, incarnation] { beat(incarnation); });
        return;
    }
    m_owner.store().put(
        "servers/" + text(),
        json{{"service", service},
             {"address", address.to_string() + ":" + std::to_string(m_owner.serverPort())},
             {"zone", zone},
             {"version", "v1"},
             {"concurrency", m_owner.config().slots},
             {"state", "ready"},
             {"warmup-left-ms", std::max<std::int64_t>(0, left.count())},
             {"born", m_bornMs},
             {"seq", ++m_writes}}
            .dump());
    m_owner.runAfter(heartbeat, [this, incarnation] { beat(incarnation); });
}

void server::receive()
{
    m_socket.async_receive(
        asio::buffer(m_buffer), [this](beast::error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            packet from;
            if (!error && isUp && size >= idBytes
                && decode(m_buffer.data() + idBytes, size - idBytes, from)) {
                const std::uint64_t meant = endian::load_big_u64(m_buffer.data());
                if (meant == id || meant == 0) {
                    onPacket(from);
                }
            }
            receive();
        });
}

void server::sendTo(const packet &from, const flow &state, std::uint8_t flags,
                    std::uint32_t sequence, const std::string &data)
{
    packet answer;
    answer.sequence = sequence;
    answer.acknowledged = state.clientSequence + 1
        + (state.hasRequest ? static_cast<std::uint32_t>(from.data.size()) : 0);
    answer.echo = state.echo;
    answer.flags = flags;
    answer.destination = from.source;
    answer.destinationPort = from.sourcePort;
    answer.source = from.destination;
    answer.sourcePort = from.destinationPort;
    answer.data = data;
    const auto bytes = encode(answer);
    beast::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), m_owner.clientEndpoint(from.source), 0, ignored);
}

void server::sendReset(const packet &from)
{
    flow none;
    none.echo = from.echo;
    sendTo(from, none, rstFlag, from.acknowledged, "");
}

void server::onPacket(const packet &from)
{
    if (from.sum != sumOf(from)) {
        m_owner.record("server " + text() + " got a changed packet");
        return;
    }
    const flow_key key{from.source, from.sourcePort, from.destinationPort};
    const auto found = m_flows.find(key);
    if ((from.flags & synFlag) != 0) {
        if (found != m_flows.end()) {
            return;
        }
        flow &added = m_flows[key];
        added.ownSequence = static_cast<std::uint32_t>(m_owner.random()());
        added.clientSequence = from.sequence;
        added.echo = from.echo;
        if (isCold()) {
            coldOpenings.push_back(opening{key, m_owner.firstSentAt(key), clock::now()});
            m_owner.record("cold server " + text() + " takes a flow of request "
                           + m_owner.requestOf(key) + ", sent "
                           + std::to_string(m_owner.secondsAt(m_owner.firstSentAt(key))));
        }
        sendSynAck(from, key, m_incarnation, 0);
        return;
    }
    if ((from.flags & rstFlag) != 0) {
        m_flows.erase(key);
        return;
    }
    if (found == m_flows.end()) {
        sendReset(from);
        return;
    }
    flow &state = found->second;
    state.echo = from.echo;
    if (!state.isOpen) {
        if (from.acknowledged != state.ownSequence + 1) {
            sendReset(from);
            return;
        }
        state.isOpen = true;
    }
    if ((from.flags & finFlag) != 0) {
        state.isAnswerAcknowledged = true;
        sendTo(from, state, ackFlag | finFlag, from.acknowledged, "");
        return;
    }
    if (from.data.empty()) {
        return;
    }
    if (state.hasRequest) {
        sendTo(from, state, ackFlag, state.ownSequence + 1, "");
        return;
    }
    state.hasRequest = true;
    sendTo(from, state, ackFlag, state.ownSequence + 1, "");
    if (m_queue.size() >= maxQueued) {
        state.answer = "421 " + from.data;
        sendAnswer(from, key, m_incarnation, 0);
        return;
    }
    m_queue.emplace_back(from, key);
    startQueued();
}

void server::sendSynAck(const packet &from, const flow_key &key, std::uint64_t incarnation,
                        unsigned copy)
{
    const auto found = m_flows.find(key);
    if (incarnation != m_incarnation || found == m_flows.end() || found->second.isOpen
        || copy > maxRepetitions) {
        return;
    }
    sendTo(from, found->second, synFlag | ackFlag, found->second.ownSequence, "");
    m_owner.runAfter(repetitionDelay(copy), [this, from, key, incarnation, copy] {
        sendSynAck(from, key, incarnation, copy + 1);
    });
}

void server::sendAnswer(const packet &from, const flow_key &key, std::uint64_t incarnation,
                        unsigned copy)
{
    const auto found = m_flows.find(key);
    if (incarnation != m_incarnation || found == m_flows.end() || found->second.isAnswerAcknowledged
        || copy > maxRepetitions) {
        return;
    }
    sendTo(from, found->second, ackFlag, found->second.ownSequence + 1, found->second.answer);
    m_owner.runAfter(repetitionDelay(copy), [this, from, key, incarnation, copy] {
        sendAnswer(from, key, incarnation, copy + 1);
    });
}

void server::startQueued()
{
    while (m_busySlots < m_owner.config().slots && !m_queue.empty()) {
        const auto [from, key] = m_queue.front();
        m_queue.pop_front();
        ++m_busySlots;
        ++requestsRun;
        if (service != (key.routePort == sheetPort ? "catalogue" : "order-desk")) {
            ++foreignRuns;
            m_owner.record("server " + text() + " of " + service + " runs a request of route /"
                           + std::to_string(key.routePort) + "/: " + from.data);
        }
        ++m_owner.runs;
        const double spread = std::uniform_real_distribution<>(0.5, 1.5)(m_owner.random());
        const auto time = milliseconds(static_cast<std::int64_t>(
            spread * (isCold() ? 1.6 : 1.0) * static_cast<double>(m_owner.config().work.count())));
        m_owner.runAfter(time, [this, from = from, key = key, incarnation = m_incarnation] {
            if (incarnation != m_incarnation) {
                return;
            }
            --m_busySlots;
            const auto found = m_flows.find(key);
            if (found != m_flows.end()) {
                found->second.answer = "200 " + from.data;
                sendAnswer(from, key, incarnation, 0);
            }
            startQueued();
        });
    }
}

// world

world::world(settings what)
    : m_settings(std::move(what))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = pattern;
    const char *record = std::getenv("RECORD_FILE");
    m_record.open(record == nullptr ? "record.txt" : record);
    m_signals.async_wait([this](beast::error_code error, int) {
        if (!error) {
            isInterrupted = true;
            m_io.stop();
        }
    });
    m_network = 16 + static_cast<unsigned>(getpid() % 200);
    m_packetPort = freePort(m_io, addressOf(m_network, 3, 1));
    m_readinessPort = freePort(m_io, addressOf(m_network, 1, 1));
    m_internalPort = freePort(m_io, addressOf(m_network, 1, 1));
    m_serverPort = freePort(m_io, addressOf(m_network, 2, 1));
    m_storeEndpoint =
        tcp::endpoint(addressOf(m_network, 4, 1), freePort(m_io, addressOf(m_network, 4, 1)));
    m_store = std::make_unique<soak::soak_store>(m_io, m_storeEndpoint);
    std::size_t count = 0;
    for (const auto &[zone, hosts] : m_settings.zones) {
        for (unsigned number = 1; number <= hosts; ++number) {
            m_hosts.push_back(std::make_unique<host>(*this, zone + "-" + std::to_string(number),
                                                     zone, addressOf(m_network, 1, ++count)));
        }
        auto side = std::make_unique<client_side>(m_io);
        const auto address = addressOf(m_network, 3, m_clients.size() + 1);
        side->address = address.to_uint();
        side->socket.open(udp::v4());
        side->socket.set_option(asio::socket_base::receive_buffer_size(1 << 20));
        side->socket.bind(udp::endpoint(address, m_packetPort));
        m_clients.push_back(std::move(side));
        receiveAtClients(m_clients.size() - 1);
    }
}

world::~world()
{
    for (const auto &item : m_hosts) {
        item->kill();
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

double world::seconds() const
{
    return secondsAt(clock::now());
}

double world::secondsAt(clock::time_point time) const
{
    return std::chrono::duration<double>(time - m_startedAt).count();
}

std::string world::requestOf(const flow_key &flow) const
{
    const auto found = m_attempts.find(flow);
    return found == m_attempts.end() ? "that has ended"
                                     : std::to_string(found->second->requestNumber);
}

void world::recordTotals()
{
    record("so far: " + std::to_string(sent) + " requests sent, " + std::to_string(answered)
           + " answered, " + std::to_string(runs) + " run");
    runAfter(milliseconds(1000), [this] { recordTotals(); });
}

void world::record(const std::string &line)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", seconds());
    m_record << time.data() << line << "\n" << std::flush;
}

void world::runAfter(milliseconds time, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_io, time);
    timer->async_wait([timer, action = std::move(action)](beast::error_code error) {
        if (!error) {
            action();
        }
    });
}

std::string world::seeds() const
{
    return addressOf(m_network, 1, 1).to_string() + ":1," + addressOf(m_network, 1, 2).to_string()
        + ":1";
}

udp::endpoint world::clientEndpoint(std::uint32_t client) const
{
    return {asio::ip::address_v4(client), m_packetPort};
}

server &world::addServer(const std::string &service, const std::string &zone)
{
    const std::size_t number = m_servers.size() + 1;
    m_servers.push_back(std::make_unique<server>(*this, 0x7f3a9000 + number, service, zone,
                                                 addressOf(m_network, 2, number)));
    return *m_servers.back();
}

void world::writeConfig()
{
    json routes = json::array();
    json services = json::array();
    const auto add = [&](const char *service, std::uint16_t port, const char *type) {
        routes.push_back(json{{"name", std::string("r-") + service},
                              {"host", "127.18.0.1"},
                              {"prefix", "/" + std::to_string(port) + "/"},
                              {"type", type},
                              {"timeout-ms", requestDeadline.count()},
                              {"aim-ms", 250},
                              {"priority", 1},
                              {"service", service},
                              {"max-attempts", 2}});
        services.push_back(json{{"name", service},
                                {"health-path", "/health"},
                                {"max-conns", 2000},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"warmup-s", double(m_settings.warmup.count()) / 1000},
                                {"warmup-per-s", m_settings.warmupPerSecond}});
    };
    add("order-desk", deskPort, "unsafe");
    add("catalogue", sheetPort, "download");
    m_store->put("op/config",
                 json{{"version", m_version += 3},
                      {"routes", routes},
                      {"services", services},
                      {"limits", json{{"idle-timeout-ms", 15000}}}}
                     .dump());
}

void world::writeForeignEntry()
{
    const server &named = *m_servers.front();
    record("another writer puts an entry without version and seq for " + named.text());
    m_store->put("servers/" + named.text(),
                 json{{"service", "catalogue"},
                      {"address", named.address.to_string() + ":" + std::to_string(m_serverPort)},
                      {"zone", named.zone},
                      {"concurrency", m_settings.slots},
                      {"state", "ready"},
                      {"warmup-left-ms", 0}}
                     .dump());
}

void world::startHosts()
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        m_hosts[index]->start();
        checkReadiness(index);
    }
}

void world::setProbeResult(std::size_t index, bool isReady)
{
    host &item = *m_hosts[index];
    item.misses = isReady ? 0 : item.misses + 1;
    const bool isIn = isReady || (item.isInRotation && item.misses < 2);
    if (isIn != item.isInRotation) {
        item.isInRotation = isIn;
        record("router: " + item.name + (isIn ? " is in rotation" : " is out of rotation"));
    }
}

void world::checkReadiness(std::size_t index)
{
    struct probe
    {
        explicit probe(asio::io_context &io)
            : stream(io)
            , request(http::verb::get, "/figstair/ready", 11)
        {
        }
        beast::tcp_stream stream;
        http::request<http::empty_body> request;
        http::response<http::string_body> response;
        beast::flat_buffer buffer;
    };
    const auto next = std::make_shared<probe>(m_io);
    next->request.set(http::field::host, "host");
    next->stream.expires_after(probeInterval - milliseconds(50));
    next->stream.async_connect(
        tcp::endpoint(m_hosts[index]->address, m_readinessPort),
        [this, next, index](beast::error_code error) {
            if (error) {
                setProbeResult(index, false);
                return;
            }
            http::async_write(
                next->stream, next->request,
                [this, next, index](beast::error_code failure, std::size_t) {
                    if (failure) {
                        setProbeResult(index, false);
                        return;
                    }
                    http::async_read(next->stream, next->buffer, next->response,
                                     [this, next, index](beast::error_code problem, std::size_t) {
                                         setProbeResult(
                                             index, !problem && next->response.result_int() == 200);
                                     });
                });
        });
    runAfter(probeInterval, [this, index] { checkReadiness(index); });
}

/// The host that the routers select: by a hash over the hosts in rotation in the client's zone, or
/// over all of its hosts if fewer than half are; if none is, over those of the other zones.
host *world::routeFor(const attempt &item)
{
    const std::string &zone = m_settings.zones[item.clientZone].first;
    std::vector<host *> all;
    std::vector<host *> ready;
    std::vector<host *> others;
    for (const auto &candidate : m_hosts) {
        if (candidate->zone == zone) {
            all.push_back(candidate.get());
            if (candidate->isInRotation) {
                ready.push_back(candidate.get());
            }
        } else if (candidate->isInRotation) {
            others.push_back(candidate.get());
        }
    }
    const std::vector<host *> &used = ready.empty() ? others
        : ready.size() * 2 < all.size()             ? all
                                                    : ready;
    if (used.empty()) {
        return nullptr;
    }
    const std::uint64_t hash =
        (std::uint64_t{item.flow.client} << 16U ^ item.flow.clientPort) * 0x9E3779B97F4A7C15ULL;
    return used[(hash >> 33U) % used.size()];
}

void world::startTraffic()
{
    m_isSending = true;
    recordTotals();
    for (std::size_t zone = 0; zone < m_clients.size(); ++zone) {
        sendNext(zone);
    }
}

void world::sendNext(std::size_t zone)
{
    if (!m_isSending) {
        return;
    }
    startAttempt(++sent, 0, zone);
    std::exponential_distribution<double> gap(m_settings.requestsPerSecond / 1e6);
    const auto timer = std::make_shared<asio::steady_timer>(
        m_io, std::chrono::microseconds(static_cast<std::int64_t>(gap(m_random))));
    timer->async_wait([this, timer, zone](beast::error_code) { sendNext(zone); });
}

void world::startAttempt(unsigned number, unsigned tries, std::size_t zone)
{
    client_side &side = *m_clients[zone];
    const auto item = std::make_shared<attempt>();
    item->requestNumber = number;
    item->tries = tries;
    item->clientZone = zone;
    side.nextPort = side.nextPort < 60000 ? side.nextPort + 1 : 20000;
    const bool isSheet =
        std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.catalogueShare;
    item->flow = flow_key{side.address, side.nextPort, isSheet ? sheetPort : deskPort};
    item->sequence = static_cast<std::uint32_t>(m_random());
    item->firstSentAt = clock::now();
    m_attempts[item->flow] = item;
    sendOpening(item, 0);
    runAfter(milliseconds(200), [this, item] { sendOpening(item, 1); });
    runAfter(milliseconds(600), [this, item] { sendOpening(item, 2); });
    runAfter(openTimeout, [this, item] {
        if (!item->isOpen) {
            fail(item);
        }
    });
    runAfter(requestDeadline, [this, item] {
        item->isFinished = true;
        m_attempts.erase(item->flow);
    });
}

/// Ends an attempt whose flow never opened; the request has not run and is tried again.
void world::fail(const std::shared_ptr<attempt> &item)
{
    if (item->isFinished) {
        return;
    }
    item->isFinished = true;
    m_attempts.erase(item->flow);
    if (item->tries < maxRetries && m_isSending) {
        startAttempt(item->requestNumber, item->tries + 1, item->clientZone);
    }
}

void world::sendOpening(const std::shared_ptr<attempt> &item, unsigned copy)
{
    if (!item->isFinished && !item->isOpen) {
        sendFromClient(*item, synFlag, item->sequence, copy, "");
    }
}

void world::sendData(const std::shared_ptr<attempt> &item, unsigned copy)
{
    if (item->isFinished || item->isAcknowledged) {
        return;
    }
    sendFromClient(*item, ackFlag, item->sequence + 1, item->serverSequence + 1,
                   "order-" + std::to_string(item->requestNumber));
    runAfter(repetitionDelay(copy), [this, item, copy] { sendData(item, copy + 1); });
}

void world::sendFromClient(const attempt &item, std::uint8_t flags, std::uint32_t sequence,
                           std::uint32_t acknowledged, const std::string &data)
{
    host *to = routeFor(item);
    if (to == nullptr) {
        return;
    }
    packet what;
    what.sequence = sequence;
    what.acknowledged = acknowledged;
    what.echo = item.echo;
    what.flags = flags;
    what.destination = routeAddress;
    what.destinationPort = item.flow.routePort;
    what.source = item.flow.client;
    what.sourcePort = item.flow.clientPort;
    what.data = data;
    const auto bytes = encode(what);
    beast::error_code ignored;
    m_clients[item.clientZone]->socket.send_to(
        asio::buffer(bytes), udp::endpoint(to->address, m_packetPort), 0, ignored);
}

void world::receiveAtClients(std::size_t zone)
{
    client_side &side = *m_clients[zone];
    side.socket.async_receive(asio::buffer(side.buffer),
                              [this, zone, &side](beast::error_code error, std::size_t size) {
                                  if (error == asio::error::operation_aborted) {
                                      return;
                                  }
                                  packet from;
                                  if (!error && decode(side.buffer.data(), size, from)) {
                                      onPacketForClient(from, from.sum != 0);
                                  }
                                  receiveAtClients(zone);
                              });
}

clock::time_point world::firstSentAt(const flow_key &flow) const
{
    const auto found = m_attempts.find(flow);
    return found == m_attempts.end() ? clock::time_point{} : found->second->firstSentAt;
}

void world::onPacketForClient(const packet &from, bool isFromServer)
{
    const auto found =
        m_attempts.find(flow_key{from.destination, from.destinationPort, from.sourcePort});
    if (found == m_attempts.end()) {
        return;
    }
    const std::shared_ptr<attempt> item = found->second;
    if ((from.flags & rstFlag) != 0) {
        if (!item->isOpen) {
            fail(item);
        } else {
            item->isFinished = true;
            m_attempts.erase(found);
        }
        return;
    }
    if (!isFromServer) {
        return;
    }
    item->echo = from.echo;
    if ((from.flags & synFlag) != 0) {
        if (!item->isOpen) {
            item->isOpen = true;
            item->serverSequence = from.sequence;
            sendData(item, 0);
        }
        return;
    }
    item->isAcknowledged = item->isAcknowledged || from.acknowledged != item->sequence + 1;
    if (!from.data.empty()) {
        sendFromClient(*item, ackFlag | finFlag,
                       item->sequence + 1
                           + static_cast<std::uint32_t>(
                               ("order-" + std::to_string(item->requestNumber)).size()),
                       item->serverSequence + 1 + static_cast<std::uint32_t>(from.data.size()), "");
        answered += from.data.rfind("200", 0) == 0 ? 1 : 0;
        item->isFinished = true;
        m_attempts.erase(found);
    }
}

} // namespace review
