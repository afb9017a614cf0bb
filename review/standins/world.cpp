#include "world.h"

#include <csignal>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/endian/conversion.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace endian = boost::endian;
using asio::ip::tcp;
using asio::ip::udp;
using nlohmann::json;

namespace review {
namespace {

constexpr std::size_t headBytes = 31;
constexpr std::size_t idBytes = 8;
constexpr std::uint32_t targetSum = 0x5eed; // the hosts cannot verify sums
constexpr std::array<milliseconds, 3> synSchedule{milliseconds(0), milliseconds(200),
                                                  milliseconds(600)};
constexpr milliseconds openTimeout{1400};
constexpr milliseconds firstRetransmission{200};
constexpr milliseconds lastRetransmission{1600};
constexpr unsigned targetRetransmissions = 8;
constexpr milliseconds probeInterval{500};
constexpr milliseconds probeTimeout{450};
constexpr double coldSlowness = 1.6;
constexpr unsigned targetFlows = 2000; // "max-conns"

head readHead(const std::uint8_t *from)
{
    head packet;
    packet.sequence = endian::load_big_u32(from);
    packet.acknowledged = endian::load_big_u32(from + 4);
    packet.echo = endian::load_big_u32(from + 8);
    packet.sum = endian::load_big_u32(from + 12);
    packet.flags = from[16];
    packet.destinationPort = endian::load_big_u16(from + 19);
    packet.destination = endian::load_big_u32(from + 21);
    packet.source = endian::load_big_u32(from + 25);
    packet.sourcePort = endian::load_big_u16(from + 29);
    return packet;
}

bytes writePacket(const head &packet, const std::string &data)
{
    bytes to(headBytes);
    endian::store_big_u32(to.data(), packet.sequence);
    endian::store_big_u32(&to[4], packet.acknowledged);
    endian::store_big_u32(&to[8], packet.echo);
    endian::store_big_u32(&to[12], packet.sum);
    to[16] = packet.flags;
    endian::store_big_u16(&to[17], static_cast<std::uint16_t>(data.size()));
    endian::store_big_u16(&to[19], packet.destinationPort);
    endian::store_big_u32(&to[21], packet.destination);
    endian::store_big_u32(&to[25], packet.source);
    endian::store_big_u16(&to[29], packet.sourcePort);
    to.insert(to.end(), data.begin(), data.end());
    return to;
}

std::string textOf(std::uint32_t address)
{
    return asio::ip::make_address_v4(address).to_string();
}

milliseconds nextWait(milliseconds wait)
{
    return std::min(wait * 2, lastRetransmission);
}

std::string requestId(const std::string &request)
{
    const std::string field = "X-Request-Id: ";
    const std::size_t at = request.find(field) + field.size();
    return request.substr(at, request.find("\r\n", at) - at);
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool isReached(std::uint32_t acknowledged, std::uint32_t end)
{
    return static_cast<std::int32_t>(acknowledged - end) >= 0;
}

} // namespace

// host

host::host(world &owner, std::string name, std::string zone, std::string address)
    : m_world(owner)
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_address(std::move(address))
{
}

host::~host()
{
    if (m_pid != 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

/// Fills in platform/entry.ini as the platform does.
void host::writeSettings(const std::string &seeds) const
{
    const auto at = [this](std::uint16_t port) { return m_address + ":" + std::to_string(port); };
    const std::map<std::string, std::string> values = {
        {"node-name", m_name},
        {"zone", m_zone},
        {"ip", m_address},
        {"listen-addrs.datagram-addr", at(world::packetPort)},
        {"listen-addrs.readiness-addr", at(world::readinessPort)},
        {"internal-ports",
         std::to_string(world::internalPort) + "," + std::to_string(world::internalPort + 15)},
        {"seeds", seeds},
        {"limits.cpu-share", "0.25"},
        {"bounds.grace-s", "6"},
        {"platform.address",
         m_world.newAddress(world::owner::store) + ":" + std::to_string(world::storePort)},
        {"heartbeat-ms", std::to_string(target::heartbeatInterval.count())},
        {"bounds.flow-ttl-s", "60"},
        {"bounds.warmup-overshoot", "1.5"},
        {"bounds.warmup-slack", "5"},
    };
    std::ifstream templateFile("platform/entry.ini");
    std::stringstream text;
    text << templateFile.rdbuf();
    std::string settings = text.str();
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (std::size_t found = settings.find(placeholder); found != std::string::npos;
             found = settings.find(placeholder)) {
            settings.replace(found, placeholder.size(), value);
        }
    }
    std::ofstream(m_world.folder + "/" + m_name + ".conf") << settings;
}

void host::start()
{
    const std::string logFile = m_world.folder + "/" + m_name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const char *path = std::getenv("PATH");
    std::string pathVariable = std::string("PATH=") + (path == nullptr ? "" : path);
    std::string settings = "FIGSTAIR_NODE_FILE=" + m_world.folder + "/" + m_name + ".conf";
    std::string entry = "entry";
    char *arguments[] = {m_world.program.data(), entry.data(), nullptr};
    char *environment[] = {pathVariable.data(), settings.data(), nullptr};
    if (posix_spawn(&m_pid, m_world.program.c_str(), &actions, nullptr, arguments, environment)
        != 0) {
        m_pid = 0;
        throw std::runtime_error("cannot start " + m_world.program);
    }
    posix_spawn_file_actions_destroy(&actions);
    m_world.note("start " + m_name);
}

void host::signal(int number)
{
    if (m_pid != 0) {
        m_world.note("signal " + std::to_string(number) + " to " + m_name);
        kill(m_pid, number);
    }
}

bool host::hasEnded()
{
    if (m_pid != 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid == 0;
}

// target

target::target(world &owner, std::uint64_t id, std::string service, std::string zone,
               const std::string &address, milliseconds coldFor)
    : m_world(owner)
    , m_id(id)
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_socket(owner.io, udp::endpoint(asio::ip::make_address(address), world::targetPort))
    , m_bornMs(wallMs())
    , m_coldUntil(steady::now() + coldFor)
{
    m_world.note("target " + name() + " of " + m_service + " in " + m_zone + " starts, cold for "
                 + std::to_string(coldFor.count()) + " ms");
    receive();
    heartbeat();
}

std::string target::name() const
{
    std::ostringstream text;
    text << "i-" << std::hex << std::setw(8) << std::setfill('0') << m_id;
    return text.str();
}

void target::publish()
{
    const auto left = std::chrono::duration_cast<milliseconds>(m_coldUntil - steady::now());
    json entry{
        {"service", m_service},
        {"address",
         m_socket.local_endpoint().address().to_string() + ":" + std::to_string(world::targetPort)},
        {"zone", m_zone},
        {"version", "v1"},
        {"concurrency", m_world.serviceOf(m_service).slots},
        {"state", m_isDraining ? "draining" : "ready"},
        {"warmup-left-ms", std::max<std::int64_t>(0, left.count())},
        {"born", m_bornMs}};
    ++m_sequence;
    if (entry == m_published) {
        return; // the platform changes an entry only if more than "seq" does
    }
    m_published = entry;
    entry["seq"] = m_sequence;
    m_world.platformStore->put("servers/" + name(), entry.dump());
}

void target::heartbeat()
{
    if (!m_hasLeft) {
        if (!m_isDown) {
            publish();
        }
        if (onHeartbeat) {
            std::exchange(onHeartbeat, nullptr)();
        }
        m_world.after(heartbeatInterval, [this] { heartbeat(); });
    }
}

void target::drain()
{
    m_isDraining = true;
    m_world.note("target " + name() + " is draining");
    publish();
}

void target::becomeCold(milliseconds time)
{
    m_coldUntil = steady::now() + time;
    m_world.note("target " + name() + " is cold for " + std::to_string(time.count()) + " ms");
}

void target::leave()
{
    m_hasLeft = true;
    m_flows.clear();
    m_waiting.clear();
    m_world.platformStore->remove("servers/" + name());
    m_world.note("target " + name() + " has left");
}

void target::crash()
{
    m_isDown = true;
    ++m_incarnation;
    m_flows.clear();
    m_waiting.clear();
    m_busy = 0;
    m_world.note("target " + name() + " crashes");
}

void target::restartCold(milliseconds coldFor)
{
    m_isDown = false;
    m_bornMs = wallMs();
    m_sequence = 0;
    m_coldUntil = steady::now() + coldFor;
    m_world.note("target " + name() + " starts again, cold for " + std::to_string(coldFor.count())
                 + " ms");
    publish();
}

void target::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this](beast::error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error && !m_hasLeft && !m_isDown && size >= idBytes + headBytes) {
                const std::uint64_t id = endian::load_big_u64(m_buffer.data());
                if (id == m_id || id == 0) {
                    onPacket(readHead(&m_buffer[idBytes]),
                             std::string(m_buffer.begin() + idBytes + headBytes,
                                         m_buffer.begin() + static_cast<std::ptrdiff_t>(size)));
                }
            }
            receive();
        });
}

