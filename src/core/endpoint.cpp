#include "figstair/core/endpoint.h"

#include <charconv>
#include <cstring>

#include <boost/asio/ip/address.hpp>
#include <xxhash.h>

namespace ip = boost::asio::ip;

namespace figstair {

std::uint64_t addressHash(const endpoint &value)
{
    return XXH3_64bits(value.address.data(), value.address.size());
}

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    endpoint result;
    const char *portEnd = portText.data() + portText.size();
    const auto [rest, status] = std::from_chars(portText.data(), portEnd, result.port);
    if (status != std::errc{} || rest != portEnd || portText.empty()) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const ip::address address = ip::make_address(std::string(host), error);
    if (error) {
        return std::nullopt;
    }
    const ip::address_v6 v6Address =
        address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6();
    result.address = v6Address.to_bytes();
    return result;
}

bool isUnicast(const endpoint &value)
{
    const ip::address_v6 v6Address(value.address);
    if (value.port == 0 || v6Address.is_unspecified() || v6Address.is_multicast()) {
        return false;
    }
    if (!v6Address.is_v4_mapped()) {
        return true;
    }
    const ip::address_v4 v4Address = ip::make_address_v4(ip::v4_mapped, v6Address);
    return !v4Address.is_unspecified() && !v4Address.is_multicast()
        && v4Address != ip::address_v4::broadcast();
}

std::string toString(const endpoint &value)
{
    const ip::address_v6 v6Address(value.address);
    const std::string port = std::to_string(value.port);
    if (v6Address.is_v4_mapped()) {
        return ip::make_address_v4(ip::v4_mapped, v6Address).to_string() + ":" + port;
    }
    return "[" + v6Address.to_string() + "]:" + port;
}

} // namespace figstair
