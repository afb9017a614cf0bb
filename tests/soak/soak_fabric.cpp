#include "soak_fabric.h"

#include <algorithm>
#include <deque>
#include <sstream>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/endian/conversion.hpp>

#include "soak_timer.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace endian = boost::endian;
using asio::ip::tcp;
using asio::ip::udp;
using nlohmann::json;

namespace soak {
namespace {

constexpr std::size_t headBytes = 31;
constexpr std::size_t idBytes = 8;
constexpr std::uint8_t flagOpens = 32;
constexpr std::uint8_t flagAcknowledges = 64;
constexpr std::uint8_t flagEnds = 8;
constexpr std::uint8_t flagAborts = 4;

constexpr std::uint32_t routeAddress = 0xC6120001;
constexpr std::uint32_t idleAddress = 0xC6130000; // of the first route without traffic
constexpr std::uint16_t deskPort = 443;
constexpr std::uint16_t sheetPort = 444;
constexpr std::uint16_t extraPort = 445;
constexpr std::uint16_t upstreamPort = 8000;

constexpr milliseconds networkDelay{1};
constexpr milliseconds openTimeout{1400};
constexpr milliseconds requestDeadline{4000};
constexpr unsigned maxRetries = 2;
constexpr unsigned upstreamsPerZone = 4; // the last one serves sheets
constexpr unsigned slotsPerUpstream = 4;
constexpr unsigned maxQueuedRequests = 16;
constexpr milliseconds meanServiceTime{20};
constexpr milliseconds warmupTime{2000};
constexpr unsigned maxColdFlowsPerSecond = 5; // per cold upstream, over all hosts

// The bounds of the platform documentation, plus one second for simulated network delay and load on
// the machine.
constexpr milliseconds maxDrainDelay{4000};
constexpr milliseconds maxConfigDelay{4000};
constexpr milliseconds maxEvacuationDelay{6000};
// The recover-s of the platform documentation: time for hosts to regain contact after a fault.
constexpr milliseconds recoveryTime{6000};

packet_head readHead(const std::uint8_t *bytes)
{
    packet_head head;
    head.sequence = endian::load_big_u32(bytes);
    head.acknowledged = endian::load_big_u32(bytes + 4);
    head.echo = endian::load_big_u32(bytes + 8);
    head.flags = bytes[16];
    head.destinationPort = endian::load_big_u16(bytes + 19);
    head.destination = endian::load_big_u32(bytes + 21);
    head.source = endian::load_big_u32(bytes + 25);
    head.sourcePort = endian::load_big_u16(bytes + 29);
    return head;
}

std::vector<std::uint8_t> writePacket(const packet_head &head, const std::string &data)
{
    std::vector<std::uint8_t> bytes(headBytes);
    endian::store_big_u32(bytes.data(), head.sequence);
    endian::store_big_u32(&bytes[4], head.acknowledged);
    endian::store_big_u32(&bytes[8], head.echo);
    endian::store_big_u32(&bytes[12], 0x5eed); // checksum, which hosts cannot verify
    bytes[16] = head.flags;
    endian::store_big_u16(&bytes[17], static_cast<std::uint16_t>(data.size()));
    endian::store_big_u16(&bytes[19], head.destinationPort);
    endian::store_big_u32(&bytes[21], head.destination);
    endian::store_big_u32(&bytes[25], head.source);
    endian::store_big_u16(&bytes[29], head.sourcePort);
    bytes.insert(bytes.end(), data.begin(), data.end());
    return bytes;
}

std::string idText(std::uint64_t id)
{
    std::ostringstream text;
    text << "i-" << std::hex << id;
    return text.str();
}

} // namespace

struct soak_fabric::upstream
{
    struct job
    {
        std::uint16_t callerPort = 0;
        std::string text;
    };

    upstream(asio::io_context &io, const udp::endpoint &where)
        : socket(io, where)
    {
    }

