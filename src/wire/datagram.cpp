#include "figstair/wire/datagram.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>

#include <boost/leaf.hpp>
#include <cbor.h>
#include <sodium.h>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

enum key : std::uint8_t {
    versionKey = 0,
    typeKey,
    serviceKey,
    requestIdKey,
    tokenKey,
    kindKey,
    budgetKey,
    firstPartKey,
    partCountKey,
    partKey,
    partTotalKey,
    digestKey,
    statusKey,
    retryAfterKey,
    traceIdKey,
    spanIdKey,
    callerKey,
    hopsLeftKey,
    upstreamIdKey,
    candidatesKey,
    sequenceKey,
    startIdKey,
    phaseKey,
    inUseKey,
    payloadKey,
    keyCount
};

constexpr std::size_t endpointBytes = 18;
constexpr std::size_t maxMapEntries = 32;
constexpr std::size_t maxItemHeadBytes = 9;

/// Writes map entries behind a one- or two-byte map head that is filled in at the end.
class map_writer
{
public:
    explicit map_writer(byte_buffer &out)
        : m_out(out)
        , m_head(out.size())
    {
        m_out.resize(m_out.size() + 2);
    }

    void number(std::uint8_t name, std::uint64_t value)
    {
        entry(name);
        head(value, cbor_encode_uint);
    }

    void numberUnlessZero(std::uint8_t name, std::uint64_t value)
    {
        if (value != 0) {
            number(name, value);
        }
    }

    void bytesUnlessEmpty(std::uint8_t name, byte_view value)
    {
        if (!value.empty()) {
            entry(name);
            head(value.size(), cbor_encode_bytestring_start);
            m_out.insert(m_out.end(), value.begin(), value.end());
        }
    }

    void textUnlessEmpty(std::uint8_t name, std::string_view value)
    {
        if (!value.empty()) {
            entry(name);
            head(value.size(), cbor_encode_string_start);
            m_out.insert(m_out.end(), value.begin(), value.end());
        }
    }

    void finish()
    {
        constexpr std::uint8_t mapWithOneLengthByte = 0xB8;
        m_out[m_head] = mapWithOneLengthByte;
        m_out[m_head + 1] = m_entries;
    }

private:
    void entry(std::uint8_t name)
    {
        head(name, cbor_encode_uint);
        ++m_entries;
    }

    template <typename number_type>
    void head(std::uint64_t value, std::size_t (*encode)(number_type, unsigned char *, std::size_t))
    {
        std::array<unsigned char, maxItemHeadBytes> buffer{};
        const std::size_t size = encode(value, buffer.data(), buffer.size());
        m_out.insert(m_out.end(), buffer.begin(), buffer.begin() + size);
    }

    byte_buffer &m_out;
    std::size_t m_head;
    std::uint8_t m_entries = 0;
};

/// The last item that the streaming decoder met.
struct decoded_item
{
    enum class item_type { none, number, bytes, text, map, other } type = item_type::none;
    std::uint64_t number = 0;
    const unsigned char *data = nullptr;
    std::size_t size = 0;
};

decoded_item &itemOf(void *context)
{
    return *static_cast<decoded_item *>(context);
}

template <typename number_type> void onNumber(void *context, number_type value)
{
    decoded_item &item = itemOf(context);
    item.type = decoded_item::item_type::number;
    item.number = value;
}

cbor_callbacks makeCallbacks()
{
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = onNumber<std::uint8_t>;
    callbacks.uint16 = onNumber<std::uint16_t>;
    callbacks.uint32 = onNumber<std::uint32_t>;
    callbacks.uint64 = onNumber<std::uint64_t>;
    callbacks.byte_string = [](void *context, cbor_data data, std::size_t size) {
        itemOf(context) = decoded_item{decoded_item::item_type::bytes, 0, data, size};
    };
    callbacks.string = [](void *context, cbor_data data, std::size_t size) {
        itemOf(context) = decoded_item{decoded_item::item_type::text, 0, data, size};
    };
    callbacks.map_start = [](void *context, std::size_t size) {
        itemOf(context) = decoded_item{decoded_item::item_type::map, size, nullptr, 0};
    };
    return callbacks;
}

/// Reads items of a datagram one by one.
class item_reader
{
public:
    explicit item_reader(byte_view bytes)
        : m_bytes(bytes)
    {
    }

