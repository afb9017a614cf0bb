#include "figstair/wire/entry_message.h"

#include <algorithm>
#include <limits>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "figstair/wire/bounded_cbor.h"
#include "figstair/wire/packed_routes.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace figstair {
namespace {

constexpr std::size_t encodedRowBytes = 8;
constexpr std::size_t encodedTagBytes = 4;

/// Tags read from peer_report::unacknowledging. No host sends more.
constexpr std::size_t maxUnacknowledging = 64;

constexpr std::uint16_t ejectedBit = 0x8000;
constexpr std::uint16_t answeredBit = 0x4000;
constexpr std::uint16_t suspectedBit = 0x2000;
constexpr std::uint16_t slownessMask = 0x1FFF;

/// Message kinds: the first element of each array. An incompatible format change needs a new
/// number; elements may be appended at the end, where older hosts ignore them.
constexpr std::uint64_t reportKind = 1;
constexpr std::uint64_t changesKind = 2;
constexpr std::uint64_t pullKind = 3;
constexpr std::uint64_t requestKind = 4;
constexpr std::uint64_t snapshotKind = 5;
constexpr std::uint64_t changesInSetKind = 6; ///< view_changes that are part of a set
constexpr std::uint64_t snapshotInSetKind = 7; ///< a view_snapshot that is part of a set

/// First byte of unsigned messages. Signed messages begin with a CBOR array head instead.
constexpr std::uint8_t unsignedPrefix = 0;

/// Exception id of json::other_error, used for values of the wrong form.
constexpr int jsonErrorId = 501;

[[noreturn]] void throwDecodeError(const char *problem, const json &value)
{
    throw json::other_error::create(jsonErrorId, problem, &value);
}

/// Bounds of numbers in messages. No host sends more; sums and products of values within them do
/// not overflow.
constexpr unsigned maxCount = 1'000'000;
constexpr std::int64_t maxDurationMs = std::int64_t{1} << 40U; // 34 years
constexpr std::int64_t maxUnixMs = std::int64_t{1} << 50U;

/// Reads an integer between 0 and @p max.
template <typename number>
number integerFrom(const json &value, number max = std::numeric_limits<number>::max())
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::uint64_t(max)) {
        throwDecodeError("value is not an integer within its bounds", value);
    }
    return value.get<number>();
}

unsigned countFrom(const json &value)
{
    return integerFrom<unsigned>(value, maxCount);
}

milliseconds durationFrom(const json &value)
{
    return milliseconds(integerFrom<std::int64_t>(value, maxDurationMs));
}

double rateFrom(const json &value)
{
    if (!value.is_number() || !(value.get<double>() >= 0 && value.get<double>() <= maxCount)) {
        throwDecodeError("value is not a rate within its bounds", value);
    }
    return value.get<double>();
}

void appendBigEndian(std::vector<std::uint8_t> &bytes, std::uint64_t value, unsigned count)
{
    for (unsigned index = count; index > 0; --index) {
        bytes.push_back(static_cast<std::uint8_t>(value >> (index - 1) * 8U));
    }
}

std::uint64_t readBigEndian(const std::uint8_t *bytes, unsigned count)
{
    std::uint64_t value = 0;
    for (unsigned index = 0; index < count; ++index) {
        value = value << 8U | bytes[index];
    }
    return value;
}

json::binary_t encodeRows(const std::vector<load_row> &rows)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(rows.size() * encodedRowBytes);
    for (const load_row &row : rows) {
        appendBigEndian(bytes, row.tag, 4);
        appendBigEndian(bytes, row.openRequests, 2);
        auto packed =
            static_cast<unsigned>(std::min<std::uint16_t>(row.slownessSixteenths, slownessMask));
        packed |= row.isEjected ? ejectedBit : 0U;
        packed |= row.hasAnswered ? answeredBit : 0U;
        packed |= row.isSuspected ? suspectedBit : 0U;
        appendBigEndian(bytes, packed, 2);
    }
    return json::binary_t(std::move(bytes));
}