    std::size_t index = 0;
    std::uint64_t id = 0;
    std::string service;
    std::string zone;
    udp::socket socket;
    udp::endpoint sender;
    std::array<std::uint8_t, 2048> receiveBuffer{};
    std::int64_t startedAtMs = 0;
    unsigned writes = 0; // of its entry in the store
    bool isSilent = false;
    bool isDraining = false;
    soak_clock::time_point drainingSince{};
    soak_clock::time_point coldUntil{};
    std::deque<soak_clock::time_point> recentColdFlows;
    std::map<std::uint16_t, bool> flows; ///< by caller port: whether the request has arrived
    std::deque<job> queuedJobs;
    unsigned busySlots = 0;
    std::uint64_t incarnation = 0;
};

struct soak_fabric::request
{
    std::string id;
    bool isOrder = false;
    std::uint16_t routePort = deskPort;
    soak_clock::time_point sentAt;
    unsigned attemptCount = 0;
    bool isFinished = false;
    bool isAnswered = false;
};

struct soak_fabric::attempt
{
    std::shared_ptr<request> owner;
    std::uint16_t port = 0;
    std::uint32_t echo = 0;
    bool isOpen = false;
    bool isFinished = false;
    std::size_t upstreamIndex = 0;
    unsigned requestCopies = 0;
    int probedHost = -1; ///< host that a probe is sent to, bypassing the router; -1 for a request
};

soak_fabric::soak_fabric(asio::io_context &io, soak_store &store, std::vector<host_place> hosts,
                         unsigned network, std::uint64_t seed)
    : m_io(io)
    , m_store(store)
    , m_hosts(std::move(hosts))
    , m_isReady(m_hosts.size())
    , m_failedChecks(m_hosts.size())
    , m_dropsPackets(m_hosts.size())
    , m_random(seed)
    , m_callerSocket(
          io,
          udp::endpoint(asio::ip::make_address_v4("127." + std::to_string(network) + ".3.1"),
                        m_hosts.front().packetPort))
    , m_servedAdditions(m_hosts.size())
    , m_newestSeenVersions(m_hosts.size())
{
    for (const char *zone : {"east", "west"}) {
        for (unsigned number = 0; number < upstreamsPerZone; ++number) {
            const std::size_t index = m_upstreams.size();
            const auto address = asio::ip::make_address_v4("127." + std::to_string(network) + ".2."
                                                           + std::to_string(index + 1));
            m_upstreams.push_back(
                std::make_unique<upstream>(io, udp::endpoint(address, upstreamPort)));
            upstream &added = *m_upstreams.back();
            added.index = index;
            added.id = 0x1000 + index;
            added.service = number + 1 == upstreamsPerZone ? "sheets" : "desk";
            added.zone = zone;
            added.startedAtMs = 1'700'000'000'000;
            publish(added);
            receiveAtUpstream(added);
        }
    }
    writeConfig();
    receiveAtCaller();
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        checkReadiness(host);
    }
}

soak_fabric::~soak_fabric() = default;

double soak_fabric::elapsedSeconds() const
{
    return std::chrono::duration<double>(soak_clock::now() - m_startedAt).count();
}

void soak_fabric::reportViolation(const std::string &rule, const std::string &evidence)
{
    m_violations.push_back(violation{rule, evidence, elapsedSeconds()});
}

bool soak_fabric::isRecovered() const
{
    return soak_clock::now() - m_disturbedAt > recoveryTime;
}

void soak_fabric::runAfter(milliseconds time, std::function<void()> action)
{
    callAfter(m_io, time, std::move(action));
}

void soak_fabric::publish(upstream &target)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(target.coldUntil - soak_clock::now());
    m_store.put("servers/" + idText(target.id),
                json{{"service", target.service},
                     {"address",
                      target.socket.local_endpoint().address().to_string() + ":"
                          + std::to_string(upstreamPort)},
                     {"zone", target.zone},
                     {"version", "1"},
                     {"concurrency", slotsPerUpstream},
                     {"state", target.isDraining ? "draining" : "ready"},
                     {"warmup-left-ms", std::max<std::int64_t>(0, left.count())},
                     {"born", target.startedAtMs},
                     {"seq", ++target.writes}}
                    .dump());
}

