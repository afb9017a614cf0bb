#include "entry/entry_world.h"

#include <algorithm>
#include <cstring>

#include "entry/entry_doubles.h"

namespace figstair {
namespace {

constexpr milliseconds sameZoneLatency{1};
constexpr milliseconds crossZoneLatency{2};
constexpr milliseconds callerLatency{3};
constexpr milliseconds readinessInterval{500};
constexpr milliseconds tickInterval{10};
constexpr milliseconds startupTime{60}; ///< until the first listing of the store arrives
constexpr milliseconds attemptTimeout{1400};
constexpr milliseconds retransmissionInterval{200};
constexpr unsigned maxRetries = 2;
constexpr std::uint32_t routeAddress = 0xC6120001;
constexpr std::uint16_t routePort = 443;
constexpr std::uint32_t ackBeforeAnswer = 1;
constexpr std::uint32_t answerBytes = 999;
constexpr std::uint32_t errorBytes = 119;
constexpr std::uint16_t requestBytes = 100;

/// A caller that keeps flows open repeats a request after 200, 600 and 1400 ms only.
constexpr unsigned maxTransmissions = 4;

/// A caller ignores a reset of an open flow whose sequence number is farther from what it has
/// acknowledged.
constexpr std::uint32_t resetWindow = 76'800;

/// How long an upstream counts as disturbed after a fault; on small deployments.
constexpr milliseconds disturbanceTime{4000};

constexpr milliseconds heartbeatInterval{1200};

/// Grace period for lapsed entries that hosts use after an outage of the store.
constexpr milliseconds lapseGrace{2200};

const std::string serviceName = "desk";

std::string zoneName(unsigned zone)
{
    return "zone-" + std::to_string(zone);
}

} // namespace

struct entry_world::host : public entry_output
{
    host(entry_world &world, std::size_t index, unsigned zone)
        : world(world)
        , index(index)
        , zone(zone)
    {
    }

    void forward(byte_view packet, const known_upstream &upstream) override
    {
        flow_packet content;
        std::memcpy(&content, packet.data(), sizeof content);
        const auto target = static_cast<std::size_t>(upstream.entry.id - 1);
        const unsigned other = world.upstreamZone(target);
        if (world.isCutBetween(zone, other) || world.isLinkCut(index, target)) {
            return;
        }
        world.after(zone == other ? sameZoneLatency : crossZoneLatency,
                    [this, target, content, tag = upstream.tag] {
                        world.onUpstreamPacket(target, content, tag);
                    });
    }
    void reset(const flow_id &flow, std::uint32_t sequence) override
    {
        world.onHostReset(*this, flow, sequence);
    }
    void logEvent(std::string_view, event_fields) override { }
    void count(entry_counter which, std::uint64_t amount) override
    {
        world.m_counts[which] += amount;
    }
    void observe(entry_distribution, milliseconds) override { }

    entry_world &world;
    std::size_t index;
    unsigned zone;
    std::unique_ptr<entry_core> core;
    std::uint64_t incarnation = 0;
    std::map<std::size_t, std::uint64_t> sentBySecond; ///< bytes to other hosts
    std::map<std::size_t, std::uint64_t> receivedBySecond; ///< bytes from other hosts
    bool inRotation = false;
    unsigned failedChecks = 0;
};

struct entry_world::upstream
{
    struct job
    {
        flow_id flow;
        unsigned zone = 0;
    };

