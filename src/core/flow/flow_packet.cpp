#include "figstair/core/flow/flow_packet.h"

#include <boost/asio/ip/address_v4.hpp>
#include <xxhash.h>

namespace figstair {
namespace {

std::string addressText(std::uint32_t address, std::uint16_t port)
{
    return boost::asio::ip::make_address_v4(address).to_string() + ":" + std::to_string(port);
}

} // namespace

std::string toText(const flow_id &flow)
{
    return addressText(flow.callerAddress, flow.callerPort) + ">"
        + addressText(flow.routeAddress, flow.routePort);
}

std::uint64_t hashOf(const flow_id &flow)
{
    const std::uint32_t words[] = {flow.callerAddress, flow.routeAddress,
                                   std::uint32_t{flow.callerPort} << 16U | flow.routePort};
    return XXH3_64bits(words, sizeof words);
}

} // namespace figstair