json::binary_t encodeTags(const std::vector<std::uint32_t> &tags)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(tags.size() * encodedTagBytes);
    for (const std::uint32_t tag : tags) {
        appendBigEndian(bytes, tag, encodedTagBytes);
    }
    return json::binary_t(std::move(bytes));
}

std::vector<std::uint32_t> decodeTags(const std::vector<std::uint8_t> &bytes)
{
    std::vector<std::uint32_t> tags;
    for (std::size_t offset = 0;
         offset + encodedTagBytes <= bytes.size() && tags.size() < maxUnacknowledging;
         offset += encodedTagBytes) {
        tags.push_back(static_cast<std::uint32_t>(readBigEndian(&bytes[offset], encodedTagBytes)));
    }
    return tags;
}

std::vector<load_row> decodeRows(const std::vector<std::uint8_t> &bytes)
{
    std::vector<load_row> rows;
    rows.reserve(bytes.size() / encodedRowBytes);
    for (std::size_t offset = 0; offset + encodedRowBytes <= bytes.size();
         offset += encodedRowBytes) {
        load_row row;
        row.tag = static_cast<std::uint32_t>(readBigEndian(&bytes[offset], 4));
        row.openRequests = static_cast<std::uint16_t>(readBigEndian(&bytes[offset + 4], 2));
        const auto packed = static_cast<std::uint16_t>(readBigEndian(&bytes[offset + 6], 2));
        row.slownessSixteenths = packed & slownessMask;
        row.isEjected = (packed & ejectedBit) != 0;
        row.hasAnswered = (packed & answeredBit) != 0;
        row.isSuspected = (packed & suspectedBit) != 0;
        rows.push_back(row);
    }
    return rows;
}

endpoint endpointFrom(const json &value)
{
    const auto address = parseEndpoint(value.get<std::string>());
    if (!address) {
        throwDecodeError("value is not an IP address and port", value);
    }
    return *address;
}

json toJson(const host_record &host)
{
    return json::array(
        {host.name, host.zone, toString(host.peerAddress), host.incarnation, host.cpuMillicores});
}

host_record hostFrom(const json &value)
{
    return host_record{value.at(0).get<std::string>(), value.at(1).get<std::string>(),
                       endpointFrom(value.at(2)), integerFrom<std::uint64_t>(value.at(3)),
                       countFrom(value.at(4))};
}

json toJson(const route &item)
{
    json services = json::array();
    for (const weighted_service &choice : item.services) {
        services.push_back(json::array({choice.service, choice.weight}));
    }
    return json::array({item.name, item.address, item.port, std::move(services),
                        item.timeout.count(), item.latencyTarget.count(), item.priority});
}

/// How routes are encoded. Hosts of earlier versions read lists only.
enum class route_encoding : std::uint8_t { list, packed };

json toJson(const std::vector<route> &routes, route_encoding encoding)
{
    if (encoding == route_encoding::packed) {
        if (std::optional<byte_buffer> bytes = packRoutes(routes)) {
            return json::binary_t(std::move(*bytes));
        }
    }
    json list = json::array();
    for (const route &item : routes) {
        list.push_back(toJson(item));
    }
    return list;
}

route routeFrom(const json &value)
{
    route entry;
    entry.name = value.at(0).get<std::string>();
    entry.address = integerFrom<std::uint32_t>(value.at(1));
    entry.port = integerFrom<std::uint16_t>(value.at(2));
    for (const json &choice : value.at(3)) {
        entry.services.push_back(
            weighted_service{choice.at(0).get<std::string>(), countFrom(choice.at(1))});
    }
    entry.timeout = durationFrom(value.at(4));
    entry.latencyTarget = durationFrom(value.at(5));
    entry.priority = countFrom(value.at(6));
    return entry;
}

std::vector<route> routesFrom(const json &value)
{
    if (value.is_binary()) {
        std::optional<std::vector<route>> routes = unpackRoutes(value.get_binary());
        if (!routes) {
            throwDecodeError("packed routes are malformed", value);
        }
        return std::move(*routes);
    }
    std::vector<route> routes;
    for (const json &item : value) {
        routes.push_back(routeFrom(item));
    }
    return routes;
}

