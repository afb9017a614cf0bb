#include "figstair/wire/packed_routes.h"

#include <limits>
#include <string>

#include <boost/endian/conversion.hpp>

namespace endian = boost::endian;

namespace figstair {
namespace {

/// Bounds of the numbers of a route. No host sends more.
constexpr std::uint32_t maxTimeMs = 86'400'000;
constexpr std::uint32_t maxCount = 1'000'000;

template <typename number> void append(byte_buffer &out, number value)
{
    const std::size_t offset = out.size();
    out.resize(offset + sizeof(number));
    endian::endian_store<number, sizeof(number), endian::order::big>(&out[offset], value);
}

void append(byte_buffer &out, const std::string &text)
{
    append(out, static_cast<std::uint16_t>(text.size()));
    out.insert(out.end(), text.begin(), text.end());
}

bool isShort(const std::string &text)
{
    return text.size() <= std::numeric_limits<std::uint16_t>::max();
}

bool isPackable(const route &entry)
{
    bool areServicesShort = entry.services.size() <= std::numeric_limits<std::uint8_t>::max();
    for (const weighted_service &choice : entry.services) {
        areServicesShort = areServicesShort && isShort(choice.service);
    }
    return areServicesShort && isShort(entry.name);
}

/// Reads values from bytes. After the end, or a value out of range, isGood() is false and all
/// values are empty.
class byte_reader
{
public:
    explicit byte_reader(byte_view bytes)
        : m_rest(bytes)
    {
    }

    template <typename number> number read(number max = std::numeric_limits<number>::max())
    {
        if (!take(sizeof(number))) {
            return 0;
        }
        const auto value =
            endian::endian_load<number, sizeof(number), endian::order::big>(m_taken.data());
        m_isGood = value <= max;
        return m_isGood ? value : 0;
    }

    std::string readText()
    {
        const auto size = read<std::uint16_t>();
        return take(size) ? std::string(m_taken.begin(), m_taken.end()) : std::string();
    }

    milliseconds readTime() { return milliseconds(read<std::uint32_t>(maxTimeMs)); }

    bool isGood() const { return m_isGood; }
    bool isAtEnd() const { return m_rest.empty(); }

private:
    bool take(std::size_t size)
    {
        m_isGood = m_isGood && size <= m_rest.size();
        if (m_isGood) {
            m_taken = m_rest.first(size);
            m_rest = m_rest.subspan(size);
        }
        return m_isGood;
    }

    byte_view m_rest;
    byte_view m_taken;
    bool m_isGood = true;
};

} // namespace

std::optional<byte_buffer> packRoutes(boost::span<const route> routes)
{
    byte_buffer out;
    for (const route &entry : routes) {
        if (!isPackable(entry)) {
            return std::nullopt;
        }
        append(out, entry.name);
        append(out, entry.address);
        append(out, entry.port);
        append(out, static_cast<std::uint32_t>(entry.timeout.count()));
        append(out, static_cast<std::uint32_t>(entry.latencyTarget.count()));
        append(out, static_cast<std::uint32_t>(entry.priority));
        append(out, static_cast<std::uint8_t>(entry.services.size()));
        for (const weighted_service &choice : entry.services) {
            append(out, choice.service);
            append(out, static_cast<std::uint32_t>(choice.weight));
        }
    }
    return out;
}

std::optional<std::vector<route>> unpackRoutes(byte_view bytes)
{
    std::vector<route> routes;
    byte_reader reader(bytes);
    while (reader.isGood() && !reader.isAtEnd()) {
        route entry;
        entry.name = reader.readText();
        entry.address = reader.read<std::uint32_t>();
        entry.port = reader.read<std::uint16_t>();
        entry.timeout = reader.readTime();
        entry.latencyTarget = reader.readTime();
        entry.priority = reader.read<std::uint32_t>(maxCount);
        entry.services.resize(reader.read<std::uint8_t>());
        for (weighted_service &choice : entry.services) {
            choice.service = reader.readText();
            choice.weight = reader.read<std::uint32_t>(maxCount);
        }
        routes.push_back(std::move(entry));
    }
    return reader.isGood() ? std::make_optional(std::move(routes)) : std::nullopt;
}

} // namespace figstair