void soak_fabric::writeConfig()
{
    m_version += 1 + m_random() % 3;
    json routes = json::array();
    const auto add = [&](const char *name, std::uint16_t port, const char *service) {
        routes.push_back(json{{"name", name},
                              {"host", asio::ip::make_address_v4(routeAddress).to_string()},
                              {"prefix", "/" + std::to_string(port) + "/"},
                              {"service", service},
                              {"timeout-ms", requestDeadline.count()},
                              {"aim-ms", 250},
                              {"priority", 1}});
    };
    add("desk", deskPort, "desk");
    add("sheets", sheetPort, "sheets");
    if (m_hasExtraRoute) {
        add("extra", extraPort, "desk");
    }
    for (unsigned number = 0; number < m_idleRoutes; ++number) {
        routes.push_back(json{{"name", "idle-" + std::to_string(number)},
                              {"host", asio::ip::make_address_v4(idleAddress + number).to_string()},
                              {"prefix", "/443/"},
                              {"service", "desk"},
                              {"timeout-ms", requestDeadline.count()},
                              {"aim-ms", 250},
                              {"priority", 1}});
    }
    json services = json::array();
    for (const char *name : {"desk", "sheets"}) {
        services.push_back(json{{"name", name},
                                {"max-conns", 2000},
                                {"warmup-s", warmupTime.count() / 1000},
                                {"warmup-per-s", 0}});
    }
    m_store.put("op/config",
                json{{"version", m_version},
                     {"routes", routes},
                     {"services", services},
                     {"limits", json{{"idle-timeout-ms", 15000}}}}
                    .dump());
}

void soak_fabric::setExtraRoute(bool exists)
{
    m_hasExtraRoute = exists;
    m_extraRouteSince = soak_clock::now();
    writeConfig();
    m_additionVersion = exists ? m_version : m_additionVersion;
}

void soak_fabric::addIdleRoutes(unsigned count)
{
    m_idleRoutes += count;
    writeConfig();
}

void soak_fabric::setEvacuated(const std::string &zone, bool isEvacuated)
{
    if (isEvacuated) {
        m_evacuatedAt[zone] = soak_clock::now();
        m_store.put("op/evacuate/" + zone, "{}");
        return;
    }
    m_evacuatedAt.erase(zone);
    m_store.remove("op/evacuate/" + zone);
}

void soak_fabric::drainUpstream(std::size_t index)
{
    upstream &target = *m_upstreams[index];
    if (!target.isDraining) {
        target.isDraining = true;
        target.drainingSince = soak_clock::now();
        publish(target);
    }
}

void soak_fabric::crashUpstream(std::size_t index)
{
    upstream &target = *m_upstreams[index];
    target.isSilent = true;
    ++target.incarnation;
    target.busySlots = 0;
    target.queuedJobs.clear();
    target.flows.clear();
}

void soak_fabric::restartUpstreamCold(std::size_t index)
{
    crashUpstream(index);
    upstream &target = *m_upstreams[index];
    target.isSilent = false;
    target.isDraining = false;
    target.startedAtMs += 1 + static_cast<std::int64_t>(elapsedSeconds() * 1000);
    target.coldUntil = soak_clock::now() + warmupTime;
    target.recentColdFlows.clear();
    publish(target);
}

void soak_fabric::setDropsPackets(std::size_t host, bool isDropping)
{
    m_dropsPackets[host] = isDropping;
}

