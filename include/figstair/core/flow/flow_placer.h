#pragma once

#include <deque>
#include <random>
#include <string>
#include <unordered_map>

#include "figstair/core/health/upstream_health.h"
#include "figstair/core/load/load_board.h"
#include "figstair/core/load/outstanding_work.h"
#include "figstair/core/load/slot_shares.h"
#include "figstair/core/view/peer_roster.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// Work of the requests to a service, in milliseconds.
struct placement_work
{
    const outstanding_work &outstanding; ///< of this host's open requests
    double expected = 1; ///< of the new request; above 0
    double serviceMean = 1; ///< of the open requests of other hosts
};

/// Properties of a new flow that determine its placement.
struct placement_request
{
    const std::string &service;
    unsigned coldFlowsPerSecond = 0; ///< limit for one cold upstream; only its owner host sends any
    double queueLimit = 1.0; ///< open requests per slot above which the flow would be late
    /// The upstream that did not answer this flow. When set, the flow is not used as a trial.
    upstream_index excluded = noUpstream;
    milliseconds expectedTime{60}; ///< of a request at an upstream with a free slot
    /// Slots of the service that are this host's; null: none are divided, all upstreams are judged
    /// by reports.
    const slot_share *share = nullptr;
    double ownUtilization = 0; ///< open requests of this host per slot of its share, recent mean
    /// Limit of open requests per slot at upstreams outside the share.
    double otherShareLimit = 1.0;
    /// If set, upstreams are compared by outstanding work instead of open requests. Limits apply to
    /// open requests all the same.
    const placement_work *work = nullptr;
};

enum class placement_outcome : std::uint8_t {
    placed,
    saturated, ///< there are upstreams, but none can take the flow in time
    noneUsable ///< the service has no upstream that takes new flows
};

struct placement_result
{
    placement_outcome outcome = placement_outcome::noneUsable;
    upstream_index upstream = noUpstream;
    /// "least_load", "trial" or "cold_allowance" if placed, otherwise "all_full" or "none_usable".
    /// For a placed flow flow_opener logs the text and selects counters by it: trialsSent for
    /// "trial", coldFlowsSent for "cold_allowance".
    std::string_view reason;
    /// If saturated: one of the upstreams had a free slot by this host's count and the latest
    /// reports, but is expected to be full by now.
    bool hasFreeSlot = false;
};

/// Chooses the upstream of a new flow: the one with the shortest expected time until the flow is
/// served, by open requests or outstanding work per slot and measured slowness, with a bounded
/// preference for the own zone. It compares a bounded number of upstreams in each zone, so that the
/// cost does not grow with their number.
class flow_placer
{
public:
    flow_placer(upstream_directory &directory, const load_board &loads, upstream_health &health,
                const peer_roster &roster, std::uint64_t seed);

    /// Chooses an upstream for one flow and counts the choice as a trial or as a flow of a cold
    /// upstream if it is one.
    placement_result choose(const placement_request &request, monotonic_time now);

private:
    struct best_choice
    {
        upstream_index upstream = noUpstream;
        double cost = 0;
        bool isTrial = false;
    };

    struct placement_candidate
    {
        upstream_index upstream = noUpstream;
        bool isLocal = false;
        bool isZoneReachable = true;
        double homeSlots = 0;
    };

    void collectCandidates(const placement_request &request, monotonic_time now);
    void collectHome(const placement_request &request, std::uint16_t ownZone, monotonic_time now);
    double expectedRequestsPerSlot(const placement_candidate &candidate,
                                   const placement_request &request) const;
    double outstandingPerSlot(const placement_candidate &candidate,
                              const placement_request &request, double requestsPerSlot,
                              monotonic_time now) const;
    void evaluate(const placement_candidate &candidate, const placement_request &request,
                  monotonic_time now);
    void evaluateCold(upstream_index upstream, const placement_request &request, bool isLocal,
                      monotonic_time now);
    bool hasFreeSlot(upstream_index upstream) const;

    upstream_directory &m_directory;
    const load_board &m_loads;
    upstream_health &m_health;
    const peer_roster &m_roster;
    std::mt19937_64 m_random;
    /// Times of the latest flows sent to each cold upstream, by its id.
    std::unordered_map<std::uint64_t, std::deque<monotonic_time>> m_coldFlowTimes;

    // State of the current choose() call.
    best_choice m_best;
    best_choice m_bestCold;
    bool m_hasCandidates = false;
    bool m_hasFreeSlot = false; ///< placement_result::hasFreeSlot
    std::vector<placement_candidate> m_candidates;
    double m_meanPeerRequestsPerSlot = 0; ///< over m_candidates
    double m_peerDifferenceWeight = 1; ///< of differences between peer-reported loads; 0 to 1
};

} // namespace figstair