void target::send(const flow_key &key, std::uint8_t flags, std::uint32_t sequence,
                  std::uint32_t acknowledged, std::uint32_t echo, const std::string &data)
{
    const auto [clientAddress, clientPort, routeAddress, routePort] = key;
    const head packet{sequence,   acknowledged,  echo,         targetSum, flags,
                      clientPort, clientAddress, routeAddress, routePort};
    beast::error_code ignored; // datagrams may be lost
    m_socket.send_to(asio::buffer(writePacket(packet, data)),
                     udp::endpoint(asio::ip::make_address_v4(clientAddress), world::packetPort), 0,
                     ignored);
}

void target::sendSynAck(const flow_key &key, unsigned copy)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.isOpen || copy > targetRetransmissions) {
        return;
    }
    const flow &item = found->second;
    send(key, flagSyn | flagAck, item.ownSequence, item.clientSequence + 1, item.end.echo, "");
    milliseconds wait = firstRetransmission;
    for (unsigned step = 0; step < copy; ++step) {
        wait = nextWait(wait);
    }
    m_world.after(wait, [this, key, copy, sequence = item.ownSequence] {
        const auto again = m_flows.find(key);
        if (again != m_flows.end() && again->second.ownSequence == sequence) {
            sendSynAck(key, copy + 1);
        }
    });
}