    unsigned zone = 0;
    std::int64_t bornMs = 1;
    milliseconds coldFor{0};
    monotonic_time coldUntil{};
    bool isSilent = false;
    bool isRefusing = false;
    bool isFailing = false;
    bool isDraining = false;
    double slowdown = 1.0;
    unsigned busy = 0;
    std::deque<job> waiting;
    std::uint64_t incarnation = 0;
    std::map<std::size_t, unsigned> startedBySecond;
    std::vector<monotonic_time> openings;
    /// Sequence number of the last request of each flow, or 0.
    std::map<std::pair<std::uint32_t, std::uint16_t>, std::uint32_t> flows;
    monotonic_time disturbedUntil{};
};

struct entry_world::request
{
    unsigned zone = 0;
    std::size_t kind = 0; ///< index of its request_class
    bool isGreedy = false;
    milliseconds work{0};
    std::uint32_t caller = 0;
    monotonic_time sentAt{};
    unsigned tries = 0;
    bool isOver = false;
    attempt *flow = nullptr; ///< of the last try
};

struct entry_world::attempt
{
    request *owner = nullptr;
    flow_id flow;
    monotonic_time startedAt{};
    bool isOpen = false;
    bool isOver = false;
    bool reachedUpstream = false; ///< one of its SYNs
    std::uint32_t tag = 0;
    std::size_t upstreamIndex = 0;
    unsigned dataTransmissions = 0; ///< of the current request
    unsigned answers = 0;
    std::uint32_t sequence = 2; ///< of the current request
    std::uint32_t acknowledged = ackBeforeAnswer;
};

entry_world::entry_world(const world_plan &plan)
    : m_plan(plan)
    , m_random(plan.seed)
    , m_cutZones(plan.zones)
{
    if (m_plan.classes.empty()) {
        m_plan.classes.push_back(request_class{1, plan.workTime, plan.latencyTarget, 0});
    }
    m_classSeconds.resize(m_plan.classes.size());
    for (unsigned zone = 0; zone < plan.zones; ++zone) {
        for (unsigned number = 0; number < plan.upstreamsPerZone; ++number) {
            m_upstreams.push_back(std::make_unique<upstream>());
            m_upstreams.back()->zone = zone;
        }
        for (unsigned number = 0; number < plan.hostsPerZone; ++number) {
            m_hosts.push_back(std::make_unique<host>(*this, m_hosts.size(), zone));
        }
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        startHost(index);
        m_hosts[index]->inRotation = true;
    }
    after(milliseconds(2000), [this] { onArrival(); });
    checkReadiness();
}

entry_world::~entry_world() = default;

unsigned entry_world::upstreamZone(std::size_t upstream) const
{
    return m_upstreams[upstream]->zone;
}

entry_core &entry_world::core(std::size_t host)
{
    return *m_hosts[host]->core;
}

bool entry_world::isCutBetween(unsigned zone, unsigned other) const
{
    return zone != other && (m_cutZones[zone] || m_cutZones[other]);
}

void entry_world::after(milliseconds delay, std::function<void()> action)
{
    m_events.push(event{m_clock.monotonic() + delay, m_eventNumber++, std::move(action)});
}

milliseconds entry_world::sinceStart() const
{
    return m_clock.monotonic() - monotonic_time(milliseconds(3000));
}

void entry_world::at(milliseconds at, std::function<void()> action)
{
    m_events.push(
        event{monotonic_time(milliseconds(3000)) + at, m_eventNumber++, std::move(action)});
}

void entry_world::run(milliseconds end)
{
    const monotonic_time last = monotonic_time(milliseconds(3000)) + end;
    while (!m_events.empty() && m_events.top().when <= last) {
        const event next = m_events.top();
        m_events.pop();
        m_clock.set(next.when);
        next.action();
    }
}

host_record entry_world::hostRecordOf(std::size_t index) const
{
    host_record self;
    self.name = "host-" + std::to_string(index);
    self.zone = zoneName(m_hosts[index]->zone);
    self.peerAddress.port = static_cast<std::uint16_t>(index + 1);
    self.incarnation = m_hosts[index]->incarnation;
    return self;
}

void entry_world::startHost(std::size_t index)
{
    host &hostState = *m_hosts[index];
    ++hostState.incarnation;
    entry_settings settings;
    settings.self = hostRecordOf(index);
    settings.placementByWork = m_plan.placementByWork;
    hostState.core =
        std::make_unique<entry_core>(settings, m_clock, m_plan.seed * 100 + index, hostState);
    const std::uint64_t incarnation = hostState.incarnation;
    after(startupTime, [this, index, incarnation] {
        host &started = *m_hosts[index];
        if (!started.core || started.incarnation != incarnation) {
            return;
        }
        started.core->onListing(listing(), m_revision);
        after(milliseconds(m_random() % 100), [this, index, incarnation] {
            if (m_hosts[index]->incarnation == incarnation) {
                tickHost(index);
            }
        });
    });
}

void entry_world::killHost(std::size_t index)
{
    m_hosts[index]->core.reset();
    ++m_hosts[index]->incarnation;
}

void entry_world::tickHost(std::size_t index)
{
    host &hostState = *m_hosts[index];
    if (!hostState.core) {
        return;
    }
    hostState.core->tick();
    if (m_clock.monotonic() >= hostState.core->nextReport()) {
        sendReport(index);
    }
    after(tickInterval, [this, index, incarnation = hostState.incarnation] {
        if (m_hosts[index]->incarnation == incarnation) {
            tickHost(index);
        }
    });
}

void entry_world::sendReport(std::size_t index)
{
    host &hostState = *m_hosts[index];
    const std::optional<outgoing_report> due = hostState.core->takeDueReport();
    if (!due) {
        return;
    }
    const auto second = static_cast<std::size_t>(sinceStart().count() / 1000);
    const std::size_t bytes = encodeEntryMessage(peer_key{}, due->report).size();
    const auto report = std::make_shared<peer_report>(due->report);
    for (const endpoint &target : due->targets) {
        const std::size_t other = target.port - 1U;
        hostState.sentBySecond[second] += bytes;
        if (isCutBetween(hostState.zone, m_hosts[other]->zone)) {
            continue;
        }
        after(crossZoneLatency + m_plan.reportDelay, [this, other, report, second, bytes] {
            m_hosts[other]->receivedBySecond[second] += bytes;
            if (m_hosts[other]->core) {
                m_hosts[other]->core->onPeerReport(*report);
            }
        });
    }
}

void entry_world::checkReadiness()
{
    for (const auto &hostState : m_hosts) {
        after(milliseconds(m_random() % 100), [this, index = hostState->index] {
            host &checked = *m_hosts[index];
            if (checked.core && checked.core->hasConfig() && checked.core->isInRotation()) {
                checked.failedChecks = 0;
                checked.inRotation = true;
            } else if (++checked.failedChecks >= 2) {
                checked.inRotation = false;
            }
        });
    }
    after(readinessInterval, [this] { checkReadiness(); });
}

entry_world::host *entry_world::pickHost(const flow_id &flow, unsigned zone)
{
    std::vector<host *> all;
    std::vector<host *> ready;
    std::map<unsigned, std::vector<host *>> readyElsewhere; ///< by zone
    for (const auto &hostState : m_hosts) {
        if (hostState->zone == zone) {
            all.push_back(hostState.get());
        }
        if (hostState->inRotation) {
            (hostState->zone == zone ? ready : readyElsewhere[hostState->zone])
                .push_back(hostState.get());
        }
    }
    const std::vector<host *> &local = ready.size() * 2 < all.size() ? all : ready;
    const std::vector<host *> &used =
        ready.empty() && !readyElsewhere.empty() ? readyElsewhere.begin()->second : local;
    return used.empty() ? nullptr : used[hashOf(flow) % used.size()];
}

void entry_world::sendFromCaller(attempt &from, flow_packet packet)
{
    packet.flow = from.flow;
    packet.upstreamTag = from.tag;
    after(callerLatency, [this, packet, zone = from.owner->zone] {
        host *to = pickHost(packet.flow, zone);
        if (to == nullptr || !to->core) {
            return;
        }
        std::vector<std::uint8_t> bytes(sizeof packet);
        std::memcpy(bytes.data(), &packet, sizeof packet);
        to->core->onPacket(packet, bytes);
        to->core->onInputDrained();
    });
}

void entry_world::onArrival()
{
    auto next = std::make_unique<request>();
    if (m_plan.zoneDemand.empty()) {
        next->zone = static_cast<unsigned>(m_random() % m_plan.zones);
    } else {
        std::discrete_distribution<unsigned> zones(m_plan.zoneDemand.begin(),
                                                   m_plan.zoneDemand.end());
        next->zone = zones(m_random);
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    next->isGreedy = uniform(m_random) < m_plan.greedyShare;
    const auto caller =
        next->isGreedy ? 0 : static_cast<std::uint32_t>(1 + m_random() % m_plan.callersPerZone);
    next->caller = 0x64400000 + next->zone * 65536 + caller;
    double rest = uniform(m_random);
    while (next->kind + 1 < m_plan.classes.size() && rest >= m_plan.classes[next->kind].share) {
        rest -= m_plan.classes[next->kind].share;
        ++next->kind;
    }
    const milliseconds meanWork = m_plan.classes[next->kind].workTime;
    next->work = milliseconds(
        static_cast<std::int64_t>(double(meanWork.count()) * (0.5 + uniform(m_random))));
    const request_class &kind = m_plan.classes[next->kind];
    if (kind.tailShare > 0 && uniform(m_random) < kind.tailShare) {
        next->work =
            milliseconds(static_cast<std::int64_t>(double(next->work.count()) * kind.tailFactor));
    }
    next->sentAt = m_clock.monotonic();
    m_arrivals.push_back(world_arrival{sinceStart(), next->kind, next->work});
    request &added = *next;
    m_requests.push_back(std::move(next));
    second_result sent;
    sent.sent = 1;
    record(added, sent);
    if (!sendOnIdleFlow(added)) {
        startAttempt(added);
    }
    after(m_plan.deadline, [this, &added] { finish(added, false); });
    std::exponential_distribution<double> gap(m_plan.requestsPerSecond * m_loadFactor / 1000.0);
    const double wait = gap(m_random) + m_arrivalRemainder;
    m_arrivalRemainder = wait - static_cast<double>(static_cast<std::int64_t>(wait));
    after(milliseconds(static_cast<std::int64_t>(wait)), [this] { onArrival(); });
}

void entry_world::record(const request &requestState, const second_result &change)
{
    const milliseconds sentSinceStart = requestState.sentAt - monotonic_time(milliseconds(3000));
    const auto second = static_cast<std::size_t>(sentSinceStart.count() / 1000);
    const auto addTo = [&](std::vector<second_result> &results) {
        results.resize(std::max(results.size(), second + 1));
        results[second].add(change);
    };
    addTo(m_seconds);
    addTo(m_classSeconds[requestState.kind]);
    if (requestState.isGreedy) {
        addTo(m_greedySeconds);
    }
}

void entry_world::startAttempt(request &requestState)
{
    if (requestState.isOver || requestState.tries > maxRetries) {
        finish(requestState, false);
        return;
    }
    ++requestState.tries;
    m_allAttempts.push_back(std::make_unique<attempt>());
    attempt &started = *m_allAttempts.back();
    started.owner = &requestState;
    requestState.flow = &started;
    started.startedAt = m_clock.monotonic();
    started.flow = flow_id{requestState.caller, routeAddress, ++m_nextPort,
                           static_cast<std::uint16_t>(routePort + requestState.kind)};
    m_attempts[{requestState.caller, started.flow.callerPort}] = &started;
    sendOpening(started, 0);
    after(milliseconds(200), [this, &started] { sendOpening(started, 1); });
    after(milliseconds(600), [this, &started] { sendOpening(started, 2); });
    after(attemptTimeout, [this, &started] {
        if (!started.isOpen && !started.isOver && !started.owner->isOver) {
            second_result timedOut;
            timedOut.timedOutTries = 1;
            record(*started.owner, timedOut);
            endAttempt(started);
        }
    });
}

bool entry_world::sendOnIdleFlow(request &requestState)
{
    const auto found = m_idleFlows.find({requestState.caller, requestState.kind});
    while (found != m_idleFlows.end() && !found->second.empty()) {
        attempt &flow = *found->second.front();
        found->second.pop_front();
        if (!flow.isOver) {
            ++requestState.tries;
            requestState.flow = &flow;
            flow.owner = &requestState;
            flow.dataTransmissions = 0;
            flow.sequence += requestBytes;
            sendData(flow);
            return true;
        }
    }
    return false;
}

const request_class &entry_world::kindOf(const flow_id &flow) const
{
    return m_plan.classes[static_cast<std::size_t>(flow.routePort - routePort)];
}

void entry_world::onHostReset(const host &from, const flow_id &flow, std::uint32_t sequence)
{
    const std::pair<std::uint32_t, std::uint16_t> key{flow.callerAddress, flow.callerPort};
    const auto current = m_attempts.find(key);
    const bool isOpen = current != m_attempts.end() && current->second->isOpen;
    if (isOpen && isDisturbed(from, current->second->upstreamIndex)) {
        ++m_resetFlows;
    } else if (isOpen) {
        ++m_wrongResets;
        ++m_falseRefusals;
    }
    after(callerLatency, [this, key, isOpen, sequence] {
        const auto found = m_attempts.find(key);
        if (found != m_attempts.end() && isOpen) {
            onOpenFlowReset(*found->second, sequence);
        } else if (found != m_attempts.end()) {
            refuse(*found->second);
        }
    });
}

void entry_world::onOpenFlowReset(attempt &attemptState, std::uint32_t sequence)
{
    if (sequence - attemptState.acknowledged + resetWindow > 2 * resetWindow) {
        return;
    }
    if (!attemptState.owner->isOver) {
        second_result refused;
        refused.refusedTries = 1;
        record(*attemptState.owner, refused);
    }
    endAttempt(attemptState);
}

std::size_t entry_world::openFlows(std::size_t upstream) const
{
    return static_cast<std::size_t>(
        std::count_if(m_attempts.begin(), m_attempts.end(), [upstream](const auto &entry) {
            return entry.second->isOpen && entry.second->upstreamIndex == upstream;
        }));
}

void entry_world::disturb(std::size_t upstream)
{
    m_upstreams[upstream]->disturbedUntil = m_clock.monotonic() + disturbanceTime;
}

bool entry_world::isLinkCut(std::size_t host, std::size_t upstream) const
{
    const auto found = m_linkFaultEnds.find({host, upstream});
    return found != m_linkFaultEnds.end() && found->second == monotonic_time::max();
}

bool entry_world::isDisturbed(const host &from, std::size_t upstream) const
{
    const entry_world::upstream &state = *m_upstreams[upstream];
    const monotonic_time now = m_clock.monotonic();
    const auto link = m_linkFaultEnds.find({from.index, upstream});
    return state.isSilent || state.isRefusing || now < state.disturbedUntil
        || isCutBetween(from.zone, state.zone)
        || (link != m_linkFaultEnds.end() && now - disturbanceTime < link->second);
}

void entry_world::refuse(attempt &attemptState)
{
    if (attemptState.isOver || attemptState.owner->isOver) {
        return;
    }
    m_refusalTimes.push_back(m_clock.monotonic() - attemptState.startedAt);
    m_falseRefusals += attemptState.reachedUpstream ? 1 : 0;
    second_result refused;
    refused.refusedTries = 1;
    record(*attemptState.owner, refused);
    endAttempt(attemptState);
}

void entry_world::endAttempt(attempt &attemptState)
{
    if (attemptState.isOver) {
        return;
    }
    attemptState.isOver = true;
    m_attempts.erase({attemptState.flow.callerAddress, attemptState.flow.callerPort});
    if (attemptState.owner->isOver) {
        return;
    }
    if (attemptState.isOpen && !kindOf(attemptState.flow).isSafe) {
        finish(*attemptState.owner, false); // it may have run
    } else {
        startAttempt(*attemptState.owner);
    }
}

void entry_world::sendOpening(attempt &attemptState, unsigned retransmissions)
{
    if (attemptState.isOver || attemptState.isOpen || attemptState.owner->isOver) {
        return;
    }
    flow_packet packet;
    packet.isSyn = true;
    packet.sequence = 1;
    packet.acknowledged = retransmissions;
    sendFromCaller(attemptState, packet);
}

void entry_world::sendData(attempt &attemptState)
{
    if (attemptState.isOver || attemptState.owner->isOver) {
        return;
    }
    flow_packet packet;
    packet.isAck = true;
    packet.sequence = attemptState.sequence;
    packet.acknowledged = attemptState.acknowledged;
    packet.payloadBytes = requestBytes;
    sendFromCaller(attemptState, packet);
    const milliseconds wait =
        retransmissionInterval * (1 << std::min(attemptState.dataTransmissions++, 3U));
    if (kindOf(attemptState.flow).requestsPerFlow > 1
        && attemptState.dataTransmissions == maxTransmissions) {
        return;
    }
    after(wait, [this, &attemptState, sequence = attemptState.sequence] {
        const auto &flows = m_upstreams[attemptState.upstreamIndex]->flows;
        const auto found =
            flows.find({attemptState.flow.callerAddress, attemptState.flow.callerPort});
        if (attemptState.sequence == sequence
            && (found == flows.end() || found->second < sequence)) {
            sendData(attemptState);
        }
    });
}

void entry_world::onUpstreamPacket(std::size_t index, const flow_packet &packet, std::uint32_t tag)
{
    upstream &upstreamState = *m_upstreams[index];
    if (upstreamState.isSilent) {
        return;
    }
    const std::pair<std::uint32_t, std::uint16_t> key{packet.flow.callerAddress,
                                                      packet.flow.callerPort};
    // A restarted process does not know the flows of the previous one. Callers with one request per
    // flow are simulated as if this reset were lost.
    const bool isUnknown = packet.payloadBytes > 0 && kindOf(packet.flow).requestsPerFlow > 1
        && upstreamState.flows.count(key) == 0;
    if (upstreamState.isRefusing || isUnknown) {
        after(callerLatency, [this, key] {
            const auto refused = m_attempts.find(key);
            if (refused != m_attempts.end()) {
                endAttempt(*refused->second);
            }
        });
        return;
    }
    if (packet.isSyn) {
        const auto caller = m_attempts.find(key);
        if (caller != m_attempts.end()) {
            caller->second->reachedUpstream = true;
        }
        upstreamState.openings.push_back(m_clock.monotonic());
        upstreamState.flows.emplace(key, 0);
        after(callerLatency, [this, key, tag, index] {
            const auto found = m_attempts.find(key);
            if (found == m_attempts.end() || found->second->isOpen) {
                return;
            }
            attempt &opened = *found->second;
            opened.isOpen = true;
            opened.tag = tag;
            opened.upstreamIndex = index;
            sendData(opened);
        });
        return;
    }
    const auto found = upstreamState.flows.find(key);
    if (found == upstreamState.flows.end() || found->second >= packet.sequence
        || packet.payloadBytes == 0) {
        return;
    }
    found->second = packet.sequence;
    if (upstreamState.isFailing || upstreamState.waiting.size() >= m_plan.queueCapacity) {
        answerWithError(index, packet.flow);
        return;
    }
    upstreamState.waiting.push_back(upstream::job{packet.flow, 0});
    startWork(index);
}

void entry_world::answerWithError(std::size_t index, const flow_id &flow)
{
    after(callerLatency, [this, index, flow] {
        const auto refused = m_attempts.find({flow.callerAddress, flow.callerPort});
        if (refused != m_attempts.end()) {
            onAnswerAtCaller(*refused->second, index, false);
        }
    });
}

milliseconds entry_world::workOf(const flow_id &flow) const
{
    const auto found = m_attempts.find({flow.callerAddress, flow.callerPort});
    return found != m_attempts.end() ? found->second->owner->work : kindOf(flow).workTime;
}

void entry_world::startWork(std::size_t index)
{
    upstream &upstreamState = *m_upstreams[index];
    while (upstreamState.busy < m_plan.slots && !upstreamState.waiting.empty()) {
        const flow_id flow = upstreamState.waiting.front().flow;
        upstreamState.waiting.pop_front();
        ++upstreamState.busy;
        ++upstreamState.startedBySecond[static_cast<std::size_t>(sinceStart().count() / 1000)];
        const double time = double(workOf(flow).count()) * upstreamState.slowdown;
        after(milliseconds(static_cast<std::int64_t>(time)),
              [this, index, flow, incarnation = upstreamState.incarnation] {
                  upstream &done = *m_upstreams[index];
                  if (done.incarnation != incarnation) {
                      return;
                  }
                  --done.busy;
                  startWork(index);
                  if (done.isSilent) {
                      return;
                  }
                  after(callerLatency, [this, index, flow] {
                      const auto found = m_attempts.find({flow.callerAddress, flow.callerPort});
                      if (found != m_attempts.end()) {
                          onAnswerAtCaller(*found->second, index, true);
                      }
                  });
              });
    }
}

void entry_world::onAnswerAtCaller(attempt &attemptState, std::size_t, bool isServed)
{
    if (attemptState.isOver) {
        return;
    }
    attemptState.acknowledged += isServed ? answerBytes : errorBytes;
    const request_class &kind = kindOf(attemptState.flow);
    const bool isKept = isServed && ++attemptState.answers < kind.requestsPerFlow;
    flow_packet packet;
    packet.isAck = true;
    packet.isFin = !isKept;
    packet.sequence = attemptState.sequence + requestBytes;
    packet.acknowledged = attemptState.acknowledged;
    sendFromCaller(attemptState, packet);
    if (isKept) {
        finish(*attemptState.owner, true);
        after(kind.pauseBetweenRequests, [this, &attemptState] {
            m_idleFlows[{attemptState.flow.callerAddress, attemptState.owner->kind}].push_back(
                &attemptState);
        });
    } else if (isServed) {
        attemptState.isOver = true;
        m_attempts.erase({attemptState.flow.callerAddress, attemptState.flow.callerPort});
        finish(*attemptState.owner, true);
    } else {
        endAttempt(attemptState);
    }
}

void entry_world::finish(request &requestState, bool isServed)
{
    if (requestState.isOver) {
        return;
    }
    requestState.isOver = true;
    const milliseconds time = m_clock.monotonic() - requestState.sentAt;
    second_result outcome;
    if (!isServed) {
        outcome.failed = 1;
    } else if (time <= m_plan.classes[requestState.kind].latencyTarget) {
        outcome.inTarget = 1;
        outcome.usefulWork = requestState.work;
    } else {
        outcome.late = 1;
    }
    record(requestState, outcome);
    if (!isServed && kindOf(requestState.flow->flow).requestsPerFlow > 1) {
        endAttempt(*requestState.flow);
    }
}

record_change entry_world::upstreamChangeOf(std::size_t index) const
{
    const upstream &upstreamState = *m_upstreams[index];
    upstream_record entry;
    entry.id = index + 1;
    entry.address.port = static_cast<std::uint16_t>(index + 1);
    entry.service = serviceName;
    entry.zone = zoneName(upstreamState.zone);
    entry.slots = m_plan.slots;
    entry.isDraining = upstreamState.isDraining;
    entry.startedAtMs = upstreamState.bornMs;
    entry.coldFor = std::max(milliseconds::zero(), upstreamState.coldUntil - m_clock.monotonic());
    return changeOf(entry, m_revision);
}

std::vector<record_change> entry_world::listing() const
{
    route_config config;
    config.version = 1;
    for (std::size_t kind = 0; kind < m_plan.classes.size(); ++kind) {
        config.routes.push_back(route{"r" + std::to_string(kind + 1),
                                      routeAddress,
                                      static_cast<std::uint16_t>(routePort + kind),
                                      {{serviceName, 1}},
                                      m_plan.deadline,
                                      m_plan.classes[kind].latencyTarget,
                                      m_plan.classes[kind].priority});
    }
    config.services.push_back(service_limits{serviceName, 2000, milliseconds(2000), 0});
    record_change change;
    change.revision = 1;
    change.content = config;
    std::vector<record_change> records{change};
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        records.push_back(upstreamChangeOf(index));
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        record_change announcement;
        announcement.kind = record_kind::host;
        announcement.content = hostRecordOf(index);
        announcement.name = hostRecordOf(index).name;
        records.push_back(announcement);
    }
    return records;
}

void entry_world::announce(std::size_t upstream)
{
    ++m_revision;
    const record_change change = upstreamChangeOf(upstream);
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        after(milliseconds(10 + m_random() % 50), [this, index, change] {
            if (m_hosts[index]->core && m_hosts[index]->core->hasConfig()) {
                m_hosts[index]->core->onRecordChange(change);
            }
        });
    }
}

