#include "figstair/core/flow/flow_placer.h"

#include <algorithm>

namespace figstair {
namespace {

/// Maximum number of upstreams compared for one flow: all of a small service, a random run of a
/// large one. The run finds a nearly idle upstream as power-of-d-choices does.
constexpr std::size_t maxLocalCandidates = 24;
constexpr std::size_t maxCandidatesPerOtherZone = 12;

/// Cost of an upstream in another zone, in units of one request's time; for a cold upstream it is
/// added to the number of open requests. It keeps flows local while local upstreams have free
/// slots: a flow to another zone is lost when the zones are partitioned.
constexpr double otherZoneCost = 0.35;

/// Cost of an upstream outside this host's share, in units of one request's time.
constexpr double otherShareCost = 0.2;

/// Cost of a suspected upstream: higher than that of any queue that is still worth waiting in.
constexpr double suspicionCost = 20.0;

/// Cost of an upstream in a zone none of whose hosts can be reached.
constexpr double unreachableZoneCost = 40.0;

/// Cost of each open request, or of as much work, per slot, in units of one request's time. It
/// makes the less loaded of two upstreams with a free slot preferred.
constexpr double requestsPerSlotCost = 0.3;

/// Where the work of requests varies, an upstream with a measured slowness below this is most
/// likely not slow: one heavy request, or a short one behind it, raises the measured slowness by as
/// much.
constexpr double slownessOfWork = 2.5;

/// Outstanding work per slot, in units of the new request's work, counts as less than this: with
/// more, a queue of long requests would cost a short one more than suspicionCost.
constexpr double maxOutstanding = 14.0;

/// Returns @p outstanding, from half of maxOutstanding compressed to stay below it. Keeps the
/// order.
double bounded(double outstanding)
{
    constexpr double half = maxOutstanding / 2;
    return outstanding <= half ? outstanding : maxOutstanding - half * half / outstanding;
}

/// Window over which the flows sent to a cold upstream are counted.
constexpr milliseconds coldRateWindow{1000};

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

bool flow_placer::hasFreeSlot(upstream_index upstream) const
{
    return m_loads.openRequests(upstream) < m_directory.at(upstream).entry.slots;
}

double flow_placer::expectedRequestsPerSlot(const placement_candidate &candidate,
                                            const placement_request &request) const
{
    const double slots = m_directory.at(candidate.upstream).entry.slots;
    const double own = m_loads.ownOpenRequests(candidate.upstream) / slots;
    const double peers = m_loads.openRequests(candidate.upstream) / slots - own;
    const double expectedPeers = candidate.homeSlots > 0
        ? (1.0 - std::min(1.0, candidate.homeSlots / slots)) * request.ownUtilization
        : m_meanPeerRequestsPerSlot;
    return own + expectedPeers + m_peerDifferenceWeight * (peers - expectedPeers);
}

/// What decides between upstreams, in units of the new request: open requests per slot, or
/// outstanding work per slot.
double flow_placer::outstandingPerSlot(const placement_candidate &candidate,
                                       const placement_request &request, double requestsPerSlot,
                                       monotonic_time now) const
{
    if (request.work == nullptr) {
        return requestsPerSlot;
    }
    const double slots = m_directory.at(candidate.upstream).entry.slots;
    const double peerRequests =
        std::max(0.0, requestsPerSlot - m_loads.ownOpenRequests(candidate.upstream) / slots);
    return bounded((request.work->outstanding.of(candidate.upstream, now) / slots
                    + peerRequests * request.work->serviceMean)
                   / request.work->expected);
}

void flow_placer::evaluate(const placement_candidate &candidate, const placement_request &request,
                           monotonic_time now)
{
    const upstream_index upstream = candidate.upstream;
    const known_upstream &known = m_directory.at(upstream);
    m_hasCandidates = true;
    if (upstream == request.excluded) {
        return;
    }
    if (now < known.coldUntil) {
        evaluateCold(upstream, request, candidate.isLocal, now);
        return;
    }
    const placement_eligibility eligibility = m_health.eligibilityOf(upstream, now);
    if (eligibility == placement_eligibility::none) {
        return;
    }
    const bool isTrial = eligibility == placement_eligibility::trial;
    if (isTrial
        && (request.excluded != noUpstream
            || !m_roster.owns(known.entry.id, known.entry.zone, now))) {
        return;
    }
    const bool isHome = candidate.homeSlots > 0;
    const bool isShared = request.share != nullptr && request.share->slots > 0;
    const double requestsPerSlot = expectedRequestsPerSlot(candidate, request);
    const double requestsPerSlotWithFlow = requestsPerSlot + 1.0 / known.entry.slots;
    const double limit = isHome || !isShared ? request.queueLimit : request.otherShareLimit;
    if (requestsPerSlotWithFlow > std::max(limit, 1.0)) {
        m_hasFreeSlot = m_hasFreeSlot || hasFreeSlot(upstream);
        return;
    }
    const double outstanding = outstandingPerSlot(candidate, request, requestsPerSlot, now);
    const double slowness = m_loads.slownessRatio(upstream, now);
    const double countedSlowness =
        request.work == nullptr ? slowness : std::max(1.0, slowness - slownessOfWork + 1.0);
    double cost = countedSlowness * std::max(1.0, outstanding + 1.0 / known.entry.slots)
        + requestsPerSlotCost * outstanding;
    if (request.work != nullptr && requestsPerSlotWithFlow <= 1) {
        // The flow does not wait for the outstanding work, which may be many times its own. Below
        // otherZoneCost, so that the flow stays in the own zone.
        cost = countedSlowness + requestsPerSlotCost * outstanding / (1 + outstanding);
    }
    cost += candidate.isLocal ? 0.0 : otherZoneCost;
    cost += isHome || !isShared
        ? 0.0
        : otherShareCost + std::uniform_real_distribution<double>(0, 0.3)(m_random);
    cost += candidate.isZoneReachable ? 0.0 : unreachableZoneCost;
    cost += eligibility == placement_eligibility::lastResort ? suspicionCost : 0.0;
    if (isTrial) {
        // A due trial precedes every other choice; if it fails, the flow is retried elsewhere.
        cost = -1.0;
    }
    if (m_best.upstream == noUpstream || cost < m_best.cost) {
        m_best = best_choice{upstream, cost, isTrial};
    }
}

void flow_placer::evaluateCold(upstream_index upstream, const placement_request &request,
                               bool isLocal, monotonic_time now)
{
    const known_upstream &known = m_directory.at(upstream);
    if (request.coldFlowsPerSecond == 0
        || m_health.eligibilityOf(upstream, now) == placement_eligibility::none
        || !m_roster.ownsAllowance(known.entry.id, known.entry.zone, now)) {
        return;
    }
    const auto recent = m_coldFlowTimes.find(known.entry.id);
    if (recent != m_coldFlowTimes.end()) {
        std::deque<monotonic_time> &times = recent->second;
        while (!times.empty() && now - times.front() > coldRateWindow) {
            times.pop_front();
        }
        if (times.size() >= request.coldFlowsPerSecond) {
            return;
        }
    }
    const double cost = m_loads.openRequests(upstream) + (isLocal ? 0.0 : otherZoneCost);
    if (m_bestCold.upstream == noUpstream || cost < m_bestCold.cost) {
        m_bestCold = best_choice{upstream, cost, false};
    }
}

void flow_placer::collectCandidates(const placement_request &request, monotonic_time now)
{
    m_candidates.clear();
    const std::uint16_t ownZone = m_directory.zoneNumber(m_roster.self().zone);
    double peerRequestsPerSlot = 0;
    for (std::size_t number = 0; number < m_directory.zoneCount(); ++number) {
        const auto zone = static_cast<std::uint16_t>(number);
        const boost::span<const upstream_index> listed =
            m_directory.candidates(request.service, zone);
        if (listed.empty()) {
            continue;
        }
        const bool isLocal = zone == ownZone;
        const bool isZoneReachable = m_roster.isZoneReachable(m_directory.zoneName(zone), now);
        const std::size_t maxCandidates = isLocal ? maxLocalCandidates : maxCandidatesPerOtherZone;
        const std::size_t first = m_random() % listed.size();
        for (std::size_t step = 0; step < std::min(maxCandidates, listed.size()); ++step) {
            const upstream_index upstream = listed[(first + step) % listed.size()];
            if (request.share != nullptr && request.share->homeSlots(upstream) > 0) {
                continue;
            }
            m_candidates.push_back(placement_candidate{upstream, isLocal, isZoneReachable, 0});
            peerRequestsPerSlot +=
                double(m_loads.openRequests(upstream) - m_loads.ownOpenRequests(upstream))
                / m_directory.at(upstream).entry.slots;
        }
    }
    m_meanPeerRequestsPerSlot =
        m_candidates.empty() ? 0 : peerRequestsPerSlot / double(m_candidates.size());
    if (request.share != nullptr) {
        collectHome(request, ownZone, now);
    }
    const auto reportCycleMs = static_cast<double>(m_roster.reportCycle(true).count());
    m_peerDifferenceWeight = std::min(1.0, double(request.expectedTime.count()) / reportCycleMs);
}

void flow_placer::collectHome(const placement_request &request, std::uint16_t ownZone,
                              monotonic_time now)
{
    const auto &home = request.share->home;
    const std::size_t first = home.empty() ? 0 : m_random() % home.size();
    for (std::size_t step = 0; step < std::min(maxLocalCandidates, home.size()); ++step) {
        const auto &[upstream, slots] = home[(first + step) % home.size()];
        if (!m_directory.isCandidate(upstream, request.service)) {
            continue;
        }
        const std::uint16_t zone = m_directory.at(upstream).zone;
        m_candidates.push_back(
            placement_candidate{upstream, zone == ownZone,
                                m_roster.isZoneReachable(m_directory.zoneName(zone), now), slots});
    }
}

placement_result flow_placer::choose(const placement_request &request, monotonic_time now)
{
    m_best = best_choice{};
    m_bestCold = best_choice{};
    m_hasCandidates = false;
    m_hasFreeSlot = false;
    collectCandidates(request, now);
    for (const placement_candidate &candidate : m_candidates) {
        evaluate(candidate, request, now);
    }
    if (m_best.upstream != noUpstream
        && (m_bestCold.upstream == noUpstream || hasFreeSlot(m_best.upstream))) {
        if (m_best.isTrial) {
            m_health.onTrialSent(m_best.upstream, now);
        }
        return {placement_outcome::placed, m_best.upstream,
                m_best.isTrial ? "trial" : "least_load"};
    }
    if (m_bestCold.upstream != noUpstream) {
        m_coldFlowTimes[m_directory.at(m_bestCold.upstream).entry.id].push_back(now);
        return {placement_outcome::placed, m_bestCold.upstream, "cold_allowance"};
    }
    return {m_hasCandidates ? placement_outcome::saturated : placement_outcome::noneUsable,
            noUpstream, m_hasCandidates ? "all_full" : "none_usable", m_hasFreeSlot};
}

} // namespace figstair
