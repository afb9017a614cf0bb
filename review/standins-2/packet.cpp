#include "packet.h"

namespace review {
namespace {

constexpr std::size_t headBytes = 31;
constexpr std::size_t echoOffset = 8;
constexpr std::size_t sumOffset = 12;
constexpr std::uint64_t sumKey = 0x9e3779b97f4a7c15ULL;

void append(std::string &bytes, std::uint64_t value, unsigned size)
{
    for (unsigned index = size; index > 0; --index) {
        bytes += char(value >> (index - 1) * 8U & 255U);
    }
}

std::uint32_t number(const std::string &bytes, std::size_t offset, unsigned size)
{
    std::uint32_t value = 0;
    for (unsigned index = 0; index < size; ++index) {
        value = value << 8U | std::uint8_t(bytes[offset + index]);
    }
    return value;
}

std::string headOf(const packet &from)
{
    std::string bytes;
    append(bytes, from.sequence, 4);
    append(bytes, from.acknowledged, 4);
    append(bytes, from.echo, 4);
    append(bytes, from.sum, 4);
    append(bytes, from.flags, 1);
    append(bytes, from.data.size(), 2);
    append(bytes, from.destinationPort, 2);
    append(bytes, from.destination, 4);
    append(bytes, from.source, 4);
    append(bytes, from.sourcePort, 2);
    return bytes;
}

/// The keyed sum over all fields but the echo, and over the data.
std::uint32_t sumOf(const packet &from)
{
    packet copy = from;
    copy.echo = 0;
    copy.sum = 0;
    std::uint64_t sum = sumKey;
    for (const char byte : headOf(copy) + copy.data) {
        sum = (sum ^ std::uint8_t(byte)) * 0x100000001b3ULL;
    }
    const auto folded = std::uint32_t(sum >> 32U ^ sum);
    return folded == 0 ? 1 : folded;
}

} // namespace

std::string encode(packet from)
{
    from.sum = sumOf(from);
    return headOf(from) + from.data;
}

std::optional<packet> decode(const std::string &bytes)
{
    if (bytes.size() < headBytes || bytes.size() != headBytes + number(bytes, 17, 2)) {
        return std::nullopt;
    }
    packet result;
    result.sequence = number(bytes, 0, 4);
    result.acknowledged = number(bytes, 4, 4);
    result.echo = number(bytes, echoOffset, 4);
    result.sum = number(bytes, sumOffset, 4);
    result.flags = std::uint8_t(bytes[16]);
    result.destinationPort = std::uint16_t(number(bytes, 19, 2));
    result.destination = number(bytes, 21, 4);
    result.source = number(bytes, 25, 4);
    result.sourcePort = std::uint16_t(number(bytes, 29, 2));
    result.data = bytes.substr(headBytes);
    return result;
}

bool hasSendersSum(const packet &received)
{
    return received.sum == sumOf(received);
}

std::string addressText(std::uint32_t address)
{
    return std::to_string(address >> 24U) + "." + std::to_string(address >> 16U & 255U) + "."
        + std::to_string(address >> 8U & 255U) + "." + std::to_string(address & 255U);
}

std::string toText(const flow_key &flow)
{
    const auto &[client, clientPort, route, routePort] = flow;
    return addressText(client) + ":" + std::to_string(clientPort) + ">" + addressText(route) + ":"
        + std::to_string(routePort);
}

} // namespace review