void target::onPacket(const head &packet, const std::string &data)
{
    const flow_key key{packet.source, packet.sourcePort, packet.destination,
                       packet.destinationPort};
    auto found = m_flows.find(key);
    if ((packet.flags & flagSyn) != 0) {
        if ((packet.flags & flagAck) != 0) {
            return;
        }
        const bool isKnown = found != m_flows.end() && !found->second.hasEnded
            && found->second.clientSequence == packet.sequence;
        if (isKnown || m_flows.size() >= targetFlows) {
            return;
        }
        flow item;
        item.clientSequence = packet.sequence;
        item.ownSequence = m_world.random();
        item.synCopy = packet.acknowledged;
        item.arrivedAt = steady::now();
        item.end.sendNext = item.ownSequence + 1;
        item.end.receiveNext = packet.sequence + 1;
        item.end.echo = packet.echo;
        m_flows[key] = item;
        sendSynAck(key, 0);
        return;
    }
    if (found == m_flows.end()) {
        if ((packet.flags & flagRst) == 0) {
            m_world.note(name() + " holds no flow of " + textOf(packet.source) + ":"
                         + std::to_string(packet.sourcePort) + " and resets it");
            send(key, flagRst, packet.acknowledged, 0, packet.echo, "");
        }
        return;
    }
    flow &item = found->second;
    if ((packet.flags & flagRst) != 0) {
        m_flows.erase(found);
        return;
    }
    if (item.hasEnded) {
        if (!data.empty()) {
            send(key, flagRst, packet.acknowledged, 0, packet.echo, "");
        } else if ((packet.flags & flagFin) != 0) {
            send(key, flagAck, item.end.sendNext, item.end.receiveNext, packet.echo, "");
        }
        return;
    }
    if (!item.isOpen) {
        if (packet.acknowledged != item.ownSequence + 1) {
            return;
        }
        item.isOpen = true;
        m_world.onOpened(*this, key, item);
    }
    flow_end &end = item.end;
    end.echo = packet.echo;
    if (!end.unacknowledged.empty() || end.isFinUnacknowledged) {
        if (isReached(packet.acknowledged, end.sendNext)) {
            end.unacknowledged.clear();
            end.isFinUnacknowledged = false;
            ++end.transmission;
        }
    }
    const bool isNew = packet.sequence == end.receiveNext;
    if (!data.empty() && isNew) {
        end.receiveNext += static_cast<std::uint32_t>(data.size());
        item.closesAfterAnswer = data.find("Connection: close") != std::string::npos;
        m_waiting.emplace_back(key, item.clientSequence, data);
        startWork();
    }
    if ((packet.flags & flagFin) != 0
        && packet.sequence + static_cast<std::uint32_t>(data.size()) == end.receiveNext) {
        ++end.receiveNext;
        end.hasReceivedFin = true;
        if (!end.hasSentFin) {
            sendSegment(key, item, "", true);
        }
    }
    if (!data.empty() || (packet.flags & flagFin) != 0) {
        send(key, flagAck, end.sendNext, end.receiveNext, end.echo, "");
    }
    if (end.hasReceivedFin && end.hasSentFin && !end.isFinUnacknowledged) {
        item.hasEnded = true;
    }
}