json toJson(const route_config &config, route_encoding encoding)
{
    json services = json::array();
    for (const service_limits &item : config.services) {
        services.push_back(json::array(
            {item.name, item.maxFlows, item.warmup.count(), item.coldRequestsPerSecond}));
    }
    return json::array({config.version, toJson(config.routes, encoding), std::move(services),
                        config.idleTimeout.count()});
}

route_config configFrom(const json &value)
{
    route_config config;
    config.version = integerFrom<std::uint64_t>(value.at(0));
    config.routes = routesFrom(value.at(1));
    for (const json &item : value.at(2)) {
        config.services.push_back(service_limits{item.at(0).get<std::string>(),
                                                 countFrom(item.at(1)), durationFrom(item.at(2)),
                                                 rateFrom(item.at(3))});
    }
    config.idleTimeout = durationFrom(value.at(3));
    return config;
}

json toJson(const upstream_record &entry)
{
    return json::array({toString(entry.address), entry.service, entry.zone, entry.slots,
                        entry.isDraining, entry.coldFor.count(), entry.startedAtMs,
                        entry.sequence});
}

upstream_record upstreamFrom(std::uint64_t id, const json &value)
{
    upstream_record entry;
    entry.id = id;
    entry.address = endpointFrom(value.at(0));
    entry.service = value.at(1).get<std::string>();
    entry.zone = value.at(2).get<std::string>();
    entry.slots = std::max(1U, countFrom(value.at(3)));
    entry.isDraining = value.at(4).get<bool>();
    entry.coldFor = durationFrom(value.at(5));
    entry.startedAtMs = integerFrom<std::int64_t>(value.at(6), maxUnixMs);
    entry.sequence = value.size() > 7 ? integerFrom<std::uint64_t>(value.at(7)) : 0;
    return entry;
}

json toJson(const peer_key &key)
{
    return json::binary_t({key.begin(), key.end()});
}

peer_key keyFrom(const json &value)
{
    peer_key key{};
    const std::vector<std::uint8_t> &bytes = value.get_binary();
    if (bytes.size() != key.size()) {
        throwDecodeError("peer key has the wrong size", value);
    }
    std::copy(bytes.begin(), bytes.end(), key.begin());
    return key;
}

/// Reads the epoch that older hosts do not send as the last element.
std::uint64_t epochFrom(const json &message, std::size_t index)
{
    return message.size() > index ? integerFrom<std::uint64_t>(message.at(index)) : 0;
}

/// Converts the content of a change to JSON. The index of the variant is encoded separately.
struct content_writer
{
    route_encoding encoding;

    json operator()(const record_change::removed &) const { return nullptr; }
    json operator()(const record_change::unreadable &content) const { return content.problem; }
    json operator()(const route_config &content) const { return toJson(content, encoding); }
    json operator()(const upstream_record &content) const { return toJson(content); }
    json operator()(const zone_evacuation &) const { return nullptr; }
    json operator()(const host_record &content) const { return toJson(content); }
    json operator()(const config_patch &content) const
    {
        return json::array(
            {content.baseVersion, toJson(content.changed, encoding), content.removedRoutes});
    }
    json operator()(const shared_key &content) const { return toJson(content.key); }
    json operator()(const evacuation_mark &) const { return nullptr; }
};

json toJson(const record_change &change, route_encoding encoding)
{
    return json::array({static_cast<unsigned>(change.kind), change.name, change.upstreamId,
                        change.revision, change.content.index(),
                        std::visit(content_writer{encoding}, change.content), change.keyHash});
}

