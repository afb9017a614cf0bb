#include "benchmark_scene.h"

#include <stdexcept>

#include <malloc.h>

#include <boost/leaf.hpp>

#include "figstair/wire/gossip_codec.h"

namespace leaf = boost::leaf;

namespace bench {

void counting_output::sendGossip(datagram_type type, std::uint64_t sequence, const endpoint &to,
                                 gossip_message &message)
{
    if (type == datagram_type::ping) {
        m_pings.emplace_back(sequence, to);
    }
    message.tableDigest = std::string(16, 'd');
    const byte_buffer payload = encodeGossip(message);
    datagram gossip;
    gossip.type = type;
    gossip.sequence = sequence;
    gossip.payload = payload;
    byte_buffer out;
    encodeDatagram(gossip, out);
    signPeerDatagram(secret, out);
    ++datagrams;
    bytes += out.size();
}

void counting_output::answerPings(membership &members)
{
    std::vector<std::pair<std::uint64_t, endpoint>> pings;
    pings.swap(m_pings);
    for (const auto &[sequence, to] : pings) {
        const std::size_t index = to.address[14] * std::size_t{256} + to.address[15];
        gossip_message answer;
        answer.sender = "host-" + std::to_string(index);
        members.onGossip(datagram_type::ack, sequence, to, answer);
    }
}

std::string zoneName(std::size_t index)
{
    return "zone-" + std::to_string(index % zoneCount);
}

endpoint addressOf(std::size_t index, std::uint16_t port)
{
    endpoint address = *parseEndpoint("10.0.0.0:1");
    address.address[13] = static_cast<std::uint8_t>(index >> 16U);
    address.address[14] = static_cast<std::uint8_t>(index >> 8U);
    address.address[15] = static_cast<std::uint8_t>(index);
    address.port = port;
    return address;
}

std::vector<table_row> makeRows(std::size_t upstreams)
{
    std::vector<table_row> rows;
    const std::size_t services = (upstreams + upstreamsPerService - 1) / upstreamsPerService;
    for (std::size_t index = 0; index < services; ++index) {
        table_row row;
        row.kind = row_kind::service;
        row.name = "service-" + std::to_string(index);
        row.id = static_cast<std::uint32_t>(index + 1);
        rows.push_back(row);
    }
    for (std::size_t index = 0; index < zoneCount; ++index) {
        table_row row;
        row.kind = row_kind::zone;
        row.name = zoneName(index);
        rows.push_back(row);
    }
    for (std::size_t index = 0; index < upstreams; ++index) {
        table_row row;
        row.kind = row_kind::upstream;
        row.name = "u-" + std::to_string(index);
        row.service = "service-" + std::to_string(index / upstreamsPerService);
        row.zone = zoneName(index);
        row.address = addressOf(index, 9000);
        row.weight = 1;
        row.slots = 4;
        row.connections = 2000;
        row.coldLimit = 1;
        row.warmup = milliseconds(8000);
        row.id = static_cast<std::uint32_t>(services + index + 1);
        rows.push_back(row);
    }
    table_row key;
    key.kind = row_kind::key;
    key.name = "key-1";
    key.id = 1;
    key.secret = makeSealedKey(secret);
    rows.push_back(key);
    return rows;
}

table makeTable(std::size_t upstreams)
{
    table result;
    const std::vector<table_row> rows = makeRows(upstreams);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(result.restore(1, "digest", rows));
            return {};
        },
        [] { throw std::logic_error("benchmark table cannot be restored"); });
    return result;
}

std::vector<member> makeMembers(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t index = 0; index < count; ++index) {
        member host;
        host.name = "host-" + std::to_string(index);
        host.zone = zoneName(index);
        host.address = addressOf(index, 7000);
        host.peerPort = 7100;
        host.statusPort = 7200;
        host.incarnation = 1700000000000000000ULL + index;
        host.state = member_state::alive;
        members.push_back(host);
    }
    return members;
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace bench