    std::size_t offset() const { return m_offset; }

    bool next(decoded_item &item)
    {
        static const cbor_callbacks callbacks = makeCallbacks();
        item = decoded_item{};
        if (m_offset >= m_bytes.size()) {
            return false;
        }
        const cbor_decoder_result result = cbor_stream_decode(
            m_bytes.data() + m_offset, m_bytes.size() - m_offset, &callbacks, &item);
        if (result.status != CBOR_DECODER_FINISHED) {
            return false;
        }
        m_offset += result.read;
        return true;
    }

private:
    byte_view m_bytes;
    std::size_t m_offset = 0;
};

template <typename number_type> bool take(const decoded_item &item, number_type &target)
{
    if (item.type != decoded_item::item_type::number
        || item.number > std::numeric_limits<number_type>::max()) {
        return false;
    }
    target = static_cast<number_type>(item.number);
    return true;
}

template <typename enumeration>
bool takeEnum(const decoded_item &item, enumeration &target, enumeration greatest)
{
    if (item.type != decoded_item::item_type::number
        || item.number > static_cast<std::uint64_t>(greatest)) {
        return false;
    }
    target = static_cast<enumeration>(item.number);
    return true;
}

bool take(const decoded_item &item, byte_view &target)
{
    target = byte_view(item.data, item.size);
    return item.type == decoded_item::item_type::bytes;
}

bool take(const decoded_item &item, std::string_view &target)
{
    if (item.type != decoded_item::item_type::text) {
        return false;
    }
    target = std::string_view(reinterpret_cast<const char *>(item.data), item.size);
    return true;
}

bool take(const decoded_item &item, endpoint &target)
{
    if (item.type != decoded_item::item_type::bytes || item.size != endpointBytes) {
        return false;
    }
    std::copy_n(item.data, target.address.size(), target.address.begin());
    target.port = static_cast<std::uint16_t>(item.data[16] << 8 | item.data[17]);
    return true;
}

bool takeReport(std::uint64_t name, const decoded_item &item, datagram &message)
{
    message.hasReport = true;
    switch (name) {
    case startIdKey:
        return take(item, message.report.startId);
    case phaseKey:
        return takeEnum(item, message.report.phase, upstream_phase::draining);
    default:
        return take(item, message.report.slotsInUse);
    }
}

bool takeField(std::uint64_t name, const decoded_item &item, datagram &message)
{
    switch (name) {
    case typeKey:
        return takeEnum(item, message.type, datagram_type::last) && item.number != 0;
    case serviceKey:
        return take(item, message.service);
    case requestIdKey:
        return take(item, message.requestId);
    case tokenKey:
        return take(item, message.token);
    case kindKey:
        return takeEnum(item, message.kind, request_kind::order);
    case budgetKey:
        return take(item, message.budgetMs);
    case firstPartKey:
        return take(item, message.firstPart);
    case partCountKey:
        return take(item, message.partCount);
    case partKey:
        return take(item, message.part);
    case partTotalKey:
        return take(item, message.partTotal);
    case digestKey:
        return take(item, message.digest);
    case statusKey:
        return takeEnum(item, message.status, refusal_status::tryAgain);
    case retryAfterKey:
        return take(item, message.retryAfterMs);
    case traceIdKey:
        return take(item, message.traceId);
    case spanIdKey:
        return take(item, message.spanId);
    case callerKey:
        return take(item, message.caller);
    case hopsLeftKey:
        return take(item, message.hopsLeft);
    case upstreamIdKey:
        return take(item, message.upstreamId);
    case candidatesKey:
        return take(item, message.candidates);
    case sequenceKey:
        return take(item, message.sequence);
    case startIdKey:
    case phaseKey:
    case inUseKey:
        return takeReport(name, item, message);
    case payloadKey:
        return take(item, message.payload);
    default:
        return false;
    }
}

void writeEndpoint(map_writer &map, const endpoint &where)
{
    if (where.port == 0) {
        return;
    }
    std::array<std::uint8_t, endpointBytes> bytes{};
    std::copy(where.address.begin(), where.address.end(), bytes.begin());
    bytes[16] = static_cast<std::uint8_t>(where.port >> 8);
    bytes[17] = static_cast<std::uint8_t>(where.port & 0xFF);
    map.bytesUnlessEmpty(callerKey, bytes);
}