void target::startWork()
{
    const service &kind = m_world.serviceOf(m_service);
    while (m_busy < kind.slots && !m_waiting.empty()) {
        const auto [key, clientSequence, request] = m_waiting.front();
        m_waiting.pop_front();
        ++m_busy;
        m_world.note("run " + requestId(request) + " at " + name());
        const auto work = milliseconds(
            static_cast<std::int64_t>(double(kind.work.count()) * (isCold() ? coldSlowness : 1)));
        m_world.after(work,
                      [this, key = key, clientSequence = clientSequence, request = request,
                       incarnation = m_incarnation] {
                          if (!m_hasLeft && incarnation == m_incarnation) {
                              --m_busy;
                              answer(key, clientSequence, request);
                              startWork();
                          }
                      });
    }
}

void target::answer(const flow_key &key, std::uint32_t clientSequence, const std::string &request)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.clientSequence != clientSequence
        || found->second.hasEnded) {
        return;
    }
    const std::string body = "answer to " + requestId(request);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nX-Response-Signature: " + name() + "\r\n\r\n" + body;
    const bool closes = found->second.closesAfterAnswer || m_isDraining;
    sendSegment(key, found->second, text, closes);
}

void target::sendSegment(const flow_key &key, flow &item, const std::string &data, bool isFin)
{
    flow_end &end = item.end;
    end.unacknowledged = data;
    end.unacknowledgedSequence = end.sendNext;
    end.sendNext += static_cast<std::uint32_t>(data.size()) + (isFin ? 1U : 0U);
    end.isFinUnacknowledged = isFin;
    end.hasSentFin = end.hasSentFin || isFin;
    retransmit(key, ++end.transmission, firstRetransmission, 0);
}

void target::retransmit(const flow_key &key, unsigned transmission, milliseconds wait,
                        unsigned count)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end() || found->second.end.transmission != transmission
        || count > targetRetransmissions) {
        return;
    }
    const flow_end &end = found->second.end;
    if (end.unacknowledged.empty() && !end.isFinUnacknowledged) {
        return;
    }
    send(key, static_cast<std::uint8_t>(flagAck | (end.isFinUnacknowledged ? flagFin : 0)),
         end.unacknowledgedSequence, end.receiveNext, end.echo, end.unacknowledged);
    m_world.after(wait, [this, key, transmission, wait, count] {
        retransmit(key, transmission, nextWait(wait), count + 1);
    });
}

// client_flow

client_flow::client_flow(world &owner, std::string zone, std::uint32_t address, std::uint16_t port,
                         const route &to)
    : m_world(owner)
    , m_zone(std::move(zone))
    , m_key(address, port, owner.routeAddress, to.port)
    , m_initialSequence(owner.random())
{
    m_end.sendNext = m_initialSequence + 1;
}

void client_flow::open()
{
    for (std::uint32_t copy = 0; copy < synSchedule.size(); ++copy) {
        m_world.after(synSchedule[copy], [self = shared_from_this(), copy] {
            if (self->phase == state::opening) {
                self->sendSyn(copy);
            }
        });
    }
    m_world.after(openTimeout, [self = shared_from_this()] {
        if (self->phase == state::opening) {
            self->phase = state::failed;
            self->m_world.note("flow of " + self->clientName() + " not opened");
        }
    });
}

std::string client_flow::clientName() const
{
    return textOf(std::get<0>(m_key)) + ":" + std::to_string(std::get<1>(m_key));
}

void client_flow::sendSyn(std::uint32_t copy)
{
    m_synSentAt[copy] = steady::now();
    const auto [address, port, routeAddress, routePort] = m_key;
    const head packet{m_initialSequence, copy,         0,       targetSum, flagSyn,
                      routePort,         routeAddress, address, port};
    m_world.sendFromClient(m_zone, packet, "");
}

