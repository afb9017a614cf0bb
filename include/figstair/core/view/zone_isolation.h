#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figstair/core/flow/part_mode.h"
#include "figstair/core/health/upstream_health.h"
#include "figstair/core/load/load_board.h"
#include "figstair/core/view/peer_roster.h"
#include "figstair/core/view/route_table.h"

namespace figstair {

/// Why a host can serve or not.
enum class reach : std::uint8_t {
    notApplicable, ///< the part is off, or there is only one zone with hosts
    noUpstreams, ///< no upstream of a routed service takes new flows anywhere
    ownZone, ///< one in this host's zone does
    otherZone, ///< one in another zone does, and that zone counts as reachable
    answered, ///< one in a silent zone does, and answered through this host recently
    silentZones, ///< those that do are all in silent zones
    unheardSinceStart ///< the same, at a host that has not reached any since its start
};

/// The value of the field "reason" in logs.
std::string_view toText(reach which);

/// Decides whether this host stays in the rotation, by which the platform's routers select hosts.
///
/// Load addressed: a zone is partitioned from the others while its own upstreams are evacuated or
/// drained. Its hosts cannot place a new flow, and as long as they pass readiness checks, the
/// routers send them the zone's callers: 1,162 of 28,400 requests were lost so.
///
/// See docs/design/zone-isolation.md. The arguments of the constructor must outlive this object.
class zone_isolation
{
public:
    struct change
    {
        bool isInRotation = true;
        reach reason = reach::notApplicable;
    };

    zone_isolation(const route_table &routes, upstream_directory &directory,
                   const peer_roster &roster, const load_board &loads,
                   const upstream_health &health);

    /// Evaluates the state at @p now, which needs a loaded configuration. Returns the change of
    /// isInRotation() that it caused, if any; the first evaluation of a host that can serve is not
    /// a change.
    std::optional<change> update(part_mode mode, monotonic_time now);

    /// This host did not run for a while, and peer_roster::onResumed() was called. What was
    /// observed before does not count towards a change.
    void onResumed() { m_contraryFrom.reset(); }

    /// False before the first update().
    bool isInRotation() const { return m_phase == phase::in; }

private:
    /// Until it has been able to serve for the first time, a host is in `starting` or `held`.
    enum class phase : std::uint8_t { starting, held, in, out };

    reach evaluate(part_mode mode, monotonic_time now);
    void updateServices();
    void updateZones();
    bool isSilent(part_mode mode, monotonic_time now) const;
    milliseconds silenceLimit(monotonic_time silentSince) const;
    bool hasRecentAnswer(monotonic_time now) const;
    bool hasTimeoutSince(monotonic_time time) const;

    const route_table &m_routes;
    upstream_directory &m_directory;
    const peer_roster &m_roster;
    const load_board &m_loads;
    const upstream_health &m_health;
    phase m_phase = phase::starting;
    /// First evaluation without interruption that contradicts m_phase.
    std::optional<monotonic_time> m_contraryFrom;

    // Derived from the configuration and the directory as of the two versions.
    std::vector<std::string> m_services; ///< that routes send flows to
    std::vector<std::string> m_zones; ///< with upstreams of m_services that take new flows
    std::vector<upstream_index> m_upstreams; ///< those upstreams
    std::optional<std::uint64_t> m_configVersion;
    std::optional<std::uint64_t> m_generation;
};

} // namespace figstair