void entry_world::setUpstreamSilent(std::size_t upstream, bool isSilent)
{
    m_upstreams[upstream]->isSilent = isSilent;
    disturb(upstream);
}

void entry_world::setUpstreamRefusing(std::size_t upstream, bool isRefusing)
{
    m_upstreams[upstream]->isRefusing = isRefusing;
    disturb(upstream);
}

void entry_world::setUpstreamFailing(std::size_t upstream, bool isFailing)
{
    m_upstreams[upstream]->isFailing = isFailing;
    disturb(upstream);
}

void entry_world::setUpstreamSlowdown(std::size_t upstream, double slowdown)
{
    m_upstreams[upstream]->slowdown = slowdown;
}

void entry_world::drainUpstream(std::size_t upstream)
{
    m_upstreams[upstream]->isDraining = true;
    announce(upstream);
}

void entry_world::restartUpstreamCold(std::size_t index, milliseconds coldFor)
{
    upstream &upstreamState = *m_upstreams[index];
    disturb(index);
    ++upstreamState.incarnation;
    upstreamState.busy = 0;
    upstreamState.waiting.clear();
    upstreamState.flows.clear();
    upstreamState.isSilent = false;
    upstreamState.isRefusing = false;
    upstreamState.bornMs = m_clock.wall().time_since_epoch().count();
    upstreamState.coldUntil = m_clock.monotonic() + coldFor;
    announce(index);
}

