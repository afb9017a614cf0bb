#pragma once

#include <boost/asio/ip/address.hpp>

#include "figstair/core/endpoint.h"

namespace figstair {

/// Converts to tcp::endpoint or udp::endpoint; an IPv4-mapped address becomes an IPv4 address.
template <typename protocol_endpoint> protocol_endpoint toAsio(const endpoint &source)
{
    namespace ip = boost::asio::ip;
    const ip::address_v6 v6Address(source.address);
    if (v6Address.is_v4_mapped()) {
        return protocol_endpoint(ip::make_address_v4(ip::v4_mapped, v6Address), source.port);
    }
    return protocol_endpoint(v6Address, source.port);
}

/// Converts from tcp::endpoint or udp::endpoint; an IPv4 address becomes an IPv4-mapped one.
template <typename protocol_endpoint> endpoint fromAsio(const protocol_endpoint &source)
{
    namespace ip = boost::asio::ip;
    const ip::address address = source.address();
    const ip::address_v6 v6Address =
        address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6();
    return endpoint{v6Address.to_bytes(), source.port()};
}

} // namespace figstair
