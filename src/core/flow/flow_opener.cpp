#include "figstair/core/flow/flow_opener.h"

#include <algorithm>
#include <cmath>

#include "figstair/core/hex_text.h"

namespace figstair {
namespace {

/// Maximum number of held flows of one rank of a service: one second of arrivals at a host under
/// the highest expected load.
constexpr std::size_t heldFlowsPerRank = 256;

/// Number of held flows of a service that one retry tries to place, and the interval between
/// retries. A slot of an upstream becomes free every few milliseconds.
constexpr std::size_t heldFlowsPerRetry = 8;
constexpr milliseconds heldRetryInterval{5};

/// Interval at which it is checked whether extended flows can still be served.
constexpr milliseconds reviewInterval{50};

/// Time constant of the mean utilization of a share, and the smallest share for which it counts.
constexpr double utilizationTimeMs = 500.0;
constexpr double minSharedSlots = 0.25;

std::string toText(milliseconds value)
{
    return std::to_string(value.count());
}

} // namespace

double flow_opener::queueLimitOf(place_in_queue place, const admission_request &request)
{
    switch (place) {
    case place_in_queue::first:
        return flow_admission::highestLimit(request);
    case place_in_queue::last:
        return flow_admission::leftoverLimit(request);
    case place_in_queue::regular:
        break;
    }
    return flow_admission::queueLimit(request);
}

flow_opener::flow_opener(const flow_context &context, silence_watch &silence,
                         dead_flow_resetter &deadFlows, std::uint64_t seed)
    : m_context(context)
    , m_silence(silence)
    , m_deadFlows(deadFlows)
    , m_refuser(context)
    , m_shares(context.directory, context.health, context.roster)
    , m_placer(context.directory, context.loads, context.health, context.roster, seed)
    , m_held(heldFlowsPerRank)
    , m_random(seed)
{
}

void flow_opener::onOpening(const flow_packet &packet, byte_view bytes)
{
    const route *route = m_context.routes.find(packet.flow);
    const monotonic_time now = m_context.clock.monotonic();
    // The acknowledgement number of a SYN holds its retransmission count.
    const std::size_t count = flow_refuser::scheduleIndex(packet.acknowledged);
    flow_record *existing = m_context.flows.find(packet.flow);
    if (route == nullptr) {
        const bool wasPlacedHere = existing != nullptr && existing->wasForwarded
            && existing->openingSequence == packet.sequence;
        // By a newer configuration, another host may have placed an earlier copy, or this host may
        // soon be able to place a later one.
        const bool mayBeAdded = count > 0 || m_context.configCurrency.isCatchingUp(now);
        if (!wasPlacedHere && mayBeAdded) {
            m_context.output.count(entry_counter::packetsAwaitingConfig, 1);
        } else {
            m_refuser.refuseWithoutRoute(packet.flow);
        }
        return;
    }
    if (existing != nullptr && existing->openingSequence != packet.sequence) {
        m_context.stopAwaitingAnswer(*existing);
        m_context.flows.erase(packet.flow);
        existing = nullptr;
    }
    flow_record &record = existing != nullptr ? *existing : m_context.insertFlow(packet.flow);
    if (existing == nullptr) {
        record.openingSequence = packet.sequence;
        record.firstOpeningAt = now - flow_refuser::ageAtOpening(count);
        m_deadFlows.onOpening(packet.flow);
        if (count == 0) {
            const std::string &service = m_context.routes.serviceFor(*route, packet.flow);
            m_shares.onArrival(now);
            m_admission.onArrival(service, route->priority, now);
            m_callerShares[service].onArrival(packet.flow.callerAddress, now);
        }
    }
    record.openingsSeen |= static_cast<std::uint8_t>(1U << count);
    record.lastPacketAt = now;
    if (existing != nullptr && record.phase != flow_phase::opening
        && record.phase != flow_phase::dropped) {
        return; // already held, or a late duplicate SYN of an established or closed flow
    }
    if (record.wasForwarded) {
        // The caller has received no SYN-ACK.
        m_context.stopAwaitingAnswer(record);
        record.previousUpstream = record.upstream;
    }
    admit(packet.flow, record, *route, bytes);
}

void flow_opener::repeat(const unanswered_opening &opening)
{
    flow_record *record = m_context.flows.find(opening.flow);
    const route *route = m_context.routes.find(opening.flow);
    if (record == nullptr || route == nullptr) {
        return;
    }
    record->wasRetried = true;
    record->previousUpstream = record->upstream;
    // The flow was sent to an upstream that does not answer, and has waited for that.
    if (tryPlace(opening.flow, *record, *route, opening.packet, place_in_queue::first).outcome
        == placement_outcome::placed) {
        m_context.output.count(entry_counter::flowsRepeated, 1);
    }
}

admission_request flow_opener::requestFor(const flow_id &flow, const flow_record &record,
                                          const route &route, const std::string &service) const
{
    return admission_request{service,
                             route.priority,
                             route.priority <= m_context.routes.mostUrgentPriority(service),
                             m_context.clock.monotonic() - record.firstOpeningAt,
                             m_context.latencyTargetOf(flow),
                             m_context.expectedTime(flow),
                             m_context.serviceTimes.handshakeTime()};
}

std::optional<placement_work> flow_opener::workFor(const flow_id &flow,
                                                   const std::string &service) const
{
    const work_class requests =
        m_context.costs.classOf(routeKeyOf(flow), service, m_context.clock.monotonic());
    if (!m_context.costs.actsOn(requests)) {
        return std::nullopt;
    }
    return placement_work{m_context.openWork, std::max(1.0, m_context.costs.expected(requests)),
                          m_context.costs.serviceMean(requests)};
}

placement_result flow_opener::tryPlace(const flow_id &flow, flow_record &record, const route &route,
                                       byte_view bytes, place_in_queue place)
{
    const std::string &service = m_context.routes.serviceFor(route, flow);
    const admission_request request = requestFor(flow, record, route, service);
    const monotonic_time now = m_context.clock.monotonic();
    const slot_share &share = m_shares.of(service, now);
    const double freeLimit = flow_admission::freeLimit(request);
    const double queueLimit = queueLimitOf(place, request);
    // While the rotation changes, demand differs from host to host in ways that are not known yet.
    const bool areSharesFair = m_context.isRotationStable();
    const bool isShareFull = areSharesFair && share.slots > 0
        && m_context.loads.ownOpenRequestsOf(service) + 1 > std::max(1.0, share.slots * queueLimit);
    const std::optional<placement_work> work = workFor(flow, service);
    const placement_work *const usedWork = work ? &*work : nullptr;
    const placement_result choice = m_placer.choose(
        placement_request{service, coldFlowsPerSecond(service),
                          isShareFull ? std::min(freeLimit, queueLimit) : queueLimit,
                          record.previousUpstream, request.answerTime, &share,
                          updateUtilization(service, share),
                          areSharesFair ? std::min(freeLimit, queueLimit) : queueLimit, usedWork},
        now);
    if (choice.outcome == placement_outcome::placed) {
        forward(flow, record, bytes, choice, usedWork);
    } else if (choice.outcome == placement_outcome::saturated) {
        m_context.costs.onSaturated(m_context.costs.classOf(routeKeyOf(flow), service, now), now);
    }
    return choice;
}

void flow_opener::admit(const flow_id &flow, flow_record &record, const route &route,
                        byte_view bytes)
{
    const std::string &service = m_context.routes.serviceFor(route, flow);
    const admission_request request = requestFor(flow, record, route, service);
    const held_rank rank{!flow_admission::canMeetTarget(request), route.priority};
    const bool isOverShare = exceedsCallerShare(flow, request);
    bool hasFreeSlot = false;
    if (!m_held.hasRankOrBefore(service, rank)) {
        const placement_result result =
            tryPlace(flow, record, route, bytes,
                     isOverShare ? place_in_queue::last : place_in_queue::regular);
        if (result.outcome == placement_outcome::placed) {
            return;
        }
        hasFreeSlot = result.hasFreeSlot;
        if (result.outcome == placement_outcome::noneUsable) {
            refuseOrDrop(flow, record, "no_upstream", admission_verdict{});
            return;
        }
    }
    if (isOverShare) {
        refuseOrDrop(flow, record, "caller_over_share", admission_verdict{}, hasFreeSlot);
        return;
    }
    const service_backlog backlog = backlogFor(request, rank, flow.callerAddress);
    const admission_verdict verdict =
        m_admission.decide(request, backlog, m_context.clock.monotonic());
    if (verdict.outcome == admission_outcome::refuse) {
        refuseOrDrop(flow, record, "overloaded", verdict, hasFreeSlot);
    } else {
        enqueue(flow, record, request, verdict, {bytes.begin(), bytes.end()});
    }
}

void flow_opener::enqueue(const flow_id &flow, flow_record &record,
                          const admission_request &request, const admission_verdict &verdict,
                          std::vector<std::uint8_t> bytes)
{
    const monotonic_time now = m_context.clock.monotonic();
    const bool isExtended = verdict.outcome == admission_outcome::holdExtended;
    // After an outage, an extended flow is held among those that can meet their target as long as
    // it can itself. Otherwise they would all wait behind it until none meets its target.
    const bool isLate =
        !flow_admission::canMeetTarget(request) || (isExtended && m_context.isRotationStable());
    const milliseconds maxWait = isExtended && !isLate
        ? std::min(verdict.maxWait, flow_admission::timeToMeetTarget(request) + milliseconds(1))
        : verdict.maxWait;
    const held_rank rank{isLate, request.priority};
    record.phase = flow_phase::held;
    record.holdNumber = ++m_lastHoldNumber;
    m_context.output.count(entry_counter::flowsHeld, 1);
    m_context.output.logEvent("flow_held",
                              {{"flow", toText(flow)},
                               {"service", request.service},
                               {"late", isLate ? "1" : "0"},
                               {"extended", isExtended ? "1" : "0"},
                               {"age_ms", toText(request.age)},
                               {"held", std::to_string(m_held.size())},
                               {"predicted_ms", toText(verdict.predictedWait)},
                               {"most_ms", toText(maxWait)}});
    const auto dropped = m_held.push(held_flow{flow, request.service, std::move(bytes), rank,
                                               record.holdNumber, isExtended, now, now + maxWait});
    if (dropped) {
        if (flow_record *droppedRecord = recordOf(*dropped)) {
            refuseOrDrop(dropped->flow, *droppedRecord, "too_many_held", verdict);
        }
    }
}

void flow_opener::refuseOrDrop(const flow_id &flow, flow_record &record, std::string_view reason,
                               const admission_verdict &verdict, bool hasFreeSlot)
{
    const route *route = m_context.routes.find(flow);
    const std::string service =
        route == nullptr ? std::string() : m_context.routes.serviceFor(*route, flow);
    const monotonic_time now = m_context.clock.monotonic();
    m_refuser.refuseOrDrop(flow, record,
                           refusal{reason, service, verdict,
                                   m_admission.arrivalsPerSecond(service, leastUrgentPriority, now),
                                   m_shares.of(service, now).slots, hasFreeSlot});
}

bool flow_opener::exceedsCallerShare(const flow_id &flow, const admission_request &request)
{
    const double probability = m_callerShares[request.service].admissionProbability(
        flow.callerAddress, requestsPerSecond(request), m_context.clock.monotonic());
    return probability < std::uniform_real_distribution<double>(0, 1)(m_random);
}

void flow_opener::forward(const flow_id &flow, flow_record &record, byte_view bytes,
                          const placement_result &choice, const placement_work *work)
{
    const monotonic_time now = m_context.clock.monotonic();
    const known_upstream &upstream = m_context.directory.at(choice.upstream);
    const unsigned open = m_context.loads.openRequests(choice.upstream);
    const double workMs = work == nullptr ? 0 : work->outstanding.of(choice.upstream, now);
    record.phase = flow_phase::opening;
    record.wasForwarded = true;
    record.upstream = choice.upstream;
    record.upstreamTag = upstream.tag;
    record.openingSentAt = now;
    record.requestSentAt = now;
    record.lastPacketAt = now;
    record.requestsPerSlot =
        std::max(1.0F, static_cast<float>(open + 1) / static_cast<float>(upstream.entry.slots));
    m_context.startAwaitingAnswer(flow, record);
    m_silence.expectAnswer(flow, bytes);
    m_context.output.count(entry_counter::flowsPlaced, 1);
    if (choice.reason != "least_load") {
        m_context.output.count(
            choice.reason == "trial" ? entry_counter::trialsSent : entry_counter::coldFlowsSent, 1);
    }
    const auto logPlaced = [&](const auto &...workFields) {
        m_context.output.logEvent(
            "flow_placed",
            {{"flow", toText(flow)},
             {"upstream", toHex(upstream.entry.id)},
             {"zone", upstream.entry.zone},
             {"reason", std::string(choice.reason)},
             {"open", std::to_string(open)},
             {"own_open", std::to_string(m_context.loads.ownOpenRequests(choice.upstream))},
             {"copy", record.openingsSeen > 1 ? "1" : "0"},
             {"repeat", record.wasRetried ? "1" : "0"},
             {"entry_revision", std::to_string(upstream.revision)},
             {"config", std::to_string(m_context.configVersion())},
             workFields...});
    };
    if (work == nullptr) {
        logPlaced();
    } else {
        using event_field = event_fields::value_type;
        logPlaced(event_field{"work_ms", std::to_string(std::lround(workMs))},
                  event_field{"expected_ms", std::to_string(std::lround(work->expected))});
        m_context.output.count(entry_counter::flowsPlacedByWork,
                               choice.reason == "least_load" ? 1 : 0);
    }
    m_context.output.forward(bytes, upstream);
}

void flow_opener::retryHeld()
{
    const monotonic_time now = m_context.clock.monotonic();
    if (m_held.isEmpty() || now < m_nextRetry) {
        return;
    }
    m_nextRetry = now + heldRetryInterval;
    const bool isReviewDue = now >= m_nextReview;
    for (const std::string &service : m_held.services()) {
        placeHeld(service);
        if (isReviewDue) {
            reviewExtended(service);
        }
    }
    if (isReviewDue) {
        m_nextReview = now + reviewInterval;
    }
    reconsiderExpired();
}

flow_record *flow_opener::recordOf(const held_flow &item)
{
    flow_record *record = m_context.flows.find(item.flow);
    const bool isHeld =
        record != nullptr && record->phase == flow_phase::held && record->holdNumber == item.number;
    return isHeld ? record : nullptr;
}

void flow_opener::placeHeld(const std::string &service)
{
    const monotonic_time now = m_context.clock.monotonic();
    for (std::size_t step = 0; step < heldFlowsPerRetry; ++step) {
        const held_flow *next = m_held.front(service);
        if (next == nullptr) {
            return;
        }
        const route *route = m_context.routes.find(next->flow);
        flow_record *record = recordOf(*next);
        if (record == nullptr) {
            m_held.pop(service);
            continue;
        }
        if (route == nullptr) {
            m_refuser.refuseWithoutRoute(m_held.pop(service).flow);
            continue;
        }
        const placement_outcome outcome =
            tryPlace(next->flow, *record, *route, next->packet, place_in_queue::regular).outcome;
        if (outcome == placement_outcome::saturated) {
            return;
        }
        const held_flow item = m_held.pop(service);
        if (outcome == placement_outcome::placed) {
            m_context.output.observe(entry_distribution::held, now - item.heldAt);
            if (item.isExtended) {
                m_admission.onExtendedPlaced(service, now);
            }
        } else {
            refuseOrDrop(item.flow, *record, "no_upstream", admission_verdict{});
        }
    }
}

/// Flows that were not placed in the expected time may be held longer.
void flow_opener::reconsiderExpired()
{
    const monotonic_time now = m_context.clock.monotonic();
    for (held_flow &item : m_held.takeExpired(now)) {
        const route *route = m_context.routes.find(item.flow);
        flow_record *record = recordOf(item);
        if (record == nullptr) {
            continue;
        }
        m_context.output.count(entry_counter::flowsHeldTooLong, 1);
        if (route == nullptr) {
            m_refuser.refuseWithoutRoute(item.flow);
            continue;
        }
        const admission_request request = requestFor(item.flow, *record, *route, item.service);
        const held_rank rank{!flow_admission::canMeetTarget(request), route->priority};
        const service_backlog backlog{m_held.aheadOf(item.service, rank, item.flow.callerAddress),
                                      requestsPerSecond(request)};
        const admission_verdict verdict = m_admission.decideExtended(request, backlog, now);
        if (verdict.outcome == admission_outcome::holdExtended) {
            enqueue(item.flow, *record, request, verdict, std::move(item.packet));
        } else {
            refuseOrDrop(item.flow, *record, "held_too_long", verdict);
        }
    }
}

/// The load has risen since extended flows were held: refuses those that it leaves no capacity for.
void flow_opener::reviewExtended(const std::string &service)
{
    const monotonic_time now = m_context.clock.monotonic();
    const milliseconds oldestWait = m_held.oldestExtendedWait(service, now);
    const bool isAfterOutage = !m_context.isRotationStable();
    std::size_t ahead = m_held.aheadOf(service, held_rank{false, leastUrgentPriority}, 0);
    const auto isHopeless = [&](const held_flow &item) {
        const route *route = m_context.routes.find(item.flow);
        const flow_record *record = recordOf(item);
        if (route == nullptr || record == nullptr || !m_refuser.mayBeRefused(*record)) {
            return false;
        }
        const admission_request request = requestFor(item.flow, *record, *route, service);
        const service_backlog backlog{ahead++, requestsPerSecond(request), oldestWait,
                                      isAfterOutage};
        return m_admission.decideExtended(request, backlog, now).outcome
            == admission_outcome::refuse;
    };
    for (const held_flow &item : m_held.takeExtendedIf(service, isHopeless)) {
        if (flow_record *record = recordOf(item)) {
            refuseOrDrop(item.flow, *record, "overloaded", admission_verdict{});
        }
    }
}

double flow_opener::updateUtilization(const std::string &service, const slot_share &share)
{
    const monotonic_time now = m_context.clock.monotonic();
    utilization &recent = m_utilizations[service];
    const double current =
        m_context.loads.ownOpenRequestsOf(service) / std::max(minSharedSlots, share.slots);
    const double elapsed = double((now - recent.updatedAt).count());
    recent.mean = current + (recent.mean - current) * std::exp(-elapsed / utilizationTimeMs);
    recent.updatedAt = now;
    return recent.mean;
}

service_backlog flow_opener::backlogFor(const admission_request &request, held_rank rank,
                                        std::uint32_t caller)
{
    return service_backlog{m_held.aheadOf(request.service, rank, caller),
                           requestsPerSecond(request),
                           m_held.oldestExtendedWait(request.service, m_context.clock.monotonic()),
                           !m_context.isRotationStable()};
}

double flow_opener::requestsPerSecond(const admission_request &request)
{
    const slot_share &share = m_shares.of(request.service, m_context.clock.monotonic());
    return share.slots * 1000.0 / flow_admission::workTime(request);
}

unsigned flow_opener::newFlowsPerSecond() const
{
    return static_cast<unsigned>(
        std::lround(m_shares.newFlowsPerSecond(m_context.clock.monotonic())));
}

unsigned flow_opener::coldFlowsPerSecond(const std::string &service) const
{
    const service_limits limits = m_context.routes.limitsOf(service);
    const double ratePerSecond = limits.coldRequestsPerSecond * m_context.settings.coldOvershoot
        + m_context.settings.coldSlack;
    // Halved, so that two hosts that both consider themselves the owner stay within the rate
    // together.
    return static_cast<unsigned>(std::max(0.0, ratePerSecond / 2));
}

monotonic_time flow_opener::nextDeadline() const
{
    return m_held.isEmpty() ? monotonic_time::max() : m_nextRetry;
}

} // namespace figstair
