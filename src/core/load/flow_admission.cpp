#include "figstair/core/load/flow_admission.h"

#include <algorithm>
#include <cmath>

namespace figstair {
namespace {

/// Share of the slack, the time that is left until the latency target beyond what the request takes
/// by itself, that a request may wait in the queue of its upstream. The rest is for work that takes
/// longer than the mean, the time held, and tries that were refused before.
constexpr double queueShareOfSlack = 0.25;

/// Bounds of the requests that may wait at an upstream, per slot. Below the minimum, slots would be
/// idle between two requests; the maximum bounds what piles up where times are short against the
/// target.
constexpr double minQueuedPerSlot = 0.5;
constexpr double maxQueuedPerSlot = 3.0;

/// Requests per slot that less urgent flows leave to urgent ones in the queue of an upstream.
constexpr double urgentReserve = 0.5;

/// Share of an upstream's slots up to which it takes flows that get only what others leave.
constexpr double leftoverShare = 0.9;

/// Share of the latency target that a flow may be held. A refused caller may try again at once, so
/// several tries have to fit into the target. Flows of the most urgent routes find room sooner.
constexpr double holdShareOfTarget = 0.1;
constexpr double urgentHoldShareOfTarget = 0.15;

/// Callers give up an attempt that is not answered within 1.4 s of its first SYN. A flow is placed
/// at least this long before, so that the answer of the upstream arrives in time.
constexpr milliseconds attemptLifetime{1400};
constexpr milliseconds openingTime{150};

/// Extended flows are held on the assumption that all capacity is left for them until the first has
/// waited this long. If less than this share of the capacity turns out to be left, they are
/// refused, until none came for some time.
constexpr milliseconds observationTime{150};
constexpr milliseconds observationTimeAfterOutage{1000};
constexpr double minSpareShare = 0.3;
constexpr milliseconds noSpareTime{500};

/// Time over which arrivals and placed extended flows are averaged.
constexpr milliseconds rateMeanTime{300};
constexpr milliseconds minRateTime{30};

constexpr double maxPredictedWaitMs = 60'000;

milliseconds waitFor(double flows, double flowsPerSecond)
{
    const double waitMs =
        flowsPerSecond <= 0 ? maxPredictedWaitMs : flows * 1000.0 / flowsPerSecond;
    return milliseconds(std::llround(std::min(waitMs, maxPredictedWaitMs)));
}

} // namespace

flow_admission::service_state &flow_admission::stateOf(const std::string &service)
{
    return m_services
        .try_emplace(service,
                     service_state{{}, event_rate(rateMeanTime, minRateTime), monotonic_time{}})
        .first->second;
}

void flow_admission::onArrival(const std::string &service, unsigned priority, monotonic_time now)
{
    stateOf(service)
        .arrivals.try_emplace(priority, event_rate(rateMeanTime, minRateTime))
        .first->second.add(now);
}

void flow_admission::onExtendedPlaced(const std::string &service, monotonic_time now)
{
    stateOf(service).extendedPlaced.add(now);
}

double flow_admission::arrivalsPerSecond(const std::string &service, unsigned priority,
                                         monotonic_time now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return 0;
    }
    double sum = 0;
    for (const auto &[other, rate] : found->second.arrivals) {
        sum += other <= priority ? rate.perSecond(now) : 0;
    }
    return sum;
}

double flow_admission::workTime(const admission_request &request)
{
    // The answer takes as long as a handshake on the network.
    const double answerMs = double(request.answerTime.count());
    const double workMs = answerMs - double(request.handshakeTime.count());
    return std::max({1.0, workMs, answerMs / 2});
}

double flow_admission::freeLimit(const admission_request &request)
{
    return 1.0 + 2.0 * double(request.handshakeTime.count()) / workTime(request);
}

milliseconds flow_admission::timeToMeetTarget(const admission_request &request)
{
    return request.latencyTarget - request.age - request.handshakeTime - request.answerTime;
}

bool flow_admission::canMeetTarget(const admission_request &request)
{
    return timeToMeetTarget(request) >= milliseconds::zero();
}

double flow_admission::highestLimit(const admission_request &request)
{
    return freeLimit(request) + maxQueuedPerSlot;
}

double flow_admission::leftoverLimit(const admission_request &request)
{
    return freeLimit(request) * leftoverShare;
}

double flow_admission::queueLimit(const admission_request &request)
{
    if (!canMeetTarget(request)) {
        return leftoverLimit(request);
    }
    const double queued =
        double(timeToMeetTarget(request).count()) * queueShareOfSlack / workTime(request)
        - (request.isMostUrgent ? 0.0 : urgentReserve);
    return freeLimit(request) + std::clamp(queued, minQueuedPerSlot, maxQueuedPerSlot);
}

admission_verdict flow_admission::decide(const admission_request &request,
                                         const service_backlog &backlog, monotonic_time now)
{
    if (canMeetTarget(request)) {
        const double moreUrgent = request.priority == 0
            ? 0.0
            : arrivalsPerSecond(request.service, request.priority - 1, now);
        const double holdShare = request.isMostUrgent ? urgentHoldShareOfTarget : holdShareOfTarget;
        const admission_verdict soon{
            admission_outcome::hold,
            waitFor(double(backlog.ahead + 1), backlog.requestsPerSecond - moreUrgent),
            milliseconds(std::llround(double(request.latencyTarget.count()) * holdShare))};
        if (soon.predictedWait <= soon.maxWait) {
            return soon;
        }
    }
    return decideExtended(request, backlog, now);
}

admission_verdict flow_admission::decideExtended(const admission_request &request,
                                                 const service_backlog &backlog, monotonic_time now)
{
    service_state &state = stateOf(request.service);
    // What is left for extended flows shows in how fast the held ones are placed.
    const bool isObserved = backlog.oldestExtendedWait
        >= (backlog.isAfterOutage ? observationTimeAfterOutage : observationTime);
    const double observed = state.extendedPlaced.perSecond(now);
    if (isObserved && observed < backlog.requestsPerSecond * minSpareShare) {
        state.noSpareUntil = now + noSpareTime;
    }
    double rate = isObserved ? observed : backlog.requestsPerSecond;
    if (now < state.noSpareUntil) {
        rate = 0;
        state.noSpareUntil = now + noSpareTime;
    }
    admission_verdict extended;
    extended.predictedWait = waitFor(double(backlog.ahead + 1), rate);
    extended.maxWait = std::max(milliseconds::zero(), attemptLifetime - openingTime - request.age);
    extended.outcome = extended.predictedWait < extended.maxWait ? admission_outcome::holdExtended
                                                                 : admission_outcome::refuse;
    return extended;
}

} // namespace figstair
