#pragma once

#include "figstair/core/flow/part_mode.h"
#include "figstair/core/view/fleet_records.h"

namespace figstair {

/// Settings of a host's packet path. The deployment's settings override the defaults.
struct entry_settings
{
    host_record self;
    /// Idle time after which an open flow is forgotten, and how long an unlisted upstream stays
    /// known, so that packets of its flows are forwarded.
    milliseconds flowLife{60000};
    /// Interval at which upstreams renew their entries. Used only for the upstreams of a zone whose
    /// evacuation ended: they count as cold for twice this time.
    milliseconds heartbeat{1200};
    // A cold upstream gets at most (rate * coldOvershoot + coldSlack) / 2 new flows per second,
    // where rate is service_limits::coldRequestsPerSecond.
    double coldOvershoot = 1.5; ///< factor on the rate
    double coldSlack = 5; ///< per second, added to the product
    /// Whether callers are told by a reset that the upstream of their open flow is dead. Automatic:
    /// on routes whose flows carry several requests.
    part_mode resetDeadFlows = part_mode::automatic;
    /// Capacity of this host's link. The default is that of a weak host.
    double linkMbps = 10;
    std::size_t maxFlows = 65536; ///< capacity of the flow table; 100 bytes per flow
    part_mode leaveWhenIsolated = part_mode::automatic; ///< see zone_isolation
    /// Whether flows are placed by the outstanding work of upstreams; see request_cost.
    part_mode placementByWork = part_mode::automatic;
};

} // namespace figstair
