#include "figstair/wire/gossip_codec.h"

#include <algorithm>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "figstair/wire/bounded_cbor.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace figstair {
namespace {

constexpr std::size_t memberFieldCount = 9;

json toJson(const member &host)
{
    const json::binary_t address({host.address.address.begin(), host.address.address.end()});
    return json::array({host.name, host.zone, address, host.address.port, host.peerPort,
                        host.statusPort, host.incarnation, host.refutation,
                        static_cast<std::uint8_t>(host.state)});
}

/// Throws json::exception when @p value does not describe a member.
member memberFromJson(const json &value)
{
    if (!value.is_array() || value.size() != memberFieldCount) {
        throw json::other_error::create(501, "member is not an array of nine elements", &value);
    }
    member host;
    host.name = value[0].get<std::string>();
    host.zone = value[1].get<std::string>();
    const json::binary_t &address = value[2].get_binary();
    if (address.size() != host.address.address.size() || value[8].get<std::uint64_t>() > 5) {
        throw json::other_error::create(501, "member address or state is invalid", &value);
    }
    std::copy(address.begin(), address.end(), host.address.address.begin());
    host.address.port = value[3].get<std::uint16_t>();
    host.peerPort = value[4].get<std::uint16_t>();
    host.statusPort = value[5].get<std::uint16_t>();
    host.incarnation = value[6].get<std::uint64_t>();
    host.refutation = value[7].get<std::uint32_t>();
    host.state = static_cast<member_state>(value[8].get<std::uint8_t>());
    return host;
}

json toJson(const std::vector<member> &members)
{
    json list = json::array();
    for (const member &host : members) {
        list.push_back(toJson(host));
    }
    return list;
}

std::vector<member> membersFromJson(const json &list)
{
    std::vector<member> members;
    for (const json &item : list) {
        members.push_back(memberFromJson(item));
    }
    return members;
}

gossip_message gossipFromJson(const json &value)
{
    gossip_message message;
    message.sender = value.at(0).get<std::string>();
    message.viewDigest = value.at(1).get<std::uint64_t>();
    message.tableRevision = value.at(2).get<std::uint64_t>();
    message.tableDigest = value.at(3).get<std::string>();
    message.confirmedAgeMs = value.at(4).get<std::uint32_t>();
    message.target = value.at(5).get<std::string>();
    message.updates = membersFromJson(value.at(6));
    for (const json &item : value.at(7)) {
        message.reach.push_back(zone_reach{item.at(0).get<std::string>(),
                                           item.at(1).get<std::uint32_t>(),
                                           item.at(2).get<bool>()});
    }
    for (const json &item : value.at(8)) {
        message.contacts.push_back(
            zone_contact{item.at(0).get<std::string>(), item.at(1).get<std::uint32_t>()});
    }
    return message;
}

/// Decodes the CBOR in @p bytes, passes it to @p read and reports exceptions as gossip_error.
template <typename reader>
auto decodeWith(byte_view bytes, reader read) -> leaf::result<decltype(read(json()))>
{
    try {
        return read(parseCbor(bytes));
    } catch (const json::exception &error) {
        return leaf::new_error(gossip_error{error.what()});
    }
}

} // namespace

byte_buffer encodeGossip(const gossip_message &message)
{
    json reach = json::array();
    for (const zone_reach &item : message.reach) {
        reach.push_back(json::array({item.zone, item.version, item.reachable}));
    }
    json contacts = json::array();
    for (const zone_contact &item : message.contacts) {
        contacts.push_back(json::array({item.zone, item.ageMs}));
    }
    return json::to_cbor(
        json::array({message.sender, message.viewDigest, message.tableRevision, message.tableDigest,
                     message.confirmedAgeMs, message.target, toJson(message.updates),
                     std::move(reach), std::move(contacts)}));
}

leaf::result<gossip_message> decodeGossip(byte_view bytes)
{
    return decodeWith(bytes, gossipFromJson);
}

byte_buffer encodeMembers(const std::vector<member> &members)
{
    return json::to_cbor(toJson(members));
}

leaf::result<std::vector<member>> decodeMembers(byte_view bytes)
{
    return decodeWith(bytes, membersFromJson);
}

} // namespace figstair
