#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace review {

constexpr std::uint8_t synFlag = 32;
constexpr std::uint8_t ackFlag = 64;
constexpr std::uint8_t finFlag = 8;
constexpr std::uint8_t rstFlag = 4;

/// Most data in one packet.
constexpr std::size_t maxDataBytes = 1200;

/// One packet of a flow, as the platform's pages define it.
struct packet
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::uint32_t sum = 0;
    std::uint8_t flags = 0;
    std::uint32_t source = 0;
    std::uint16_t sourcePort = 0;
    std::uint32_t destination = 0;
    std::uint16_t destinationPort = 0;
    std::string data;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

/// Addresses and ports of a flow: those of the client, then those of the route.
using flow_key = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t>;

/// Returns the bytes of @p from, with a sum that only the stand-ins know.
std::string encode(packet from);

/// Returns the packet in @p bytes, or nothing if they are none.
std::optional<packet> decode(const std::string &bytes);

/// Whether the sum of @p received is that of its sender.
bool hasSendersSum(const packet &received);

std::string toText(const flow_key &flow);
std::string addressText(std::uint32_t address);

} // namespace review