void soak_fabric::checkReadiness(std::size_t host)
{
    struct check
    {
        explicit check(asio::io_context &io)
            : stream(io)
        {
        }
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        http::request<http::empty_body> question;
        http::response<http::string_body> answer;
    };
    const auto recordResult = [this, host](bool isReady) {
        m_failedChecks[host] = isReady ? 0 : m_failedChecks[host] + 1;
        if (isReady) {
            m_isReady[host] = true;
        } else if (m_failedChecks[host] >= 2) {
            m_isReady[host] = false;
        }
    };
    const auto running = std::make_shared<check>(m_io);
    running->question = {http::verb::get, "/figstair/ready", 11};
    running->question.set(http::field::host, "host");
    running->stream.expires_after(milliseconds(400));
    const tcp::endpoint where(m_hosts[host].address, m_hosts[host].readinessPort);
    running->stream.async_connect(where, [running, recordResult](beast::error_code error) {
        if (error) {
            recordResult(false);
            return;
        }
        http::async_write(running->stream, running->question,
                          [running, recordResult](beast::error_code, std::size_t) {
                              http::async_read(
                                  running->stream, running->buffer, running->answer,
                                  [running, recordResult](beast::error_code problem, std::size_t) {
                                      recordResult(!problem
                                                   && running->answer.result() == http::status::ok);
                                  });
                          });
    });
    runAfter(milliseconds(500), [this, host] { checkReadiness(host); });
}

void soak_fabric::startTraffic(double perSecond)
{
    m_isSending = true;
    sendNextRequest(perSecond);
    probeRoutes();
}

void soak_fabric::sendNextRequest(double perSecond)
{
    if (!m_isSending) {
        return;
    }
    const auto next = std::make_shared<request>();
    next->isOrder = m_random() % 4 == 0;
    next->routePort = m_random() % 5 == 0 ? sheetPort : deskPort;
    next->id = (next->isOrder ? "order-" : "query-") + std::to_string(m_requests.size());
    next->sentAt = soak_clock::now();
    m_requests.push_back(next);
    startAttempt(next);
    runAfter(requestDeadline, [next] { next->isFinished = true; });
    std::exponential_distribution<double> gap(perSecond / 1000);
    runAfter(milliseconds(static_cast<std::int64_t>(gap(m_random))),
             [this, perSecond] { sendNextRequest(perSecond); });
}

/// Opens a flow on the extra route through each ready host: whether it opens shows which
/// configuration that host has in force.
void soak_fabric::probeRoutes()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (m_isReady[host]) {
            const auto probe = std::make_shared<attempt>();
            probe->owner = std::make_shared<request>();
            probe->owner->routePort = extraPort;
            probe->port = ++m_nextPort;
            probe->probedHost = static_cast<int>(host);
            m_attempts[probe->port] = probe;
            sendOpening(probe, 0);
            runAfter(openTimeout, [this, probe] { m_attempts.erase(probe->port); });
        }
    }
    if (m_isSending) {
        runAfter(milliseconds(250), [this] { probeRoutes(); });
    }
}

void soak_fabric::startAttempt(const std::shared_ptr<request> &ownerRequest)
{
    if (ownerRequest->isFinished || ownerRequest->attemptCount > maxRetries) {
        ownerRequest->isFinished = true;
        return;
    }
    ++ownerRequest->attemptCount;
    const auto started = std::make_shared<attempt>();
    started->owner = ownerRequest;
    started->port = m_nextPort = m_nextPort < 60000 ? m_nextPort + 1 : 20000;
    m_attempts[started->port] = started;
    sendOpening(started, 0);
    runAfter(milliseconds(200), [this, started] { sendOpening(started, 1); });
    runAfter(milliseconds(600), [this, started] { sendOpening(started, 2); });
    runAfter(openTimeout, [this, started] {
        if (!started->isOpen) {
            endAttempt(started, true);
        }
    });
    runAfter(requestDeadline, [this, started] { endAttempt(started, false); });
}

void soak_fabric::endAttempt(const std::shared_ptr<attempt> &flowAttempt, bool mayRunAgain)
{
    if (flowAttempt->isFinished) {
        return;
    }
    flowAttempt->isFinished = true;
    m_attempts.erase(flowAttempt->port);
    if (mayRunAgain && flowAttempt->probedHost < 0) {
        startAttempt(flowAttempt->owner);
    }
}

