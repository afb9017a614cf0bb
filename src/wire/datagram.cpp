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

enum field_key : std::uint8_t {
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
    slotsInUseKey,
    payloadKey,
    keyCount
};

constexpr std::size_t endpointBytes = 18;
constexpr std::size_t maxMapEntries = 32;
constexpr std::size_t maxItemHeadBytes = 9;

/// Writes the entries of a CBOR map. finish() fills in the two-byte map head before them.
class map_writer
{
public:
    explicit map_writer(byte_buffer &out)
        : m_out(out)
        , m_headOffset(out.size())
    {
        m_out.resize(m_out.size() + 2);
    }

    void number(std::uint8_t fieldKey, std::uint64_t value)
    {
        writeKey(fieldKey);
        writeHead(value, cbor_encode_uint);
    }

    void numberUnlessZero(std::uint8_t fieldKey, std::uint64_t value)
    {
        if (value != 0) {
            number(fieldKey, value);
        }
    }

    void bytesUnlessEmpty(std::uint8_t fieldKey, byte_view value)
    {
        if (!value.empty()) {
            writeKey(fieldKey);
            writeHead(value.size(), cbor_encode_bytestring_start);
            m_out.insert(m_out.end(), value.begin(), value.end());
        }
    }

    void textUnlessEmpty(std::uint8_t fieldKey, std::string_view value)
    {
        if (!value.empty()) {
            writeKey(fieldKey);
            writeHead(value.size(), cbor_encode_string_start);
            m_out.insert(m_out.end(), value.begin(), value.end());
        }
    }

    void finish()
    {
        constexpr std::uint8_t mapWithOneLengthByte = 0xB8;
        m_out[m_headOffset] = mapWithOneLengthByte;
        m_out[m_headOffset + 1] = m_entryCount;
    }

private:
    void writeKey(std::uint8_t fieldKey)
    {
        writeHead(fieldKey, cbor_encode_uint);
        ++m_entryCount;
    }

    template <typename number_type>
    void writeHead(std::uint64_t value,
                   std::size_t (*encode)(number_type, unsigned char *, std::size_t))
    {
        std::array<unsigned char, maxItemHeadBytes> buffer{};
        const std::size_t size = encode(value, buffer.data(), buffer.size());
        m_out.insert(m_out.end(), buffer.begin(), buffer.begin() + size);
    }

    byte_buffer &m_out;
    std::size_t m_headOffset;
    std::uint8_t m_entryCount = 0;
};

/// The CBOR item that the streaming decoder read last.
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

/// Reads the CBOR items of a datagram in order.
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

template <typename number_type> bool readValue(const decoded_item &item, number_type &target)
{
    if (item.type != decoded_item::item_type::number
        || item.number > std::numeric_limits<number_type>::max()) {
        return false;
    }
    target = static_cast<number_type>(item.number);
    return true;
}

template <typename enumeration>
bool readEnum(const decoded_item &item, enumeration &target, enumeration maxValue)
{
    if (item.type != decoded_item::item_type::number
        || item.number > static_cast<std::uint64_t>(maxValue)) {
        return false;
    }
    target = static_cast<enumeration>(item.number);
    return true;
}

bool readValue(const decoded_item &item, byte_view &target)
{
    target = byte_view(item.data, item.size);
    return item.type == decoded_item::item_type::bytes;
}

bool readValue(const decoded_item &item, std::string_view &target)
{
    if (item.type != decoded_item::item_type::text) {
        return false;
    }
    target = std::string_view(reinterpret_cast<const char *>(item.data), item.size);
    return true;
}

bool readValue(const decoded_item &item, endpoint &target)
{
    if (item.type != decoded_item::item_type::bytes || item.size != endpointBytes) {
        return false;
    }
    std::copy_n(item.data, target.address.size(), target.address.begin());
    target.port = static_cast<std::uint16_t>(item.data[16] << 8 | item.data[17]);
    return true;
}

bool readReportField(std::uint64_t fieldKey, const decoded_item &item, datagram &message)
{
    message.hasReport = true;
    switch (fieldKey) {
    case startIdKey:
        return readValue(item, message.report.startId);
    case phaseKey:
        return readEnum(item, message.report.phase, upstream_phase::draining);
    default:
        return readValue(item, message.report.slotsInUse);
    }
}

