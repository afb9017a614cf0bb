#include "figstair/core/entry_core.h"

#include <algorithm>

#include <boost/asio/ip/address_v4.hpp>

#include "figstair/core/hex_text.h"

namespace figstair {
namespace {

/// Longest time that a new flow is held when all upstreams are full. It is shorter than the
/// callers' SYN retransmission timeout (200 ms), so that no retransmission arrives while the first
/// SYN is still held.
constexpr milliseconds maxHoldTime{150};

/// Share of a route's latency target that a flow may spend held.
constexpr double holdShareOfTarget = 0.4;

/// Maximum number of held flows per priority: one second of arrivals at a host under the highest
/// expected load.
constexpr std::size_t heldFlowsPerPriority = 256;

/// Number of held flows that one retry tries to place, and the interval between retries. A slot of
/// an upstream becomes free every few milliseconds.
constexpr std::size_t heldFlowsPerRetry = 8;
constexpr milliseconds heldRetryInterval{5};

/// Share of a route's latency target that a request may spend at an upstream, queueing included. It
/// determines how many open requests per slot a new flow accepts, within the two limits below.
constexpr double upstreamShareOfTarget = 0.5;
constexpr double minQueueLimit = 1.25;
constexpr double maxQueueLimit = 2.5;

/// A flow whose SYN was retransmitted has missed its latency target or is about to. It gets this
/// limit of open requests per slot, and a held one is served after the flows that can still meet
/// their target: the offset is added to its route priority, which must be below the offset.
constexpr double retransmittedQueueLimit = 1.5;
constexpr unsigned retransmittedPriorityOffset = 1000;

/// Latency target of a route that states none.
constexpr milliseconds defaultLatencyTarget{250};

/// A request of a flow that is idle for this many times the expected answer time is no longer
/// counted as open at its upstream: the caller has given up, or the flow continues through another
/// host.
constexpr int idleTimeoutFactor = 8;
constexpr milliseconds minIdleTimeout{400};
constexpr milliseconds maxIdleTimeout{4000};

/// The same while packets are rerouted between hosts: most flows that are idle here continue
/// through another host, which counts them too.
constexpr int idleTimeoutFactorUnstable = 3;
constexpr milliseconds minIdleTimeoutUnstable{60};

/// Closed flows are kept this long for late packets of either end. Also the idle time after which a
/// flow that was never established is removed.
constexpr milliseconds closedFlowLifetime{3000};

/// Flows checked by one sweep, and the interval between sweeps.
constexpr std::size_t flowsPerSweep = 256;
constexpr milliseconds sweepInterval{40};

/// Data repeated sooner than this is a packet duplicated by the network, not a retransmission.
constexpr milliseconds minRetransmissionDelay{100};

/// Missing answers are not held against upstreams for this long after a freeze of the process:
/// answers may have passed unseen, or through another host.
constexpr milliseconds silenceGraceAfterFreeze{400};

/// After a freeze of at least this length SYNs are dropped until the view of the store is confirmed
/// again, for at most maxResumeTime: callers have retransmitted their SYNs, the routers no longer
/// send packets to this host, and upstreams may have restarted cold or been unlisted.
constexpr milliseconds longFreezeThreshold{1000};

/// Longest wait for a current view of the store after a long freeze: the age that a view may have
/// at any time, and less than the time until the routers send packets to this host again.
constexpr milliseconds maxResumeTime{500};

/// Interval between checks of the other hosts. A host counts as silent only after several of these.
constexpr milliseconds rosterSweepInterval{100};

/// Time after which the rotation, the set of hosts to which the platform's routers send packets,
/// counts as stable. It starts when this host starts or another one joins, restarts, starts to
/// leave or falls silent. The routers then send the packets of open flows to other hosts. Two
/// readiness checks, half a second apart, pass until all packets take the new route: 1 s, and a
/// margin.
constexpr milliseconds rotationSettleTime{1600};

/// Load reports older than this are dropped: requests last only a fraction of it.
constexpr milliseconds maxReportAge{1200};

/// While packets are rerouted, a handshake without an answer may have been acknowledged through
/// another host. The check is repeated after this delay, when the other hosts' next reports have
/// arrived.
constexpr milliseconds recheckDelay{115};

/// An upstream that immediately answers with errors looks idle and fast, and would attract all
/// flows. A short answer therefore counts as one that took this many times the expected time.
constexpr double shortAnswerPenaltyRatio = 8.0;

/// An answer that takes at least this many times the expected time is logged.
constexpr double slowAnswerLogRatio = 4.0;

std::string toText(milliseconds value)
{
    return std::to_string(value.count());
}

std::string addressText(std::uint32_t address, std::uint16_t port)
{
    return boost::asio::ip::make_address_v4(address).to_string() + ":" + std::to_string(port);
}

} // namespace

std::string toText(const flow_id &flow)
{
    return addressText(flow.callerAddress, flow.callerPort) + ">"
        + addressText(flow.routeAddress, flow.routePort);
}

entry_core::entry_core(const entry_settings &settings, const clock_source &clock,
                       std::uint64_t seed, entry_output &output)
    : m_settings(settings)
    , m_clock(clock)
    , m_output(output)
    , m_directory(settings.flowLife)
    , m_loads(m_directory)
    , m_roster(settings.self)
    , m_reports(m_directory, m_loads, m_health, m_roster)
    , m_placer(m_directory, m_loads, m_health, m_roster, seed)
    , m_flows(settings.maxFlows)
    , m_heldFlows(heldFlowsPerPriority)
    , m_startedAt(clock.monotonic())
{
}

void entry_core::updateSettings(const entry_settings &settings)
{
    m_settings = settings;
}

flow_record &entry_core::insertFlow(const flow_id &flow)
{
    return m_flows.insert(flow, [this](flow_record &evicted) { stopAwaitingAnswer(evicted); });
}

milliseconds entry_core::latencyTargetOf(const flow_id &flow) const
{
    const route *route = m_routes.find(flow);
    return route != nullptr && route->latencyTarget.count() > 0 ? route->latencyTarget
                                                                : defaultLatencyTarget;
}

milliseconds entry_core::expectedTime(const flow_id &flow) const
{
    return m_serviceTimes.expectedAnswerTime(flow, latencyTargetOf(flow));
}

void entry_core::stopAwaitingAnswer(flow_record &record)
{
    if (record.awaitsAnswer) {
        record.awaitsAnswer = false;
        m_loads.removeOpenRequest(record.upstream);
    }
}

unsigned entry_core::coldFlowsPerSecond(const std::string &service) const
{
    const service_limits limits = m_routes.limitsOf(service);
    const double ratePerSecond =
        limits.coldRequestsPerSecond * m_settings.coldOvershoot + m_settings.coldSlack;
    // Halved, so that two hosts that both consider themselves the owner stay within the rate
    // together.
    return static_cast<unsigned>(std::max(0.0, ratePerSecond / 2));
}

void entry_core::onPacket(const flow_packet &packet, byte_view bytes)
{
    m_lastPacketAt = m_clock.monotonic();
    m_output.count(entry_counter::packetsReceived, 1);
    if (packet.isSyn && packet.isAck) {
        // Only upstreams send SYN-ACKs; one from the callers' side is forged or reflected.
        m_output.count(entry_counter::packetsReflected, 1);
        return;
    }
    if (packet.isSyn) {
        onOpeningPacket(packet, bytes);
    } else {
        onSubsequentPacket(packet, bytes);
    }
}

void entry_core::onOpeningPacket(const flow_packet &packet, byte_view bytes)
{
    if (!m_routes.isLoaded()) {
        m_output.count(entry_counter::packetsBeforeConfig, 1);
        return;
    }
    if (isResuming()) {
        m_output.count(entry_counter::packetsStale, 1);
        return;
    }
    const route *route = m_routes.find(packet.flow);
    if (route == nullptr) {
        m_output.count(entry_counter::packetsWithoutRoute, 1);
        refuse(packet.flow, "no_route");
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    flow_record *existing = m_flows.find(packet.flow);
    if (existing != nullptr && existing->openingSequence != packet.sequence) {
        stopAwaitingAnswer(*existing);
        m_flows.erase(packet.flow);
        existing = nullptr;
    }
    if (existing != nullptr && existing->phase != flow_phase::opening) {
        return; // already held, or a late duplicate SYN of an established or closed flow
    }
    flow_record &record = insertFlow(packet.flow);
    record.openingSequence = packet.sequence;
    record.lastPacketAt = now;
    if (existing != nullptr) {
        // A SYN retransmission: the caller has received no SYN-ACK.
        stopAwaitingAnswer(record);
        record.previousUpstream = record.upstream;
    }
    // The acknowledgement number of a SYN holds its retransmission count.
    record.isOpeningRetransmitted = packet.acknowledged != 0;
    switch (tryPlace(packet.flow, record, *route, bytes)) {
    case placement_outcome::placed:
        break;
    case placement_outcome::saturated:
        hold(packet.flow, record, *route, bytes);
        break;
    case placement_outcome::noneUsable:
        refuse(packet.flow, "no_upstream");
        break;
    }
}

placement_outcome entry_core::tryPlace(const flow_id &flow, flow_record &record, const route &route,
                                       byte_view bytes)
{
    const std::string &service = m_routes.serviceFor(route, flow);
    const double expectedMs = std::max(1.0, double(expectedTime(flow).count()));
    const double queueLimitInTime =
        std::clamp(double(latencyTargetOf(flow).count()) * upstreamShareOfTarget / expectedMs,
                   minQueueLimit, maxQueueLimit);
    // A flow that misses its target anyway must not delay one that can still meet it.
    const double queueLimit =
        record.isOpeningRetransmitted ? retransmittedQueueLimit : queueLimitInTime;
    const placement_result choice =
        m_placer.choose(placement_request{service, coldFlowsPerSecond(service), queueLimit,
                                          record.previousUpstream, expectedTime(flow)},
                        m_clock.monotonic());
    if (choice.outcome == placement_outcome::placed) {
        forwardOpening(flow, record, bytes, choice);
    }
    return choice.outcome;
}

void entry_core::hold(const flow_id &flow, flow_record &record, const route &route, byte_view bytes)
{
    const monotonic_time now = m_clock.monotonic();
    const milliseconds holdTime =
        std::min(maxHoldTime,
                 milliseconds(static_cast<std::int64_t>(double(latencyTargetOf(flow).count())
                                                        * holdShareOfTarget)));
    record.phase = flow_phase::held;
    m_output.count(entry_counter::flowsHeld, 1);
    m_output.logEvent("flow_held",
                      {{"flow", toText(flow)},
                       {"route", route.name},
                       {"copy", record.isOpeningRetransmitted ? "1" : "0"},
                       {"held", std::to_string(m_heldFlows.size())},
                       {"most_ms", toText(holdTime)}});
    enqueueHeld(held_flow{flow,
                          {bytes.begin(), bytes.end()},
                          record.isOpeningRetransmitted
                              ? retransmittedPriorityOffset + route.priority
                              : route.priority,
                          now,
                          now + holdTime});
}

void entry_core::enqueueHeld(held_flow item)
{
    if (const auto dropped = m_heldFlows.push(std::move(item))) {
        m_flows.erase(dropped->flow);
        m_output.count(entry_counter::flowsDropped, 1);
        m_output.logEvent("flow_dropped",
                          {{"flow", toText(dropped->flow)},
                           {"reason", "too_many_held"},
                           {"held", std::to_string(m_heldFlows.size())}});
    }
}

void entry_core::refuse(const flow_id &flow, const char *reason)
{
    m_flows.erase(flow);
    m_output.count(entry_counter::flowsReset, 1);
    m_output.logEvent(
        "flow_refused",
        {{"flow", toText(flow)}, {"reason", reason}, {"config", std::to_string(configVersion())}});
    m_output.reset(flow, 0);
}

void entry_core::forwardOpening(const flow_id &flow, flow_record &record, byte_view bytes,
                                const placement_result &choice)
{
    const monotonic_time now = m_clock.monotonic();
    const known_upstream &upstream = m_directory.at(choice.upstream);
    const unsigned open = m_loads.openRequests(choice.upstream);
    record.phase = flow_phase::opening;
    record.upstream = choice.upstream;
    record.openingSentAt = now;
    record.requestSentAt = now;
    record.lastPacketAt = now;
    record.awaitsAnswer = true;
    record.requestsPerSlot =
        std::max(1.0F, static_cast<float>(open + 1) / static_cast<float>(upstream.entry.slots));
    m_loads.addOpenRequest(choice.upstream);
    m_pendingAnswers.push_back(pending_answer{
        now + m_serviceTimes.handshakeTimeout(), flow, now, {bytes.begin(), bytes.end()}});
    m_output.count(entry_counter::flowsPlaced, 1);
    if (choice.reason != "least_load") {
        m_output.count(
            choice.reason == "trial" ? entry_counter::trialsSent : entry_counter::coldFlowsSent, 1);
    }
    m_output.logEvent("flow_placed",
                      {{"flow", toText(flow)},
                       {"upstream", toHex(upstream.entry.id)},
                       {"zone", upstream.entry.zone},
                       {"reason", std::string(choice.reason)},
                       {"open", std::to_string(open)},
                       {"own_open", std::to_string(m_loads.ownOpenRequests(choice.upstream))},
                       {"copy", record.isOpeningRetransmitted ? "1" : "0"},
                       {"repeat", record.wasRetried ? "1" : "0"},
                       {"entry_revision", std::to_string(upstream.revision)},
                       {"config", std::to_string(configVersion())}});
    m_output.forward(bytes, upstream);
}

void entry_core::onSubsequentPacket(const flow_packet &packet, byte_view bytes)
{
    const monotonic_time now = m_clock.monotonic();
    if (m_routes.isLoaded() && m_routes.find(packet.flow) == nullptr) {
        m_output.count(entry_counter::packetsWithoutRoute, 1);
        m_output.count(entry_counter::flowsReset, 1);
        if (flow_record *record = m_flows.find(packet.flow)) {
            stopAwaitingAnswer(*record);
            m_flows.erase(packet.flow);
        }
        if (!packet.isRst) {
            m_output.reset(packet.flow, packet.acknowledged);
        }
        return;
    }
    flow_record *record = m_flows.find(packet.flow);
    const upstream_index taggedUpstream = m_directory.findTag(packet.upstreamTag);
    if (record == nullptr || record->phase == flow_phase::held) {
        if (taggedUpstream == noUpstream) {
            m_output.count(entry_counter::packetsWithUnknownTag, 1);
            m_output.logEvent("packet_dropped",
                              {{"flow", toText(packet.flow)},
                               {"reason", "unknown_tag"},
                               {"tag", toHex(packet.upstreamTag)}});
            return;
        }
        record = &insertFlow(packet.flow);
        adoptFlow(packet, *record, taggedUpstream);
    } else if (record->phase == flow_phase::opening) {
        if (taggedUpstream != noUpstream && taggedUpstream != record->upstream) {
            // The first upstream answered after the retry; the caller's connection is with it.
            stopAwaitingAnswer(*record);
            record->upstream = taggedUpstream;
            record->awaitsAnswer = true;
            m_loads.addOpenRequest(taggedUpstream);
        }
        record->phase = flow_phase::open;
        record->acknowledgedAtRequest = packet.acknowledged;
        m_health.onAnswered(record->upstream, now);
        if (!record->wasRetried) {
            m_serviceTimes.onHandshake(now - record->openingSentAt);
            m_output.observe(entry_distribution::handshake, now - record->openingSentAt);
        }
    }
    recordAnswer(packet, *record);
    recordRequest(packet, *record);
    record->lastPacketAt = now;
    m_output.count(entry_counter::packetsForwarded, 1);
    m_output.forward(bytes, m_directory.at(record->upstream));
    if (packet.isFin || packet.isRst) {
        stopAwaitingAnswer(*record);
        record->phase = flow_phase::closed;
    }
    if (!m_heldFlows.isEmpty() && now >= m_nextHeldRetry) {
        m_nextHeldRetry = now + heldRetryInterval;
        retryHeldFlows();
    }
}

void entry_core::adoptFlow(const flow_packet &packet, flow_record &record, upstream_index upstream)
{
    const monotonic_time now = m_clock.monotonic();
    record = flow_record{};
    record.phase = flow_phase::open;
    record.upstream = upstream;
    record.acknowledgedAtRequest = packet.acknowledged;
    record.openingSentAt = now;
    record.requestSentAt = now;
    record.openingSequence = packet.sequence - 1;
    if (!packet.isFin && !packet.isRst) {
        record.awaitsAnswer = true;
        m_loads.addOpenRequest(upstream);
    }
    // The caller got the tag from the upstream, so the upstream has answered recently.
    m_health.onAnswered(upstream, now);
    m_output.count(entry_counter::flowsAdopted, 1);
}

void entry_core::recordAnswer(const flow_packet &packet, flow_record &record)
{
    if (!packet.isAck || !record.awaitsAnswer || !record.hasSentData
        || packet.acknowledged == record.acknowledgedAtRequest) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    const milliseconds answerTime = now - record.requestSentAt;
    m_health.onAnswered(record.upstream, now);
    const answer_verdict verdict = m_serviceTimes.onAnswer(
        packet.flow, answerTime, latencyTargetOf(packet.flow), record.requestsPerSlot,
        packet.acknowledged - record.acknowledgedAtRequest);
    m_loads.onServed(record.upstream, verdict.isShort ? shortAnswerPenaltyRatio : verdict.ratio,
                     now);
    m_output.observe(entry_distribution::firstAnswer, answerTime);
    if (verdict.isShort) {
        m_output.count(entry_counter::shortAnswers, 1);
        m_output.logEvent("answer_short",
                          {{"flow", toText(packet.flow)},
                           {"upstream", toHex(m_directory.at(record.upstream).entry.id)},
                           {"ms", toText(answerTime)},
                           {"expected_ms", toText(expectedTime(packet.flow))}});
    } else if (verdict.ratio >= slowAnswerLogRatio) {
        m_output.logEvent("answer_slow",
                          {{"flow", toText(packet.flow)},
                           {"upstream", toHex(m_directory.at(record.upstream).entry.id)},
                           {"ms", toText(answerTime)},
                           {"expected_ms", toText(expectedTime(packet.flow))}});
    }
    stopAwaitingAnswer(record);
}

void entry_core::recordRequest(const flow_packet &packet, flow_record &record)
{
    if (packet.payloadBytes == 0) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    if (record.hasSentData && record.awaitsAnswer && packet.sequence == record.lastDataSequence
        && now - record.requestSentAt >= minRetransmissionDelay && now >= m_ignoreSilenceUntil) {
        recordSilence(record.upstream, packet.flow, "request_repeated");
        return;
    }
    if (record.hasSentData && packet.sequence == record.lastDataSequence) {
        return;
    }
    record.hasSentData = true;
    record.lastDataSequence = packet.sequence;
    record.acknowledgedAtRequest = packet.acknowledged;
    record.requestSentAt = now;
    if (!record.awaitsAnswer && record.phase == flow_phase::open) {
        record.awaitsAnswer = true;
        m_loads.addOpenRequest(record.upstream);
    }
}

void entry_core::recordSilence(upstream_index upstream, const flow_id &flow,
                               std::string_view evidence)
{
    const bool wasEjected = m_health.isEjected(upstream);
    m_health.onTimeout(upstream, m_clock.monotonic());
    const bool isEjected = m_health.isEjected(upstream);
    m_output.logEvent("upstream_silent",
                      {{"flow", toText(flow)},
                       {"upstream", toHex(m_directory.at(upstream).entry.id)},
                       {"evidence", std::string(evidence)},
                       {"state", std::string(m_health.stateName(upstream))}});
    if (isEjected && !wasEjected) {
        m_output.count(entry_counter::ejections, 1);
    }
    m_reports.noteNews();
}

bool entry_core::isRotationStable() const
{
    const monotonic_time now = m_clock.monotonic();
    return now - std::max(m_startedAt, m_roster.changedAt()) >= rotationSettleTime;
}

void entry_core::retryUnanswered(pending_answer pending)
{
    flow_record *record = m_flows.find(pending.flow);
    const monotonic_time now = m_clock.monotonic();
    if (record == nullptr || record->phase != flow_phase::opening
        || record->openingSentAt != pending.sentAt) {
        return;
    }
    if (now < m_ignoreSilenceUntil) {
        return;
    }
    if (!isRotationStable()) {
        if (m_health.lastAnswerTime(record->upstream) >= pending.sentAt) {
            // The upstream answers, so the flow most likely continues through another host, which
            // counts it from now on.
            stopAwaitingAnswer(*record);
            return;
        }
        if (!pending.isRechecked) {
            pending.isRechecked = true;
            pending.deadline = now + recheckDelay;
            m_rechecks.push_back(std::move(pending));
            return;
        }
    }
    recordSilence(record->upstream, pending.flow, "opening_unanswered");
    stopAwaitingAnswer(*record);
    const route *route = m_routes.find(pending.flow);
    if (record->wasRetried || route == nullptr) {
        return; // later attempts are the caller's own retransmissions
    }
    record->wasRetried = true;
    record->previousUpstream = record->upstream;
    if (tryPlace(pending.flow, *record, *route, pending.openingPacket)
        == placement_outcome::placed) {
        m_output.count(entry_counter::flowsRepeated, 1);
    }
}

void entry_core::processDueAnswers(std::deque<pending_answer> &queue, monotonic_time now)
{
    while (!queue.empty() && queue.front().deadline <= now) {
        pending_answer pending = std::move(queue.front());
        queue.pop_front();
        retryUnanswered(std::move(pending));
    }
}

void entry_core::retryHeldFlows()
{
    const monotonic_time now = m_clock.monotonic();
    std::vector<held_flow> expired;
    std::vector<held_flow> unplaced;
    for (std::size_t step = 0; step < heldFlowsPerRetry; ++step) {
        std::optional<held_flow> next = m_heldFlows.pop(now, expired);
        if (!next) {
            break;
        }
        const route *route = m_routes.find(next->flow);
        flow_record *record = m_flows.find(next->flow);
        if (route == nullptr) {
            refuse(next->flow, "no_route");
        } else if (record != nullptr && record->phase == flow_phase::held) {
            const placement_outcome outcome = tryPlace(next->flow, *record, *route, next->packet);
            if (outcome == placement_outcome::placed) {
                m_output.observe(entry_distribution::held, now - next->heldAt);
            } else if (outcome == placement_outcome::saturated) {
                unplaced.push_back(std::move(*next));
            } else {
                refuse(next->flow, "no_upstream");
            }
        }
    }
    for (held_flow &item : unplaced) {
        enqueueHeld(std::move(item));
    }
    for (const held_flow &item : expired) {
        m_flows.erase(item.flow);
        m_output.count(entry_counter::flowsHeldTooLong, 1);
        m_output.logEvent("flow_dropped",
                          {{"flow", toText(item.flow)},
                           {"reason", "held_too_long"},
                           {"held_ms", toText(now - item.heldAt)}});
    }
}

void entry_core::tick()
{
    const monotonic_time now = m_clock.monotonic();
    processDueAnswers(m_pendingAnswers, now);
    processDueAnswers(m_rechecks, now);
    if (!m_heldFlows.isEmpty() && now >= m_nextHeldRetry) {
        m_nextHeldRetry = now + heldRetryInterval;
        retryHeldFlows();
    }
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        sweepFlows();
        m_directory.advance(now);
        if (now >= m_nextRosterSweep) {
            m_nextRosterSweep = now + rosterSweepInterval;
            sweepRoster();
        }
    }
}

void entry_core::sweepRoster()
{
    const monotonic_time now = m_clock.monotonic();
    m_roster.advance(now);
    for (const auto &[name, peer] : m_roster.peers()) {
        if (!m_roster.isAlive(peer, now) || now - peer.lastHeardAt > maxReportAge) {
            m_loads.dropReport(name);
        }
    }
}

void entry_core::sweepFlows()
{
    const monotonic_time now = m_clock.monotonic();
    const bool isStable = isRotationStable();
    const int factor = isStable ? idleTimeoutFactor : idleTimeoutFactorUnstable;
    const milliseconds minTimeout = isStable ? minIdleTimeout : minIdleTimeoutUnstable;
    m_flows.sweep(flowsPerSweep, [&](const flow_id &flow, flow_record &record) {
        const milliseconds idle = now - record.lastPacketAt;
        if (record.awaitsAnswer
            && idle > std::clamp(expectedTime(flow) * factor, minTimeout, maxIdleTimeout)) {
            stopAwaitingAnswer(record);
        }
        if (record.phase == flow_phase::closed || record.phase == flow_phase::opening) {
            if (idle > closedFlowLifetime) {
                stopAwaitingAnswer(record);
                return true;
            }
            return false;
        }
        if (idle > m_settings.flowLife) {
            stopAwaitingAnswer(record);
            return true;
        }
        return false;
    });
}

monotonic_time entry_core::nextDeadline() const
{
    monotonic_time next = m_nextSweep;
    if (!m_pendingAnswers.empty()) {
        next = std::min(next, m_pendingAnswers.front().deadline);
    }
    if (!m_rechecks.empty()) {
        next = std::min(next, m_rechecks.front().deadline);
    }
    if (!m_heldFlows.isEmpty()) {
        next = std::min(next, m_nextHeldRetry);
    }
    return next;
}

void entry_core::onFreeze(milliseconds gap)
{
    m_output.count(entry_counter::freezes, 1);
    const monotonic_time now = m_clock.monotonic();
    m_ignoreSilenceUntil = now + silenceGraceAfterFreeze;
    if (gap >= longFreezeThreshold) {
        m_isResuming = true;
        m_resumedAt = now;
    }
}

void entry_core::onViewConfirmed(monotonic_time asOf)
{
    if (asOf >= m_resumedAt) {
        m_isResuming = false;
    }
}

bool entry_core::isResuming() const
{
    return m_isResuming && m_clock.monotonic() - m_resumedAt < maxResumeTime;
}

void entry_core::onRecordChange(const record_change &change)
{
    const monotonic_time now = m_clock.monotonic();
    if (const auto *unreadable = std::get_if<record_change::unreadable>(&change.content)) {
        m_output.count(entry_counter::unreadableRecords, 1);
        m_output.logEvent("record_unreadable",
                          {{"name", change.name},
                           {"upstream", toHex(change.upstreamId)},
                           {"revision", std::to_string(change.revision)},
                           {"problem", unreadable->problem}});
    }
    if (change.kind == record_kind::config) {
        acceptConfig(change);
        return;
    }
    if (change.kind == record_kind::host) {
        m_roster.apply(change, now);
        return;
    }
    if (const auto *entry = std::get_if<upstream_record>(&change.content)) {
        const upstream_index previousIndex = m_directory.findTag(upstreamTag(entry->id));
        const bool isNewIncarnation = previousIndex == noUpstream
            || m_directory.at(previousIndex).entry.startedAtMs != entry->startedAtMs;
        m_directory.apply(change, now, milliseconds::zero());
        const upstream_index index = m_directory.findTag(upstreamTag(entry->id));
        if (isNewIncarnation && index != noUpstream) {
            m_loads.reset(index);
            m_health.reset(index);
        }
        m_output.logEvent("upstream_entry",
                          {{"upstream", toHex(entry->id)},
                           {"zone", entry->zone},
                           {"service", entry->service},
                           {"draining", entry->isDraining ? "1" : "0"},
                           {"cold_ms", toText(entry->coldFor)},
                           {"new_life", isNewIncarnation ? "1" : "0"},
                           {"revision", std::to_string(change.revision)}});
        return;
    }
    m_directory.apply(change, now, m_settings.heartbeat * 2);
    if (change.kind == record_kind::evacuation || change.kind == record_kind::upstream) {
        const bool isRemoved = std::holds_alternative<record_change::removed>(change.content);
        m_output.logEvent(change.kind == record_kind::evacuation ? "evacuation" : "upstream_gone",
                          {{"zone", change.name},
                           {"upstream", toHex(change.upstreamId)},
                           {"removed", isRemoved ? "1" : "0"},
                           {"revision", std::to_string(change.revision)}});
    }
}

void entry_core::acceptConfig(const record_change &change)
{
    const std::uint64_t previousVersion = configVersion();
    bool isAccepted = false;
    if (const auto *config = std::get_if<route_config>(&change.content)) {
        isAccepted = m_routes.accept(*config);
    } else if (const auto *patch = std::get_if<config_patch>(&change.content)) {
        isAccepted = m_routes.accept(*patch);
    }
    if (!isAccepted) {
        return;
    }
    m_output.count(entry_counter::configsAccepted, 1);
    m_output.logEvent("config_accepted",
                      {{"config", std::to_string(configVersion())},
                       {"before", std::to_string(previousVersion)},
                       {"revision", std::to_string(change.revision)},
                       {"routes", std::to_string(m_routes.config().routes.size())}});
}

void entry_core::onListing(const std::vector<record_change> &listing, std::uint64_t revision)
{
    for (const record_change &change : listing) {
        onRecordChange(change);
    }
    m_directory.retain(listing, revision, m_clock.monotonic());
    m_roster.retain(listing);
}

std::vector<record_change> entry_core::snapshot() const
{
    std::vector<record_change> records;
    record_change change;
    change.kind = record_kind::config;
    change.content = m_routes.config();
    records.push_back(change);
    m_directory.appendSnapshot(m_clock.monotonic(), records);
    m_roster.appendSnapshot(records);
    return records;
}

void entry_core::onPeerReport(const peer_report &report)
{
    m_output.count(entry_counter::peerMessagesReceived, 1);
    m_reports.onReport(report, m_clock.monotonic());
}

entry_state entry_core::state() const
{
    const monotonic_time now = m_clock.monotonic();
    entry_state result;
    result.configVersion = configVersion();
    for (const auto &[name, peer] : m_roster.peers()) {
        result.hostsAlive += m_roster.isAlive(peer, now) ? 1 : 0;
    }
    result.upstreams = m_directory.size();
    for (upstream_index index = 0; index < m_directory.size(); ++index) {
        result.ejected += m_health.isEjected(index) ? 1 : 0;
    }
    result.flowsHeld = m_heldFlows.size();
    return result;
}

std::optional<outgoing_report> entry_core::takeDueReport()
{
    std::optional<outgoing_report> due = m_reports.takeDue(m_clock.monotonic());
    if (due) {
        due->report.configVersion = configVersion();
    }
    return due;
}

} // namespace figstair
