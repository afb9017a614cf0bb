#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace figstair {

/// The endpoints of a flow: the caller, and the route address that it connects to. IPv4 addresses
/// and ports in host byte order.
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

/// 64-bit hash of all fields; the same on every host.
std::uint64_t hashOf(const flow_id &flow);

/// The route address and port of the flow in one number.
constexpr std::uint64_t routeKeyOf(const flow_id &flow)
{
    return std::uint64_t{flow.routeAddress} << 16U | flow.routePort;
}

/// Formats a flow for logs as caller and route address, as in 10.0.0.1:80>198.18.0.1:443.
std::string toText(const flow_id &flow);

struct flow_id_hash
{
    std::size_t operator()(const flow_id &flow) const { return hashOf(flow); }
};

/// The fields of a caller's packet that the packet path uses.
struct flow_packet
{
    flow_id flow;
    std::uint32_t upstreamTag = 0; ///< tag of the upstream that answered last, or 0
    std::uint32_t sequence = 0;
    /// Next byte expected from the upstream; in a SYN, the number of retransmissions before it.
    std::uint32_t acknowledged = 0;
    std::uint16_t payloadBytes = 0;
    bool isSyn = false;
    bool isAck = false;
    bool isFin = false;
    bool isRst = false;
};

} // namespace figstair