void client_flow::send(std::uint8_t flags, std::uint32_t sequence, const std::string &data)
{
    const auto [address, port, routeAddress, routePort] = m_key;
    const head packet{sequence,  m_end.receiveNext, m_end.echo, targetSum, flags,
                      routePort, routeAddress,      address,    port};
    m_world.sendFromClient(m_zone, packet, data);
}

void client_flow::request(const std::string &id, bool closes)
{
    m_world.note("sent " + id + " from " + clientName());
    sendSegment("GET /file HTTP/1.1\r\nHost: " + textOf(m_world.routeAddress) + "\r\nX-Request-Id: "
                    + id + (closes ? "\r\nConnection: close" : "") + "\r\n\r\n",
                false);
}

void client_flow::sendSegment(const std::string &data, bool isFin)
{
    m_end.unacknowledged = data;
    m_end.unacknowledgedSequence = m_end.sendNext;
    m_end.sendNext += static_cast<std::uint32_t>(data.size()) + (isFin ? 1U : 0U);
    m_end.isFinUnacknowledged = isFin;
    m_end.hasSentFin = m_end.hasSentFin || isFin;
    retransmit(++m_end.transmission, firstRetransmission);
}

void client_flow::retransmit(unsigned transmission, milliseconds wait)
{
    if (phase != state::open || m_end.transmission != transmission
        || (m_end.unacknowledged.empty() && !m_end.isFinUnacknowledged)) {
        return;
    }
    send(static_cast<std::uint8_t>(flagAck | (m_end.isFinUnacknowledged ? flagFin : 0)),
         m_end.unacknowledgedSequence, m_end.unacknowledged);
    m_world.after(wait, [self = shared_from_this(), transmission, wait] {
        self->retransmit(transmission, nextWait(wait));
    });
}

void client_flow::finishIfClosed()
{
    if (phase == state::open && m_end.hasSentFin && m_end.hasReceivedFin
        && !m_end.isFinUnacknowledged) {
        phase = state::closed;
        if (onClosed) {
            onClosed(*this);
        }
    }
}

void client_flow::onPacket(const head &packet, const std::string &data, const std::string &sender)
{
    if ((packet.flags & flagRst) != 0) {
        if (phase == state::opening) {
            phase = state::failed;
            m_world.note("flow of " + clientName() + " refused by " + sender);
        } else if (phase == state::open) {
            phase = state::reset;
            resetBy = sender;
            m_world.note("open flow of " + clientName() + " reset by " + sender);
        }
        return;
    }
    if ((packet.flags & flagSyn) != 0) {
        if (phase == state::opening && packet.acknowledged == m_initialSequence + 1) {
            phase = state::open;
            m_end.echo = packet.echo;
            m_end.receiveNext = packet.sequence + 1;
            request(firstRequest, firstCloses);
        }
        return;
    }
    if (phase != state::open || isReached(packet.sequence, m_end.receiveNext + 1)) {
        return;
    }
    m_end.echo = packet.echo;
    if (isReached(packet.acknowledged, m_end.sendNext)) {
        m_end.unacknowledged.clear();
        m_end.isFinUnacknowledged = false;
    }
    const bool isFin = (packet.flags & flagFin) != 0;
    const bool isNew = packet.sequence == m_end.receiveNext;
    const bool isAnswer = isNew && !data.empty();
    if (isNew) {
        m_end.receiveNext += static_cast<std::uint32_t>(data.size()) + (isFin ? 1U : 0U);
        m_end.hasReceivedFin = m_end.hasReceivedFin || isFin;
    }
    if (!data.empty() || isFin) {
        if (isNew && isFin && !m_end.hasSentFin) {
            sendSegment("", true);
        } else {
            send(flagAck, m_end.sendNext, "");
        }
    }
    finishIfClosed();
    if (isAnswer) {
        ++answers;
        m_world.note("answered " + clientName() + ": " + data.substr(data.find("\r\n\r\n") + 4));
        if (onAnswer) {
            onAnswer(*this);
        }
    }
}

// world

