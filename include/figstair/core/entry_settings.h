#pragma once

#include "figstair/core/fleet_records.h"

namespace figstair {

/// Settings of a host's packet path. The deployment's settings override the defaults.
struct entry_settings
{
    host_record self;
    milliseconds flowLife{60000}; ///< packets of older flows may be dropped
    milliseconds heartbeat{1200}; ///< interval at which upstreams renew their entries
    double coldOvershoot = 1.5; ///< factor on the request rate stated for a cold upstream
    double coldSlack = 5; ///< requests per second added to that rate
    std::size_t maxFlows = 65536; ///< capacity of the flow table; 100 bytes per flow
};

} // namespace figstair