void entry_world::cutZone(unsigned zone, bool isCut)
{
    m_cutZones[zone] = isCut;
    for (std::size_t upstream = 0; upstream < m_upstreams.size(); ++upstream) {
        disturb(upstream);
    }
}

void entry_world::cutHostFromUpstream(std::size_t host, std::size_t upstream, bool isCut)
{
    m_linkFaultEnds[{host, upstream}] = isCut ? monotonic_time::max() : m_clock.monotonic();
}

void entry_world::lapseEntries(milliseconds returnAfter)
{
    ++m_revision;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        record_change lapsed;
        lapsed.kind = record_kind::upstream;
        lapsed.upstreamId = index + 1;
        lapsed.revision = m_revision;
        lapsed.content = record_change::removed{};
        for (const auto &hostState : m_hosts) {
            if (hostState->core && hostState->core->hasConfig()) {
                hostState->core->keepLapsedUntil(m_clock.monotonic() + lapseGrace);
                hostState->core->onRecordChange(lapsed);
            }
        }
        const auto spread = static_cast<std::uint64_t>(heartbeatInterval.count());
        after(returnAfter + milliseconds(static_cast<std::int64_t>(m_random() % spread)),
              [this, index] { announce(index); });
    }
}

unsigned entry_world::requestsStarted(std::size_t upstream, std::size_t second) const
{
    const auto &bySecond = m_upstreams[upstream]->startedBySecond;
    const auto found = bySecond.find(second);
    return found == bySecond.end() ? 0 : found->second;
}

