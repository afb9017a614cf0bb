#include "figstair/core/load/flow_reuse.h"

namespace figstair {
namespace {

/// Both counts are halved when one reaches this, so that the ratio follows a change of behaviour.
constexpr std::uint32_t maxCount = 1024;

/// Requests before the ratio is judged, and the least ratio of requests to flows. Flows that move
/// between hosts make the ratio of single-request routes vary around 1.
constexpr std::uint32_t minRequests = 20;
constexpr double minRequestsPerFlow = 1.5;

/// Routes whose counts are kept: twice those of the target size.
constexpr std::size_t maxRoutes = 32768;

} // namespace

flow_reuse::counts *flow_reuse::countsFor(const flow_id &flow)
{
    const auto found = m_routes.find(routeKeyOf(flow));
    if (found != m_routes.end()) {
        return &found->second;
    }
    return m_routes.size() < maxRoutes ? &m_routes[routeKeyOf(flow)] : nullptr;
}

void flow_reuse::halveIfLarge(counts &item)
{
    if (item.openings >= maxCount || item.requests >= maxCount) {
        item.openings /= 2;
        item.requests /= 2;
    }
}

void flow_reuse::onOpening(const flow_id &flow)
{
    if (counts *item = countsFor(flow)) {
        ++item->openings;
        halveIfLarge(*item);
    }
}

void flow_reuse::onRequest(const flow_id &flow)
{
    if (counts *item = countsFor(flow)) {
        ++item->requests;
        halveIfLarge(*item);
    }
}

bool flow_reuse::carriesSeveralRequests(const flow_id &flow) const
{
    const auto found = m_routes.find(routeKeyOf(flow));
    return found != m_routes.end() && found->second.requests >= minRequests
        && found->second.requests >= minRequestsPerFlow * found->second.openings;
}

} // namespace figstair
