#pragma once

#include <cstdint>
#include <vector>

#include "figstair/core/health/upstream_health.h"
#include "figstair/core/view/peer_roster.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// Judges which other zones cannot be reached, by data that their upstreams did not acknowledge.
///
/// Load pattern: a zone is partitioned while flows to its upstreams are open. That no message of
/// its hosts arrives shows nothing about its upstreams: the hosts may have left, or failed. So a
/// zone counts as unreachable only if several packets to its upstreams were not acknowledged, and
/// since the first of them no upstream there answered and no host there was heard.
class unreachable_zones
{
public:
    /// The arguments must outlive this object.
    unreachable_zones(const upstream_directory &directory, const upstream_health &health,
                      peer_roster &roster);

    /// Judges again, and tells the roster which zones answer although their hosts are silent. Call
    /// it several times a second. Returns the zones that are unreachable since the last call.
    std::vector<std::uint16_t> advance(monotonic_time now);

    /// Whether @p zone was unreachable at the last advance().
    bool contains(std::uint16_t zone) const;

    void clear() { m_zones.clear(); }

private:
    struct evidence
    {
        unsigned packets = 0; ///< unacknowledged, at upstreams of the zone
        monotonic_time firstAt{}; ///< of the earliest observation
    };

    std::vector<evidence> collect(const std::vector<monotonic_time> &since,
                                  monotonic_time now) const;
    /// By zone: the last time at which one of its upstreams is known to have answered, or one of
    /// its hosts was heard.
    std::vector<monotonic_time> lastSignsOfLife();

    const upstream_directory &m_directory;
    const upstream_health &m_health;
    peer_roster &m_roster;
    std::vector<std::uint16_t> m_zones; ///< unreachable ones
};

} // namespace figstair