void soak_fabric::sendOpening(const std::shared_ptr<attempt> &flowAttempt, unsigned copy)
{
    if (!flowAttempt->isFinished && !flowAttempt->isOpen && !flowAttempt->owner->isFinished) {
        sendPacket(*flowAttempt, flagOpens, 1, copy, "");
    }
}

void soak_fabric::sendRequest(const std::shared_ptr<attempt> &flowAttempt)
{
    if (flowAttempt->isFinished || flowAttempt->owner->isFinished) {
        return;
    }
    sendPacket(*flowAttempt, flagAcknowledges, 2, 1, flowAttempt->owner->id);
    const milliseconds wait(200 * (1U << std::min(flowAttempt->requestCopies++, 3U)));
    runAfter(wait, [this, flowAttempt] {
        const auto &flows = m_upstreams[flowAttempt->upstreamIndex]->flows;
        const auto found = flows.find(flowAttempt->port);
        if (found == flows.end() || !found->second) {
            sendRequest(flowAttempt);
        }
    });
}

void soak_fabric::sendPacket(const attempt &from, std::uint8_t flags, std::uint32_t sequence,
                             std::uint32_t acknowledged, const std::string &data)
{
    std::vector<std::size_t> ready;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (m_isReady[host]) {
            ready.push_back(host);
        }
    }
    if (ready.empty() && from.probedHost < 0) {
        return;
    }
    const std::size_t host = from.probedHost >= 0 ? static_cast<std::size_t>(from.probedHost)
                                                  : ready[from.port % ready.size()];
    if (m_dropsPackets[host]) {
        return;
    }
    packet_head head;
    head.sequence = sequence;
    head.acknowledged = acknowledged;
    head.echo = from.echo;
    head.flags = flags;
    head.destination = routeAddress;
    head.destinationPort = from.owner->routePort;
    head.source = m_callerSocket.local_endpoint().address().to_v4().to_uint();
    head.sourcePort = from.port;
    const auto bytes = writePacket(head, data);
    beast::error_code ignored; // datagrams may be lost
    m_callerSocket.send_to(asio::buffer(bytes),
                           udp::endpoint(m_hosts[host].address, m_hosts[host].packetPort), 0,
                           ignored);
}

void soak_fabric::receiveAtUpstream(upstream &target)
{
    target.socket.async_receive_from(
        asio::buffer(target.receiveBuffer), target.sender,
        [this, &target](beast::error_code error, std::size_t size) {
            if (!error && size >= idBytes + headBytes && !target.isSilent) {
                const std::uint64_t id = endian::load_big_u64(target.receiveBuffer.data());
                const auto data = target.receiveBuffer.begin() + idBytes + headBytes;
                const auto end = target.receiveBuffer.begin() + static_cast<std::ptrdiff_t>(size);
                if (id == target.id || id == 0) {
                    onUpstreamPacket(target, readHead(&target.receiveBuffer[idBytes]),
                                     std::string(data, end));
                }
            }
            if (error != asio::error::operation_aborted) {
                receiveAtUpstream(target);
            }
        });
}

void soak_fabric::receiveAtCaller()
{
    m_callerSocket.async_receive_from(
        asio::buffer(m_receiveBuffer), m_sender, [this](beast::error_code error, std::size_t size) {
            if (!error && size >= headBytes && (m_receiveBuffer[16] & flagAborts) != 0) {
                onReset(readHead(m_receiveBuffer.data()), true);
            }
            if (error != asio::error::operation_aborted) {
                receiveAtCaller();
            }
        });
}

/// Checks that a new flow may be placed at this upstream: right service, not draining, zone not
/// evacuated.
void soak_fabric::checkOpening(const upstream &target, const packet_head &head)
{
    const std::string evidence =
        target.zone + " " + idText(target.id) + " caller port " + std::to_string(head.sourcePort);
    const auto now = soak_clock::now();
    if (head.destinationPort != extraPort
        && target.service != (head.destinationPort == sheetPort ? "sheets" : "desk")) {
        reportViolation("route", evidence + " is of service " + target.service);
    }
    if (target.isDraining && isRecovered() && now - target.drainingSince > maxDrainDelay) {
        reportViolation("drain", evidence);
    }
    const auto evacuated = m_evacuatedAt.find(target.zone);
    if (evacuated != m_evacuatedAt.end() && isRecovered()
        && now - evacuated->second > maxEvacuationDelay) {
        reportViolation("evacuation", evidence);
    }
}