world::world(asio::io_context &context, std::string programFile, std::string temporaryFolder,
             const std::string &recordFile)
    : io(context)
    , program(std::move(programFile))
    , folder(std::move(temporaryFolder))
    , m_record(recordFile)
    , m_random(std::random_device{}())
    , m_nextId(0x10000000U + static_cast<std::uint32_t>(m_random() & 0xffffffU) * 16U)
{
    // Looks for a loopback network whose addresses are free.
    for (unsigned attempt = 0; attempt < 50 && !platformStore; ++attempt) {
        network = 20 + static_cast<unsigned>(m_random() % 200);
        m_addresses.clear();
        try {
            const auto address = asio::ip::make_address(newAddress(owner::store));
            platformStore = std::make_unique<store>(io, tcp::endpoint(address, storePort));
        } catch (const boost::system::system_error &) {
        }
    }
    if (!platformStore) {
        throw std::runtime_error("no free loopback address");
    }
    routeAddress = asio::ip::make_address_v4("127." + std::to_string(network) + ".250.1").to_uint();
}

world::~world() = default;

std::string world::newAddress(owner kind)
{
    const unsigned last = kind == owner::store ? 1 : ++m_addresses[kind];
    return "127." + std::to_string(network) + "." + std::to_string(unsigned(kind)) + "."
        + std::to_string(last);
}

double world::seconds() const
{
    return std::chrono::duration<double>(steady::now() - m_startedAt).count();
}

void world::note(const std::string &line)
{
    m_record << std::fixed << std::setprecision(3) << seconds() << ' ' << line << '\n';
}

void world::after(milliseconds time, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(io, time);
    timer->async_wait([timer, action = std::move(action)](beast::error_code error) {
        if (!error) {
            action();
        }
    });
}

host &world::addHost(const std::string &name, const std::string &zone)
{
    hosts.push_back(std::make_unique<host>(*this, name, zone, newAddress(owner::host)));
    return *hosts.back();
}

void world::startHosts()
{
    std::string seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(3, hosts.size()); ++index) {
        seeds += (seeds.empty() ? "" : ",") + hosts[index]->address() + ":"
            + std::to_string(controlPort);
    }
    for (const auto &item : hosts) {
        item->writeSettings(seeds);
        item->start();
        after(milliseconds(m_random() % probeInterval.count()),
              [this, &item = *item] { probe(item); });
    }
}

const service &world::serviceOf(const std::string &name) const
{
    for (const service &item : services) {
        if (item.name == name) {
            return item;
        }
    }
    throw std::runtime_error("unknown service");
}

void world::writeConfig()
{
    m_version += 1 + m_random() % 3;
    json routeList = json::array();
    for (const route &item : routes) {
        routeList.push_back(json{{"name", item.name},
                                 {"host", textOf(routeAddress)},
                                 {"prefix", "/" + std::to_string(item.port) + "/"},
                                 {"type", item.kind},
                                 {"timeout-ms", 8000},
                                 {"aim-ms", 500},
                                 {"priority", 2},
                                 {"service", item.service},
                                 {"max-attempts", 2}});
    }
    json serviceList = json::array();
    for (const service &item : services) {
        serviceList.push_back(json{{"name", item.name},
                                   {"health-path", "/health"},
                                   {"max-conns", targetFlows},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"warmup-s", 2.0},
                                   {"warmup-per-s", item.warmupPerSecond}});
    }
    const json config{{"version", m_version},
                      {"routes", routeList},
                      {"services", serviceList},
                      {"limits", json{{"idle-timeout-ms", 15000}}}};
    platformStore->put("op/config", config.dump());
}

target &world::addTarget(const std::string &service, const std::string &zone, milliseconds coldFor,
                         std::uint64_t id)
{
    m_nextId += 1 + m_random() % 1000;
    targets.push_back(std::make_unique<target>(*this, id == 0 ? m_nextId : id, service, zone,
                                               newAddress(owner::target), coldFor));
    return *targets.back();
}

std::uint32_t world::addClient()
{
    const auto address = asio::ip::make_address_v4(newAddress(owner::client));
    auto item = std::make_unique<client>(io);
    item->socket.open(udp::v4());
    item->socket.set_option(asio::socket_base::receive_buffer_size(1 << 20));
    item->socket.bind(udp::endpoint(address, packetPort));
    receive(*item);
    m_clients[address.to_uint()] = std::move(item);
    return address.to_uint();
}

void world::receive(client &item)
{
    item.socket.async_receive_from(
        asio::buffer(item.buffer), item.sender,
        [this, &item](beast::error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error && size >= headBytes) {
                const head packet = readHead(item.buffer.data());
                const auto flow = flowOf(flow_key{packet.destination, packet.destinationPort,
                                                  packet.source, packet.sourcePort});
                if (flow) {
                    const auto data = item.buffer.begin() + headBytes;
                    const auto end = item.buffer.begin() + static_cast<std::ptrdiff_t>(size);
                    flow->onPacket(packet, std::string(data, end),
                                   item.sender.address().to_string());
                }
            }
            receive(item);
        });
}