leaf::error_id fail(const char *problem)
{
    return leaf::new_error(datagram_error{problem});
}

} // namespace

void encodeDatagram(const datagram &message, byte_buffer &out)
{
    map_writer map(out);
    map.number(versionKey, wireVersion);
    map.number(typeKey, static_cast<std::uint64_t>(message.type));
    map.textUnlessEmpty(serviceKey, message.service);
    map.numberUnlessZero(requestIdKey, message.requestId);
    map.bytesUnlessEmpty(tokenKey, message.token);
    map.numberUnlessZero(kindKey, static_cast<std::uint64_t>(message.kind));
    map.numberUnlessZero(budgetKey, message.budgetMs);
    map.numberUnlessZero(firstPartKey, message.firstPart);
    map.numberUnlessZero(partCountKey, message.partCount);
    map.numberUnlessZero(partKey, message.part);
    map.numberUnlessZero(partTotalKey, message.partTotal);
    map.numberUnlessZero(digestKey, message.digest);
    map.numberUnlessZero(statusKey, static_cast<std::uint64_t>(message.status));
    map.numberUnlessZero(retryAfterKey, message.retryAfterMs);
    map.numberUnlessZero(traceIdKey, message.traceId);
    map.numberUnlessZero(spanIdKey, message.spanId);
    writeEndpoint(map, message.caller);
    map.numberUnlessZero(hopsLeftKey, message.hopsLeft);
    map.numberUnlessZero(upstreamIdKey, message.upstreamId);
    map.bytesUnlessEmpty(candidatesKey, message.candidates);
    map.numberUnlessZero(sequenceKey, message.sequence);
    if (message.hasReport) {
        map.number(startIdKey, message.report.startId);
        map.numberUnlessZero(phaseKey, static_cast<std::uint64_t>(message.report.phase));
        map.numberUnlessZero(inUseKey, message.report.slotsInUse);
    }
    map.bytesUnlessEmpty(payloadKey, message.payload);
    map.finish();
}

leaf::result<datagram> decodeDatagram(byte_view bytes, std::size_t &consumed)
{
    item_reader reader(bytes);
    decoded_item item;
    if (!reader.next(item) || item.type != decoded_item::item_type::map) {
        return fail("not a map");
    }
    const std::uint64_t entries = item.number;
    if (entries > maxMapEntries) {
        return fail("too many entries");
    }
    datagram message;
    std::uint32_t seen = 0;
    for (std::uint64_t index = 0; index < entries; ++index) {
        std::uint64_t name = 0;
        if (!reader.next(item) || !take(item, name) || name >= keyCount) {
            return fail("bad key");
        }
        const std::uint32_t bit = 1U << name;
        if ((seen & bit) != 0) {
            return fail("key given twice");
        }
        seen |= bit;
        if (!reader.next(item)) {
            return fail("truncated");
        }
        if (name == versionKey) {
            if (item.type != decoded_item::item_type::number || item.number != wireVersion) {
                return fail("other version");
            }
        } else if (!takeField(name, item, message)) {
            return fail("bad value");
        }
    }
    constexpr std::uint32_t required = 1U << versionKey | 1U << typeKey;
    if ((seen & required) != required) {
        return fail("no version or type");
    }
    consumed = reader.offset();
    return message;
}

bool isHostToHost(datagram_type type)
{
    return type >= datagram_type::forwardOpen;
}

void signPeerDatagram(const peer_key &key, byte_buffer &bytes)
{
    const std::size_t size = bytes.size();
    bytes.resize(size + peerMacBytes);
    crypto_shorthash_siphashx24(bytes.data() + size, bytes.data(), size, key.data());
}

bool verifyPeerDatagram(const peer_key &key, byte_view bytes)
{
    static_assert(peerMacBytes == crypto_shorthash_siphashx24_BYTES);
    static_assert(std::tuple_size_v<peer_key> == crypto_shorthash_siphashx24_KEYBYTES);
    if (bytes.size() <= peerMacBytes) {
        return false;
    }
    const std::size_t size = bytes.size() - peerMacBytes;
    std::array<std::uint8_t, peerMacBytes> expected{};
    crypto_shorthash_siphashx24(expected.data(), bytes.data(), size, key.data());
    return sodium_memcmp(expected.data(), bytes.data() + size, peerMacBytes) == 0;
}

} // namespace figstair