unsigned entry_world::maxOpeningsPerSecond(std::size_t upstream, milliseconds first,
                                           milliseconds last) const
{
    const std::vector<monotonic_time> &times = m_upstreams[upstream]->openings;
    const monotonic_time start(milliseconds(3000));
    unsigned highest = 0;
    for (std::size_t begin = 0; begin < times.size(); ++begin) {
        if (times[begin] < start + first || times[begin] >= start + last) {
            continue;
        }
        unsigned count = 0;
        for (std::size_t end = begin; end < times.size() && times[end] < start + last
             && times[end] - times[begin] < milliseconds(1000);
             ++end) {
            ++count;
        }
        highest = std::max(highest, count);
    }
    return highest;
}

std::uint64_t entry_world::maxControlBytesPerSecond(std::size_t first, std::size_t last) const
{
    std::uint64_t highest = 0;
    for (const auto &hostState : m_hosts) {
        for (const auto *bySecond : {&hostState->sentBySecond, &hostState->receivedBySecond}) {
            for (const auto &[second, bytes] : *bySecond) {
                if (second >= first && second < last) {
                    highest = std::max(highest, bytes);
                }
            }
        }
    }
    return highest;
}

void second_result::add(const second_result &other)
{
    sent += other.sent;
    inTarget += other.inTarget;
    late += other.late;
    failed += other.failed;
    usefulWork += other.usefulWork;
    refusedTries += other.refusedTries;
    timedOutTries += other.timedOutTries;
}