record_change changeFrom(const json &value)
{
    record_change change;
    const auto kind = countFrom(value.at(0));
    if (kind > static_cast<unsigned>(record_kind::evacuationMark)) {
        throwDecodeError("record kind is unknown", value);
    }
    change.kind = static_cast<record_kind>(kind);
    change.name = value.at(1).get<std::string>();
    change.upstreamId = integerFrom<std::uint64_t>(value.at(2));
    change.revision = integerFrom<std::uint64_t>(value.at(3));
    change.keyHash = value.size() > 6 ? integerFrom<std::uint64_t>(value.at(6)) : 0;
    const json &content = value.at(5);
    switch (integerFrom<std::size_t>(value.at(4))) {
    case 0:
        change.content = record_change::removed{};
        break;
    case 1:
        change.content = record_change::unreadable{content.get<std::string>()};
        break;
    case 2:
        change.content = configFrom(content);
        break;
    case 3:
        change.content = upstreamFrom(change.upstreamId, content);
        break;
    case 4:
        change.content = zone_evacuation{};
        break;
    case 5:
        change.content = hostFrom(content);
        break;
    case 6:
        change.content = shared_key{keyFrom(content)};
        break;
    case 7:
        change.content =
            config_patch{integerFrom<std::uint64_t>(content.at(0)), configFrom(content.at(1)),
                         content.at(2).get<std::vector<std::string>>()};
        break;
    case 8:
        change.content = evacuation_mark{};
        break;
    default:
        throwDecodeError("record content type is unknown", value);
    }
    return change;
}

json toJson(const std::vector<record_change> &records, route_encoding encoding)
{
    json list = json::array();
    for (const record_change &change : records) {
        list.push_back(toJson(change, encoding));
    }
    return list;
}

std::vector<record_change> recordsFrom(const json &list)
{
    std::vector<record_change> records;
    for (const json &item : list) {
        records.push_back(changeFrom(item));
    }
    return records;
}

/// Only hosts that read packed routes read messages of sets.
route_encoding encodingIn(const set_position &part)
{
    return part.count > 1 ? route_encoding::packed : route_encoding::list;
}

/// Appends the place in a set to @p message, of which the elements up to the epoch are written.
void appendPart(const set_position &part, json &message)
{
    message.push_back(part.set);
    message.push_back(part.index);
    message.push_back(part.count);
}

set_position partFrom(const json &message)
{
    set_position part;
    part.set = integerFrom<std::uint64_t>(message.at(7));
    part.index = integerFrom<unsigned>(message.at(8));
    part.count = integerFrom<unsigned>(message.at(9), maxMessagesInSet);
    if (part.count < 2 || part.index >= part.count) {
        throwDecodeError("position in a set is out of range", message);
    }
    return part;
}

view_snapshot snapshotFrom(const json &value)
{
    return view_snapshot{integerFrom<std::uint64_t>(value.at(1)),
                         keyFrom(value.at(2)),
                         integerFrom<std::uint64_t>(value.at(3)),
                         durationFrom(value.at(4)),
                         recordsFrom(value.at(5)),
                         epochFrom(value, 6)};
}

struct unsigned_writer
{
    json operator()(const view_request &request) const
    {
        return json::array({requestKind, request.nonce, request.hostName});
    }
    json operator()(const view_snapshot &snapshot) const
    {
        const bool isInSet = snapshot.part.count > 1;
        json message =
            json::array({isInSet ? snapshotInSetKind : snapshotKind, snapshot.nonce,
                         toJson(snapshot.key), snapshot.revision, snapshot.age.count(),
                         toJson(snapshot.records, encodingIn(snapshot.part)), snapshot.epoch});
        if (isInSet) {
            appendPart(snapshot.part, message);
        }
        return message;
    }
};

unsigned_message unsignedFrom(const json &value)
{
    switch (integerFrom<std::uint64_t>(value.at(0))) {
    case requestKind:
        return view_request{integerFrom<std::uint64_t>(value.at(1)),
                            value.at(2).get<std::string>()};
    case snapshotKind:
        return snapshotFrom(value);
    case snapshotInSetKind: {
        view_snapshot snapshot = snapshotFrom(value);
        snapshot.part = partFrom(value);
        return snapshot;
    }
    default:
        throwDecodeError("message kind is unknown", value);
    }
}

struct message_writer
{
    json operator()(const peer_report &report) const
    {
        return json::array({reportKind, toJson(report.sender), report.sequence, report.isLeaving,
                            report.viewRevision, report.viewAge.count(), report.configVersion,
                            encodeRows(report.rows), report.isDelta, report.newFlowsPerSecond,
                            report.viewEpoch, encodeTags(report.unacknowledging)});
    }
    json operator()(const view_changes &changes) const
    {
        const bool isInSet = changes.part.count > 1;
        json message =
            json::array({isInSet ? changesInSetKind : changesKind, changes.after, changes.revision,
                         changes.age.count(), changes.grace.count(),
                         toJson(changes.records, encodingIn(changes.part)), changes.epoch});
        if (isInSet) {
            appendPart(changes.part, message);
        }
        return message;
    }
    json operator()(const view_pull &pull) const
    {
        return json::array({pullKind, pull.after, toString(pull.replyTo), pull.epoch});
    }
};

