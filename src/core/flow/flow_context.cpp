#include "figstair/core/flow/flow_context.h"

#include <algorithm>

namespace figstair {
namespace {

/// Latency target of a route that states none.
constexpr milliseconds defaultLatencyTarget{250};

/// Time after which the rotation, the set of hosts to which the platform's routers send packets,
/// counts as stable. It starts when this host starts or another one joins, restarts, starts to
/// leave or falls silent. The routers then send the packets of open flows to other hosts. Two
/// readiness checks, half a second apart, pass until all packets take the new route: 1 s, and a
/// margin.
constexpr milliseconds rotationSettleTime{1600};

} // namespace

milliseconds flow_context::latencyTargetOf(const flow_id &flow) const
{
    const route *route = routes.find(flow);
    return route != nullptr && route->latencyTarget.count() > 0 ? route->latencyTarget
                                                                : defaultLatencyTarget;
}

milliseconds flow_context::expectedTime(const flow_id &flow) const
{
    return serviceTimes.expectedAnswerTime(flow, latencyTargetOf(flow));
}

flow_record &flow_context::insertFlow(const flow_id &flow) const
{
    return flows.insert(flow, [this](flow_record &evicted) { stopAwaitingAnswer(evicted); });
}

void flow_context::startAwaitingAnswer(const flow_id &flow, flow_record &record) const
{
    record.awaitsAnswer = true;
    loads.addOpenRequest(record.upstream);
    const monotonic_time now = clock.monotonic();
    const upstream_record &upstream = directory.at(record.upstream).entry;
    openWork.remove(record.upstream, record.openWork);
    record.openWork =
        openWork.add(record.upstream, costs.classOf(routeKeyOf(flow), upstream.service, now),
                     double(loads.openRequests(record.upstream)) / upstream.slots,
                     now + serviceTimes.handshakeTime());
}

void flow_context::restartRequest(const flow_record &record) const
{
    openWork.restart(record.openWork, clock.monotonic() + serviceTimes.handshakeTime());
}

void flow_context::stopAwaitingAnswer(flow_record &record) const
{
    if (record.awaitsAnswer) {
        record.awaitsAnswer = false;
        loads.removeOpenRequest(record.upstream);
        openWork.remove(record.upstream, record.openWork);
        record.openWork = 0;
    }
}

bool flow_context::isRotationStable() const
{
    return clock.monotonic() - std::max(startedAt, roster.changedAt()) >= rotationSettleTime;
}

} // namespace figstair