void soak_fabric::onUpstreamPacket(upstream &target, const packet_head &head,
                                   const std::string &data)
{
    const std::uint16_t port = head.sourcePort;
    const auto found = m_attempts.find(port);
    const std::shared_ptr<attempt> from = found == m_attempts.end() ? nullptr : found->second;
    if ((head.flags & flagOpens) != 0) {
        const bool isNew = target.flows.count(port) == 0;
        if (isNew) {
            checkOpening(target, head);
            if (soak_clock::now() < target.coldUntil) {
                target.recentColdFlows.push_back(soak_clock::now());
                while (target.recentColdFlows.back() - target.recentColdFlows.front()
                       >= std::chrono::seconds(1)) {
                    target.recentColdFlows.pop_front();
                }
                if (target.recentColdFlows.size() > maxColdFlowsPerSecond) {
                    reportViolation("cold",
                                    idText(target.id) + " got "
                                        + std::to_string(target.recentColdFlows.size())
                                        + " flows in a second");
                }
            }
        }
        target.flows.emplace(port, false);
        if (from != nullptr) {
            runAfter(networkDelay, [this, from, index = target.index, echo = head.echo] {
                onOpened(from, index, echo);
            });
        }
        return;
    }
    const auto flow = target.flows.find(port);
    if (flow == target.flows.end()) {
        if ((head.flags & flagAborts) == 0) {
            runAfter(networkDelay, [this, head] { onReset(head, false); });
        }
        return;
    }
    if ((head.flags & (flagEnds | flagAborts)) != 0) {
        target.flows.erase(flow);
        return;
    }
    if (flow->second || data.empty()) {
        return;
    }
    flow->second = true;
    if (target.queuedJobs.size() >= maxQueuedRequests) {
        if (from != nullptr) {
            runAfter(networkDelay,
                     [this, from] { endAttempt(from, true); }); // refused without running
        }
        return;
    }
    target.queuedJobs.push_back(upstream::job{port, data});
    startQueuedWork(target);
}

void soak_fabric::startQueuedWork(upstream &target)
{
    while (target.busySlots < slotsPerUpstream && !target.queuedJobs.empty()) {
        const upstream::job job = target.queuedJobs.front();
        target.queuedJobs.pop_front();
        ++target.busySlots;
        if (job.text.rfind("order-", 0) == 0 && ++m_orderRuns[job.text] > 1) {
            reportViolation("run at most once", job.text + " at " + idText(target.id));
        }
        const bool isCold = soak_clock::now() < target.coldUntil;
        const double time = std::uniform_real_distribution<>(0.5, 1.5)(m_random)
            * static_cast<double>(meanServiceTime.count()) * (isCold ? 3 : 1);
        runAfter(milliseconds(static_cast<std::int64_t>(time)),
                 [this, &target, job, incarnation = target.incarnation] {
                     if (target.incarnation != incarnation) {
                         return;
                     }
                     --target.busySlots;
                     const auto from = m_attempts.find(job.callerPort);
                     if (from != m_attempts.end()) {
                         runAfter(networkDelay,
                                  [this, attempt = from->second,
                                   text = "answer of " + target.service + " to " + job.text] {
                                      onAnswer(attempt, text);
                                  });
                     }
                     startQueuedWork(target);
                 });
    }
}

