#include "figstair/core/flow_placer.h"

#include <algorithm>

namespace figstair {
namespace {

/// Upstreams looked at for one flow: all of a small service; of a large one a random run, which
/// finds a nearly idle one as power-of-d choices does.
constexpr std::size_t mostLookedAtLocally = 24;
constexpr std::size_t mostLookedAtElsewhere = 12;

/// Cost of leaving the zone, in units of one request's time. Keeps flows local while local
/// upstreams have free slots: a flow to another zone is lost when the zones are cut from each
/// other.
constexpr double otherZoneCost = 0.35;

/// Cost of an upstream that is under suspicion: more than any queue that is still worth waiting in.
constexpr double suspicionCost = 20.0;

/// Cost of a zone of which no host can be heard.
constexpr double unreachedZoneCost = 40.0;

/// Among upstreams with a free slot, the emptier one is better by this share of a request's time.
constexpr double fillCost = 0.3;

/// Window of the allowance of cold upstreams.
constexpr milliseconds coldWindow{1000};

} // namespace

flow_placer::flow_placer(upstream_directory &directory, const load_board &loads,
                         upstream_health &health, const peer_roster &roster, std::uint64_t seed)
    : m_directory(directory)
    , m_loads(loads)
    , m_health(health)
    , m_roster(roster)
    , m_random(seed)
{
}

bool flow_placer::isSlotFree(upstream_index upstream) const
{
    return m_loads.open(upstream) < m_directory.at(upstream).entry.slots;
}

double flow_placer::expectedFill(upstream_index upstream) const
{
    const double slots = m_directory.at(upstream).entry.slots;
    const double own = m_loads.ownOpen(upstream) / slots;
    const double others = m_loads.open(upstream) / slots - own;
    return own + m_meanOthersFill + m_reportWeight * (others - m_meanOthersFill);
}

void flow_placer::consider(const looked_at &item, const placement_request &request,
                           monotonic_time now)
{
    const upstream_index upstream = item.upstream;
    const known_upstream &known = m_directory.at(upstream);
    m_sawListed = true;
    if (upstream == request.excluded) {
        return;
    }
    if (now < known.coldUntil) {
        considerCold(upstream, request, item.isLocal, now);
        return;
    }
    const placement_eligibility right = m_health.eligibilityOf(upstream, now);
    if (right == placement_eligibility::none) {
        return;
    }
    const bool isTrial = right == placement_eligibility::trial;
    if (isTrial
        && (request.excluded != noUpstream
            || !m_roster.owns(known.entry.id, known.entry.zone, now))) {
        return;
    }
    const double fill = expectedFill(upstream);
    const double after = fill + 1.0 / known.entry.slots;
    if (after > std::max(request.queueFactor, 1.0)) {
        return;
    }
    double cost = m_loads.slowness(upstream, now) * std::max(1.0, after) + fillCost * fill;
    cost += item.isLocal ? 0.0 : otherZoneCost;
    cost += item.isZoneReached ? 0.0 : unreachedZoneCost;
    cost += right == placement_eligibility::lastResort ? suspicionCost : 0.0;
    if (isTrial) {
        // A due trial goes ahead of everything else; its flow is repeated elsewhere if it fails.
        cost = -1.0;
    }
    if (m_best.upstream == noUpstream || cost < m_best.cost) {
        m_best = best_choice{upstream, cost, isTrial};
    }
}

void flow_placer::considerCold(upstream_index upstream, const placement_request &request,
                               bool isLocal, monotonic_time now)
{
    const known_upstream &known = m_directory.at(upstream);
    if (request.coldPerSecond == 0
        || m_health.eligibilityOf(upstream, now) == placement_eligibility::none
        || !m_roster.owns(known.entry.id, known.entry.zone, now)) {
        return;
    }
    const auto sent = m_coldSent.find(known.entry.id);
    if (sent != m_coldSent.end()) {
        std::deque<monotonic_time> &times = sent->second;
        while (!times.empty() && now - times.front() > coldWindow) {
            times.pop_front();
        }
        if (times.size() >= request.coldPerSecond) {
            return;
        }
    }
    const double cost = m_loads.open(upstream) + (isLocal ? 0.0 : otherZoneCost);
    if (m_cold.upstream == noUpstream || cost < m_cold.cost) {
        m_cold = best_choice{upstream, cost, false};
    }
}

void flow_placer::lookAt(const placement_request &request, monotonic_time now)
{
    m_lookedAt.clear();
    const std::uint16_t ownZone = m_directory.zoneNumber(m_roster.self().zone);
    double others = 0;
    for (std::size_t number = 0; number < m_directory.zoneCount(); ++number) {
        const auto zone = static_cast<std::uint16_t>(number);
        const boost::span<const upstream_index> list =
            m_directory.candidates(request.service, zone);
        if (list.empty()) {
            continue;
        }
        const bool isLocal = zone == ownZone;
        const bool isReached = m_roster.isZoneReachable(m_directory.zoneName(zone), now);
        const std::size_t most = isLocal ? mostLookedAtLocally : mostLookedAtElsewhere;
        const std::size_t first = m_random() % list.size();
        for (std::size_t step = 0; step < std::min(most, list.size()); ++step) {
            const upstream_index upstream = list[(first + step) % list.size()];
            m_lookedAt.push_back(looked_at{upstream, isLocal, isReached});
            others += double(m_loads.open(upstream) - m_loads.ownOpen(upstream))
                / m_directory.at(upstream).entry.slots;
        }
    }
    m_meanOthersFill = m_lookedAt.empty() ? 0 : others / double(m_lookedAt.size());
    const auto cycle = static_cast<double>(m_roster.reportCycle(true).count());
    m_reportWeight = std::min(1.0, double(request.expectedTime.count()) / cycle);
}

placement_result flow_placer::choose(const placement_request &request, monotonic_time now)
{
    m_best = best_choice{};
    m_cold = best_choice{};
    m_sawListed = false;
    lookAt(request, now);
    for (const looked_at &item : m_lookedAt) {
        consider(item, request, now);
    }
    if (m_best.upstream != noUpstream
        && (m_cold.upstream == noUpstream || isSlotFree(m_best.upstream))) {
        if (m_best.isTrial) {
            m_health.onTrialSent(m_best.upstream, now);
        }
        return {placement_outcome::placed, m_best.upstream,
                m_best.isTrial ? "trial" : "least_load"};
    }
    if (m_cold.upstream != noUpstream) {
        m_coldSent[m_directory.at(m_cold.upstream).entry.id].push_back(now);
        return {placement_outcome::placed, m_cold.upstream, "cold_allowance"};
    }
    return {m_sawListed ? placement_outcome::saturated : placement_outcome::noneUsable, noUpstream,
            m_sawListed ? "all_full" : "none_usable"};
}

} // namespace figstair
