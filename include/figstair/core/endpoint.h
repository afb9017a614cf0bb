#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace figstair {

/// An IP address and port. IPv4 addresses are held in IPv4-mapped form.
struct endpoint
{
    std::array<std::uint8_t, 16> address{};
    std::uint16_t port = 0;

    bool operator==(const endpoint &other) const
    {
        return port == other.port && address == other.address;
    }
    bool operator!=(const endpoint &other) const { return !(*this == other); }
    bool operator<(const endpoint &other) const
    {
        return address != other.address ? address < other.address : port < other.port;
    }
};

/// Hash of the address without the port; callers that share an address share the hash.
std::uint64_t addressHash(const endpoint &value);

/// Parses "1.2.3.4:80" or "[::1]:80". Returns nothing when the text is not of that form.
std::optional<endpoint> parseEndpoint(std::string_view text);

/// Whether packets can be sent to @p value: it has a port, and its address is that of one host.
bool isUnicast(const endpoint &value);

/// Formats @p value in the form that parseEndpoint() reads.
std::string toString(const endpoint &value);

} // namespace figstair

template <> struct std::hash<figstair::endpoint>
{
    std::size_t operator()(const figstair::endpoint &value) const noexcept
    {
        return figstair::addressHash(value) ^ (std::size_t{value.port} * 0x9E3779B97F4A7C15ULL);
    }
};