void soak_fabric::onOpened(const std::shared_ptr<attempt> &flowAttempt, std::size_t upstreamIndex,
                           std::uint32_t echo)
{
    if (flowAttempt->isFinished || flowAttempt->isOpen) {
        return;
    }
    flowAttempt->isOpen = true;
    flowAttempt->upstreamIndex = upstreamIndex;
    flowAttempt->echo = echo;
    if (flowAttempt->probedHost < 0) {
        sendRequest(flowAttempt);
        return;
    }
    // Closes the probe flow; without this packet hosts would classify the upstream as silent.
    sendPacket(*flowAttempt, flagAcknowledges | flagEnds, 2, 1, "");
    const auto host = static_cast<std::size_t>(flowAttempt->probedHost);
    m_attempts.erase(flowAttempt->port);
    m_servedAdditions[host] = m_additionVersion;
    if (!m_hasExtraRoute && isRecovered()
        && soak_clock::now() - m_extraRouteSince > maxConfigDelay) {
        reportViolation("config in force",
                        m_hosts[host].name + " accepts flows on a removed route");
    }
    if (!m_hasExtraRoute && m_newestSeenVersions[host] >= m_version) {
        reportViolation("config never back",
                        m_hosts[host].name
                            + " accepts flows on a route that it had already removed");
    }
}

void soak_fabric::onAnswer(const std::shared_ptr<attempt> &flowAttempt, const std::string &data)
{
    if (flowAttempt->isFinished) {
        return;
    }
    const std::string service = flowAttempt->owner->routePort == sheetPort ? "sheets" : "desk";
    if (data != "answer of " + service + " to " + flowAttempt->owner->id) {
        reportViolation("own answer", flowAttempt->owner->id + " got: " + data);
    }
    flowAttempt->owner->isAnswered = true;
    flowAttempt->owner->isFinished = true;
    sendPacket(*flowAttempt, flagAcknowledges | flagEnds, 100, 1000, "");
    endAttempt(flowAttempt, false);
}

void soak_fabric::onReset(const packet_head &head, bool isFromHost)
{
    // A host's reset is addressed to the caller; an upstream's reset carries the header of the
    // caller's packet.
    const std::uint16_t port = isFromHost ? head.destinationPort : head.sourcePort;
    const auto found = m_attempts.find(port);
    if (found == m_attempts.end()) {
        return;
    }
    const std::shared_ptr<attempt> flowAttempt = found->second;
    if (flowAttempt->probedHost >= 0) {
        const auto host = static_cast<std::size_t>(flowAttempt->probedHost);
        m_attempts.erase(found);
        if (!m_hasExtraRoute) {
            // A host that has not served the route since it was added may not know that yet.
            if (m_servedAdditions[host] == m_additionVersion) {
                m_newestSeenVersions[host] = m_version;
            }
        } else if (isRecovered() && soak_clock::now() - m_extraRouteSince > maxConfigDelay) {
            reportViolation("config in force",
                            m_hosts[host].name + " refuses flows on an added route");
        }
        return;
    }
    if (isFromHost && flowAttempt->isOpen) {
        reportViolation("foreign reset",
                        flowAttempt->owner->id + " was open at "
                            + idText(m_upstreams[flowAttempt->upstreamIndex]->id));
    }
    endAttempt(flowAttempt, !flowAttempt->isOpen || !flowAttempt->owner->isOrder);
}

void soak_fabric::checkRecovered(soak_clock::time_point since)
{
    std::size_t sent = 0;
    std::size_t failed = 0;
    std::string first;
    for (const auto &item : m_requests) {
        if (item->sentAt >= since) {
            ++sent;
            failed += item->isAnswered ? 0 : 1;
            first = first.empty() && !item->isAnswered ? item->id : first;
        }
    }
    if (failed > 0 || sent == 0) {
        reportViolation("recovery",
                        std::to_string(failed) + " of " + std::to_string(sent)
                            + " requests not answered after the last fault; first: " + first);
    }
}

std::string soak_fabric::summary() const
{
    std::size_t answered = 0;
    for (const auto &item : m_requests) {
        answered += item->isAnswered ? 1 : 0;
    }
    std::size_t orders = 0;
    for (const auto &[order, runs] : m_orderRuns) {
        orders += runs;
    }
    return "requests=" + std::to_string(m_requests.size()) + " answered=" + std::to_string(answered)
        + " orders_run=" + std::to_string(orders);
}

} // namespace soak
