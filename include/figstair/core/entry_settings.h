#pragma once

#include "figstair/core/fleet_records.h"

namespace figstair {

/// What the packet path of a host is told. Values that the deployment states come from its
/// settings.
struct entry_settings
{
    host_record self;
    milliseconds flowLife{60000}; ///< packets of older flows may be dropped
    milliseconds heartbeat{1200}; ///< interval in which upstreams renew their entries
    double coldOvershoot = 1.5; ///< factor on the stated rate of a cold upstream
    double coldSlack = 5; ///< requests a second that a cold upstream bears beyond its rate
    std::size_t maxFlows = 65536; ///< flows remembered; 100 bytes each
};

} // namespace figstair
