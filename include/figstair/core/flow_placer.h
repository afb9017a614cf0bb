#pragma once

#include <deque>
#include <random>
#include <string>
#include <unordered_map>

#include "figstair/core/load_board.h"
#include "figstair/core/peer_roster.h"
#include "figstair/core/upstream_directory.h"
#include "figstair/core/upstream_health.h"

namespace figstair {

/// What the placer has to know of a new flow.
struct placement_request
{
    const std::string &service;
    unsigned coldFlowsPerSecond =
        0; ///< flows that one cold upstream may get a second, from all hosts
    double queueLimit = 1.0; ///< open requests for each slot beyond which a flow would be late
    upstream_index excluded = noUpstream; ///< gave no answer to this flow, which is no trial again
    milliseconds expectedTime{60}; ///< of one request at an upstream with a free slot
};

enum class placement_outcome : std::uint8_t {
    placed,
    saturated, ///< upstreams exist, but none may take a flow now or it would wait too long
    noneUsable ///< no upstream may take a flow at all
};

struct placement_result
{
    placement_outcome outcome = placement_outcome::noneUsable;
    upstream_index upstream = noUpstream;
    std::string_view reason; ///< why this one: for logs
};

/// Chooses the upstream of a new flow: the least expected time until it is served, by open requests
/// over slots and measured slowness, with a bounded preference for the own zone. Looks at a bounded
/// number of upstreams, so that the cost does not grow with their number.
class flow_placer
{
public:
    flow_placer(upstream_directory &directory, const load_board &loads, upstream_health &health,
                const peer_roster &roster, std::uint64_t seed);

    placement_result choose(const placement_request &request, monotonic_time now);

private:
    struct best_choice
    {
        upstream_index upstream = noUpstream;
        double cost = 0;
        bool isTrial = false;
    };

    struct looked_at
    {
        upstream_index upstream = noUpstream;
        bool isLocal = false;
        bool isZoneReached = true;
    };

    void collectCandidates(const placement_request &request, monotonic_time now);
    double expectedRequestsPerSlot(upstream_index upstream) const;
    void evaluate(const looked_at &candidate, const placement_request &request, monotonic_time now);
    void evaluateCold(upstream_index upstream, const placement_request &request, bool isLocal,
                      monotonic_time now);
    bool hasFreeSlot(upstream_index upstream) const;

    upstream_directory &m_directory;
    const load_board &m_loads;
    upstream_health &m_health;
    const peer_roster &m_roster;
    std::mt19937_64 m_random;
    std::unordered_map<std::uint64_t, std::deque<monotonic_time>>
        m_coldFlowTimes; ///< by upstream id

    // State of one choose() call.
    best_choice m_best;
    best_choice m_bestCold;
    bool m_hasCandidates = false;
    std::vector<looked_at> m_candidates;
    double m_meanPeerRequestsPerSlot = 0; ///< over what is looked at
    double m_peerDifferenceWeight = 1; ///< how far reported differences still hold
};

} // namespace figstair
