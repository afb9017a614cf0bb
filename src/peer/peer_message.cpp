#include "figstair/peer/peer_message.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "figstair/wire/bounded_cbor.h"
#include "figstair/wire/gossip_codec.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace figstair {
namespace {

json toBinary(const byte_buffer &bytes)
{
    return json::binary(bytes);
}

json toJson(const members_request &message)
{
    return json::array({message.slice.index, message.slice.count, message.slice.digest});
}

json toJson(const members_reply &message)
{
    return toBinary(encodeMembers(message.members));
}

json toJson(const table_request &message)
{
    return message.revision;
}

json toJson(const table_reply &message)
{
    json edits = json::array();
    for (const table_edit &edit : message.edits) {
        edits.push_back(encodeEdit(edit));
    }
    json rows = json::array();
    for (const table_row &row : message.rows) {
        rows.push_back(toStoredCells(row));
    }
    return json::array({message.baseRevision, message.baseDigest, std::move(edits),
                        message.isSnapshot, message.revision, message.digest, std::move(rows)});
}

json toJson(const order_record &record)
{
    json parts = json::array();
    for (const auto &[number, payload] : record.parts) {
        parts.push_back(json::array({number, toBinary(payload)}));
    }
    return json::array({record.key.flowNonce, record.key.requestId, record.upstreamId,
                        static_cast<std::uint8_t>(record.state),
                        record.expiresAt.time_since_epoch().count(), record.partTotal,
                        record.digest, std::move(parts)});
}

json toJson(const order_handover &message)
{
    json records = json::array();
    for (const order_record &record : message.records) {
        records.push_back(toJson(record));
    }
    return json::array({message.gateIncarnations, message.upstreamId, std::move(records)});
}

json toJson(const handover_taken &message)
{
    return json::array({message.upstreamId, message.gateIncarnation});
}

leaf::error_id fail(const std::string &problem)
{
    return leaf::new_error(peer_message_error{problem});
}

leaf::result<peer_message> readMembers(const json &body)
{
    const json::binary_t &bytes = body.get_binary();
    BOOST_LEAF_AUTO(members, decodeMembers(byte_view(bytes.data(), bytes.size())));
    return peer_message(members_reply{std::move(members)});
}

leaf::result<peer_message> readTableReply(const json &body)
{
    table_reply reply;
    reply.baseRevision = body.at(0).get<std::uint64_t>();
    reply.baseDigest = body.at(1).get<std::string>();
    for (const json &item : body.at(2)) {
        BOOST_LEAF_AUTO(edit, decodeEdit(item.get<std::string>()));
        reply.edits.push_back(std::move(edit));
    }
    reply.isSnapshot = body.at(3).get<bool>();
    reply.revision = body.at(4).get<std::uint64_t>();
    reply.digest = body.at(5).get<std::string>();
    for (const json &item : body.at(6)) {
        const auto cells = item.get<std::vector<std::string>>();
        BOOST_LEAF_AUTO(row, fromStoredCells(cells));
        reply.rows.push_back(std::move(row));
    }
    return peer_message(std::move(reply));
}

leaf::result<order_record> readOrderRecord(const json &body)
{
    order_record record;
    record.key.flowNonce = body.at(0).get<std::uint64_t>();
    record.key.requestId = body.at(1).get<std::uint64_t>();
    record.upstreamId = body.at(2).get<std::uint32_t>();
    const auto state = body.at(3).get<std::uint64_t>();
    if (state > static_cast<std::uint64_t>(order_state::unknown)) {
        return fail("order state is unknown");
    }
    record.state = static_cast<order_state>(state);
    record.expiresAt = wall_time(milliseconds(body.at(4).get<std::int64_t>()));
    record.partTotal = body.at(5).get<std::uint32_t>();
    record.digest = body.at(6).get<std::uint64_t>();
    for (const json &item : body.at(7)) {
        const json::binary_t &payload = item.at(1).get_binary();
        record.parts[item.at(0).get<std::uint32_t>()].assign(payload.begin(), payload.end());
    }
    return record;
}

leaf::result<peer_message> readHandover(const json &body)
{
    order_handover handover;
    handover.gateIncarnations = body.at(0).get<std::vector<std::uint64_t>>();
    handover.upstreamId = body.at(1).get<std::uint32_t>();
    for (const json &item : body.at(2)) {
        BOOST_LEAF_AUTO(record, readOrderRecord(item));
        handover.records.push_back(std::move(record));
    }
    return peer_message(std::move(handover));
}

leaf::result<peer_message> readBody(std::uint64_t type, const json &body)
{
    switch (type) {
    case 0:
        return peer_message(members_request{member_slice{body.at(0).get<std::uint32_t>(),
                                                         body.at(1).get<std::uint32_t>(),
                                                         body.at(2).get<std::uint64_t>()}});
    case 1:
        return readMembers(body);
    case 2:
        return peer_message(table_request{body.get<std::uint64_t>()});
    case 3:
        return readTableReply(body);
    case 4:
        return readHandover(body);
    case 5:
        return peer_message(
            handover_taken{body.at(0).get<std::uint32_t>(), body.at(1).get<std::uint64_t>()});
    default:
        return fail("message type is unknown");
    }
}

} // namespace

std::string encodePeerMessage(const peer_key &key, const peer_message &message)
{
    const json body =
        std::visit([](const auto &alternative) { return toJson(alternative); }, message);
    byte_buffer bytes = json::to_cbor(json::array({wireVersion, message.index(), body}));
    signPeerDatagram(key, bytes);
    return std::string(bytes.begin(), bytes.end());
}

leaf::result<peer_message> decodePeerMessage(const peer_key &key, const std::string &bytes)
{
    const byte_view byteView(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!verifyPeerDatagram(key, byteView)) {
        return fail("message authentication code is wrong");
    }
    return leaf::try_handle_some(
        [&]() -> leaf::result<peer_message> {
            try {
                const json value = parseCbor(byteView.first(bytes.size() - peerMacBytes));
                if (value.at(0).get<std::uint64_t>() != wireVersion) {
                    return fail("protocol version is not supported");
                }
                return readBody(value.at(1).get<std::uint64_t>(), value.at(2));
            } catch (const json::exception &error) {
                return fail(error.what());
            }
        },
        [](const gossip_error &error) -> leaf::result<peer_message> {
            return fail("invalid member list: " + error.problem);
        },
        [](const edit_error &error) -> leaf::result<peer_message> {
            return fail("invalid table edit: " + error.problem);
        },
        [](const cell_error &error) -> leaf::result<peer_message> {
            return fail("invalid table row: column " + error.column);
        });
}

} // namespace figstair
