#pragma once

#include <cstddef>
#include <cstdint>

namespace figstair {

/// The two ends of a flow: the caller's, and the address of the route it called. IPv4, host order.
struct flow_id
{
    std::uint32_t callerAddress = 0;
    std::uint32_t routeAddress = 0;
    std::uint16_t callerPort = 0;
    std::uint16_t routePort = 0;

    bool operator==(const flow_id &other) const
    {
        return callerAddress == other.callerAddress && routeAddress == other.routeAddress
            && callerPort == other.callerPort && routePort == other.routePort;
    }
};

/// 64-bit mix of all fields; the same on every host.
std::uint64_t hashOf(const flow_id &flow);

struct flow_id_hash
{
    std::size_t operator()(const flow_id &flow) const { return hashOf(flow); }
};

/// What the packet path reads from one packet of a caller.
struct flow_packet
{
    flow_id flow;
    std::uint32_t upstreamTag = 0; ///< tag of the upstream that answered last; 0 when none has
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< next byte expected from the upstream
    std::uint16_t payloadBytes = 0;
    bool isSyn = false; ///< SYN
    bool isAck = false; ///< ACK
    bool isFin = false; ///< FIN
    bool isRst = false; ///< RST
};

} // namespace figstair