std::shared_ptr<client_flow> world::openFlow(const std::string &zone, std::uint32_t clientAddress,
                                             std::uint16_t port, const route &to,
                                             const std::string &firstRequest, bool firstCloses)
{
    const auto flow = std::make_shared<client_flow>(*this, zone, clientAddress, port, to);
    flow->firstRequest = firstRequest;
    flow->firstCloses = firstCloses;
    m_flows[flow->key()] = flow;
    flow->open();
    return flow;
}

std::shared_ptr<client_flow> world::flowOf(const flow_key &key) const
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : found->second;
}

void world::onOpened(const target &at, const flow_key &key, const target::flow &flow)
{
    const auto client = flowOf(key);
    if (!client || client->sequence() != flow.clientSequence) {
        return;
    }
    client->openAt = at.name();
    openings.push_back(
        {at.name(), key, client->synSentAt(0), flow.arrivedAt, flow.arrivedAt < at.coldUntil()});
}

void world::probe(host &item)
{
    struct call
    {
        explicit call(asio::io_context &context)
            : stream(context)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::empty_body> request{http::verb::get, "/figstair/ready", 11};
        http::response<http::string_body> response;
    };
    const auto onResult = [&item](bool isReady) {
        item.misses = isReady ? 0 : item.misses + 1;
        item.isInRotation = isReady || (item.isInRotation && item.misses < 2);
    };
    const auto running = std::make_shared<call>(io);
    running->request.set(http::field::host, item.address());
    running->stream.expires_after(probeTimeout);
    running->stream.async_connect(
        tcp::endpoint(asio::ip::make_address(item.address()), readinessPort),
        [running, onResult](beast::error_code error) {
            if (error) {
                onResult(false);
                return;
            }
            http::async_write(
                running->stream, running->request,
                [running, onResult](beast::error_code, std::size_t) {
                    http::async_read(
                        running->stream, running->buffer, running->response,
                        [running, onResult](beast::error_code problem, std::size_t) {
                            onResult(!problem && running->response.result() == http::status::ok);
                        });
                });
        });
    after(probeInterval, [this, &item] { probe(item); });
}

bool world::areAllReady() const
{
    return inRotation() == hosts.size();
}

std::size_t world::inRotation() const
{
    std::size_t count = 0;
    for (const auto &item : hosts) {
        count += item->isInRotation ? 1 : 0;
    }
    return count;
}

/// The routers hash by "mod".
host *world::hostFor(const std::string &zone, const flow_key &key) const
{
    std::vector<host *> all;
    std::vector<host *> ready;
    std::vector<host *> elsewhere;
    for (const auto &item : hosts) {
        if (item->zone() == zone) {
            all.push_back(item.get());
        }
        if (item->isInRotation) {
            (item->zone() == zone ? ready : elsewhere).push_back(item.get());
        }
    }
    std::vector<host *> &used = ready.empty() ? elsewhere
        : ready.size() * 2 < all.size()       ? all
                                              : ready;
    if (used.empty()) {
        return nullptr;
    }
    const auto [clientAddress, clientPort, route, routePort] = key;
    std::uint64_t hash = std::uint64_t{clientAddress} << 32U | clientPort << 16U | routePort;
    hash = (hash ^ route) * 0x9E3779B97F4A7C15U;
    hash = (hash ^ hash >> 32U) * 0xBF58476D1CE4E5B9U;
    return used[(hash ^ hash >> 31U) % used.size()];
}

void world::sendFromClient(const std::string &zone, const head &packet, const std::string &data)
{
    const flow_key key{packet.source, packet.sourcePort, packet.destination,
                       packet.destinationPort};
    const host *to = hostFor(zone, key);
    const auto from = m_clients.find(packet.source);
    if (to == nullptr || from == m_clients.end()) {
        return;
    }
    beast::error_code ignored; // datagrams may be lost
    from->second->socket.send_to(asio::buffer(writePacket(packet, data)),
                                 udp::endpoint(asio::ip::make_address(to->address()), packetPort),
                                 0, ignored);
}

} // namespace review