namespace {

second_result sumOf(const std::vector<second_result> &results, std::size_t first, std::size_t last)
{
    second_result total;
    for (std::size_t second = first; second < std::min(last, results.size()); ++second) {
        total.add(results[second]);
    }
    return total;
}

} // namespace

second_result entry_world::sum(std::size_t first, std::size_t last) const
{
    return sumOf(m_seconds, first, last);
}

second_result entry_world::sumOfClass(std::size_t number, std::size_t first, std::size_t last) const
{
    return sumOf(m_classSeconds[number], first, last);
}

second_result entry_world::sumOfGreedy(std::size_t first, std::size_t last) const
{
    return sumOf(m_greedySeconds, first, last);
}

milliseconds entry_world::usefulWork(std::size_t first, std::size_t last) const
{
    return sum(first, last).usefulWork;
}

std::size_t entry_world::refusalsAfter(milliseconds time) const
{
    return static_cast<std::size_t>(
        std::count_if(m_refusalTimes.begin(), m_refusalTimes.end(),
                      [&](milliseconds refusal) { return refusal > time; }));
}

double entry_world::capacity() const
{
    double meanWork = 0;
    double shares = 0;
    for (const request_class &kind : m_plan.classes) {
        meanWork += kind.share * double(kind.workTime.count())
            * (1 + kind.tailShare * (kind.tailFactor - 1));
        shares += kind.share;
    }
    return double(m_plan.slots * m_upstreams.size()) * 1000.0 * shares / meanWork;
}

} // namespace figstair