bool readField(std::uint64_t fieldKey, const decoded_item &item, datagram &message)
{
    switch (fieldKey) {
    case typeKey:
        return readEnum(item, message.type, datagram_type::last) && item.number != 0;
    case serviceKey:
        return readValue(item, message.service);
    case requestIdKey:
        return readValue(item, message.requestId);
    case tokenKey:
        return readValue(item, message.token);
    case kindKey:
        return readEnum(item, message.kind, request_kind::order);
    case budgetKey:
        return readValue(item, message.budgetMs);
    case firstPartKey:
        return readValue(item, message.firstPart);
    case partCountKey:
        return readValue(item, message.partCount);
    case partKey:
        return readValue(item, message.part);
    case partTotalKey:
        return readValue(item, message.partTotal);
    case digestKey:
        return readValue(item, message.digest);
    case statusKey:
        return readEnum(item, message.status, refusal_status::tryAgain);
    case retryAfterKey:
        return readValue(item, message.retryAfterMs);
    case traceIdKey:
        return readValue(item, message.traceId);
    case spanIdKey:
        return readValue(item, message.spanId);
    case callerKey:
        return readValue(item, message.caller);
    case hopsLeftKey:
        return readValue(item, message.hopsLeft);
    case upstreamIdKey:
        return readValue(item, message.upstreamId);
    case candidatesKey:
        return readValue(item, message.candidates);
    case sequenceKey:
        return readValue(item, message.sequence);
    case startIdKey:
    case phaseKey:
    case slotsInUseKey:
        return readReportField(fieldKey, item, message);
    case payloadKey:
        return readValue(item, message.payload);
    default:
        return false;
    }
}

void writeCaller(map_writer &map, const endpoint &caller)
{
    if (caller.port == 0) {
        return;
    }
    std::array<std::uint8_t, endpointBytes> bytes{};
    std::copy(caller.address.begin(), caller.address.end(), bytes.begin());
    bytes[16] = static_cast<std::uint8_t>(caller.port >> 8);
    bytes[17] = static_cast<std::uint8_t>(caller.port & 0xFF);
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
    writeCaller(map, message.caller);
    map.numberUnlessZero(hopsLeftKey, message.hopsLeft);
    map.numberUnlessZero(upstreamIdKey, message.upstreamId);
    map.bytesUnlessEmpty(candidatesKey, message.candidates);
    map.numberUnlessZero(sequenceKey, message.sequence);
    if (message.hasReport) {
        map.number(startIdKey, message.report.startId);
        map.numberUnlessZero(phaseKey, static_cast<std::uint64_t>(message.report.phase));
        map.numberUnlessZero(slotsInUseKey, message.report.slotsInUse);
    }
    map.bytesUnlessEmpty(payloadKey, message.payload);
    map.finish();
}

leaf::result<datagram> decodeDatagram(byte_view bytes, std::size_t &consumed)
{
    item_reader reader(bytes);
    decoded_item item;
    if (!reader.next(item) || item.type != decoded_item::item_type::map) {
        return fail("datagram is not a CBOR map");
    }
    const std::uint64_t entryCount = item.number;
    if (entryCount > maxMapEntries) {
        return fail("map has too many entries");
    }
    datagram message;
    std::uint32_t seenKeys = 0;
    for (std::uint64_t index = 0; index < entryCount; ++index) {
        std::uint64_t fieldKey = 0;
        if (!reader.next(item) || !readValue(item, fieldKey) || fieldKey >= keyCount) {
            return fail("map key is invalid or unknown");
        }
        const std::uint32_t bit = 1U << fieldKey;
        if ((seenKeys & bit) != 0) {
            return fail("key given twice");
        }
        seenKeys |= bit;
        if (!reader.next(item)) {
            return fail("datagram is truncated");
        }
        if (fieldKey == versionKey) {
            if (item.type != decoded_item::item_type::number || item.number != wireVersion) {
                return fail("other version");
            }
        } else if (!readField(fieldKey, item, message)) {
            return fail("field value is invalid");
        }
    }
    constexpr std::uint32_t required = 1U << versionKey | 1U << typeKey;
    if ((seenKeys & required) != required) {
        return fail("version or type is missing");
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
