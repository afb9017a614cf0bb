#include "figstair/core/flow_packet.h"

#include <xxhash.h>

namespace figstair {

std::uint64_t hashOf(const flow_id &flow)
{
    const std::uint32_t words[] = {flow.callerAddress, flow.routeAddress,
                                   std::uint32_t{flow.callerPort} << 16U | flow.routePort};
    return XXH3_64bits(words, sizeof words);
}

} // namespace figstair