view_changes changesFrom(const json &value)
{
    view_changes changes;
    changes.after = integerFrom<std::uint64_t>(value.at(1));
    changes.revision = integerFrom<std::uint64_t>(value.at(2));
    changes.age = durationFrom(value.at(3));
    changes.grace = durationFrom(value.at(4));
    changes.records = recordsFrom(value.at(5));
    changes.epoch = epochFrom(value, 6);
    return changes;
}

entry_message messageFrom(const json &value)
{
    switch (integerFrom<std::uint64_t>(value.at(0))) {
    case reportKind: {
        peer_report report;
        report.sender = hostFrom(value.at(1));
        report.sequence = integerFrom<std::uint64_t>(value.at(2));
        report.isLeaving = value.at(3).get<bool>();
        report.viewRevision = integerFrom<std::uint64_t>(value.at(4));
        report.viewAge = durationFrom(value.at(5));
        report.configVersion = integerFrom<std::uint64_t>(value.at(6));
        report.rows = decodeRows(value.at(7).get_binary());
        report.isDelta = value.size() > 8 && value.at(8).get<bool>();
        report.newFlowsPerSecond = value.size() > 9 ? countFrom(value.at(9)) : 0;
        report.viewEpoch = epochFrom(value, 10);
        if (value.size() > 11) {
            report.unacknowledging = decodeTags(value.at(11).get_binary());
        }
        return report;
    }
    case changesKind:
        return changesFrom(value);
    case changesInSetKind: {
        view_changes changes = changesFrom(value);
        changes.part = partFrom(value);
        return changes;
    }
    case pullKind:
        return view_pull{integerFrom<std::uint64_t>(value.at(1)), endpointFrom(value.at(2)),
                         epochFrom(value, 3)};
    default:
        throwDecodeError("message kind is unknown", value);
    }
}

} // namespace

byte_buffer encodedBytes(const record_change &change)
{
    return json::to_cbor(toJson(change, route_encoding::packed));
}

byte_buffer encodeUnsigned(const unsigned_message &message)
{
    byte_buffer bytes{unsignedPrefix};
    json::to_cbor(std::visit(unsigned_writer{}, message), bytes);
    return bytes;
}

bool isUnsigned(byte_view bytes)
{
    return !bytes.empty() && bytes[0] == unsignedPrefix;
}

leaf::result<unsigned_message> decodeUnsigned(byte_view bytes)
{
    if (!isUnsigned(bytes) || bytes.size() > maxEntryMessageBytes) {
        return leaf::new_error(entry_message_error{"unsigned message has a wrong size or prefix"});
    }
    const byte_view content = bytes.subspan(1);
    try {
        return unsignedFrom(parseCbor(content));
    } catch (const json::exception &error) {
        return leaf::new_error(entry_message_error{error.what()});
    }
}

byte_buffer encodeEntryMessage(const peer_key &key, const entry_message &message)
{
    byte_buffer bytes = json::to_cbor(std::visit(message_writer{}, message));
    signPeerDatagram(key, bytes);
    return bytes;
}

leaf::result<entry_message> decodeEntryMessage(const peer_key &key, byte_view bytes)
{
    if (bytes.size() <= peerMacBytes || bytes.size() > maxEntryMessageBytes) {
        return leaf::new_error(entry_message_error{"message has a wrong size"});
    }
    if (!verifyPeerDatagram(key, bytes)) {
        return leaf::new_error(entry_message_error{"message authentication code is wrong"});
    }
    const byte_view content = bytes.first(bytes.size() - peerMacBytes);
    try {
        return messageFrom(parseCbor(content));
    } catch (const json::exception &error) {
        return leaf::new_error(entry_message_error{error.what()});
    }
}

} // namespace figstair
