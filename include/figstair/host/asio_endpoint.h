#pragma once

#include <boost/asio/ip/address.hpp>

#include "figstair/core/endpoint.h"

namespace figstair {

/// Turns an endpoint into a protocol's own form: tcp::endpoint or udp::endpoint.
template <typename protocol_endpoint> protocol_endpoint toAsio(const endpoint &where)
{
    namespace ip = boost::asio::ip;
    const ip::address_v6 wide(where.address);
    if (wide.is_v4_mapped()) {
        return protocol_endpoint(ip::make_address_v4(ip::v4_mapped, wide), where.port);
    }
    return protocol_endpoint(wide, where.port);
}

template <typename protocol_endpoint> endpoint fromAsio(const protocol_endpoint &where)
{
    namespace ip = boost::asio::ip;
    const ip::address address = where.address();
    const ip::address_v6 wide =
        address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6();
    return endpoint{wide.to_bytes(), where.port()};
}

} // namespace figstair
