#include "figstair/wire/datagram.h"

#include <random>

#include <doctest/doctest.h>

#include "errors.h"
#include "figstair/wire/gossip_codec.h"

using namespace figstair;

namespace {

constexpr int fuzzRounds = 20000;
constexpr std::uint64_t fuzzSeed = 20261204;

struct datagram_fixture
{
    datagram_fixture()
    {
        sample.type = datagram_type::forwardRequest;
        sample.service = "order-desk";
        sample.requestId = 0x1122334455667788ULL;
        sample.token = token;
        sample.kind = request_kind::order;
        sample.budgetMs = 3000;
        sample.firstPart = 32;
        sample.partCount = 32;
        sample.status = refusal_status::tryAgain;
        sample.traceId = 7;
        sample.caller = *parseEndpoint("127.0.0.1:4000");
        sample.hopsLeft = 3;
        sample.hasReport = true;
        sample.report = upstream_report{55, upstream_phase::draining, 3};
        sample.payload = payload;
        encodeDatagram(sample, encoded);
    }

    std::size_t consumed = 0;
    byte_buffer token = byte_buffer(60, 0xAB);
    byte_buffer payload = byte_buffer(700, 0xCD);
    datagram sample;
    byte_buffer encoded;
};

} // namespace

TEST_CASE_FIXTURE(datagram_fixture, "datagram: encoded and decoded: keeps its fields")
{
    const datagram read = valueOf([&] { return decodeDatagram(encoded, consumed); });
    CHECK(consumed == encoded.size());
    CHECK(read.type == sample.type);
    CHECK(read.service == "order-desk");
    CHECK(read.requestId == sample.requestId);
    CHECK(byte_buffer(read.token.begin(), read.token.end()) == token);
    CHECK(read.kind == request_kind::order);
    CHECK(read.budgetMs == 3000);
    CHECK(read.partCount == 32);
    CHECK(read.status == refusal_status::tryAgain);
    CHECK(toString(read.caller) == toString(sample.caller));
    CHECK(read.report.startId == 55);
    CHECK(read.report.phase == upstream_phase::draining);
    CHECK(read.payload.size() == payload.size());
}

TEST_CASE_FIXTURE(datagram_fixture, "datagram: truncated at any byte: is refused")
{
    for (std::size_t size = 0; size < encoded.size(); ++size) {
        CHECK_FALSE(
            succeeds([&] { return decodeDatagram(byte_view(encoded.data(), size), consumed); }));
    }
}

TEST_CASE_FIXTURE(datagram_fixture, "datagram: an unsupported version: is refused with that error")
{
    encoded[3] = 2;
    const auto error = errorOf<datagram_error>([&] { return decodeDatagram(encoded, consumed); });
    REQUIRE(error.has_value());
    CHECK(error->problem == "other version");
}

TEST_CASE_FIXTURE(datagram_fixture, "datagram: a key given twice: is refused")
{
    byte_buffer duplicateKey{0xA3, 0x00, 0x01, 0x01, 0x01, 0x01, 0x02};
    const auto error =
        errorOf<datagram_error>([&] { return decodeDatagram(duplicateKey, consumed); });
    REQUIRE(error.has_value());
    CHECK(error->problem == "key given twice");
}

TEST_CASE_FIXTURE(datagram_fixture,
                  "datagram: bytes changed at random: views stay inside the bytes")
{
    std::mt19937_64 random(fuzzSeed);
    int accepted = 0;
    for (int round = 0; round < fuzzRounds; ++round) {
        byte_buffer bytes = encoded;
        for (std::uint64_t change = random() % 4 + 1; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        }
        bytes.resize(random() % bytes.size() + 1);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(read, decodeDatagram(bytes, consumed));
                ++accepted;
                CHECK(consumed <= bytes.size());
                if (!read.payload.empty()) {
                    CHECK(read.payload.data() >= bytes.data());
                    CHECK(read.payload.data() + read.payload.size() <= bytes.data() + bytes.size());
                }
                return {};
            },
            [] {});
    }
    CHECK(accepted < fuzzRounds);
}

TEST_CASE_FIXTURE(datagram_fixture, "peer datagram: any byte changed: is not authentic")
{
    const peer_key key{1, 2, 3};
    signPeerDatagram(key, encoded);
    CHECK(verifyPeerDatagram(key, encoded));
    CHECK_FALSE(verifyPeerDatagram(peer_key{1, 2, 4}, encoded));
    for (std::size_t index = 0; index < encoded.size(); ++index) {
        byte_buffer changed = encoded;
        changed[index] ^= 1;
        CHECK_FALSE(verifyPeerDatagram(key, changed));
    }
}

TEST_CASE("gossip: encoded and decoded: keeps members, reach and contacts")
{
    gossip_message message;
    message.sender = "a1";
    message.tableRevision = 12;
    message.updates.push_back(member{"b1", "z2", *parseEndpoint("10.0.0.1:7000"), 7100, 7200, 99, 3,
                                     member_state::leaving});
    message.reach.push_back(zone_reach{"z2", 4, false});
    message.contacts.push_back(zone_contact{"z3", 120});
    const gossip_message read = valueOf([&] { return decodeGossip(encodeGossip(message)); });
    REQUIRE(read.updates.size() == 1);
    CHECK(read.updates[0].name == "b1");
    CHECK(read.updates[0].state == member_state::leaving);
    CHECK(read.updates[0].incarnation == 99);
    CHECK(read.reach[0].version == 4);
    CHECK_FALSE(read.reach[0].reachable);
    CHECK(read.contacts[0].ageMs == 120);
}

TEST_CASE("gossip: bytes changed at random: is decoded or refused, does not crash")
{
    gossip_message message;
    message.sender = "a1";
    message.updates.resize(3);
    const byte_buffer validBytes = encodeGossip(message);
    std::mt19937_64 random(fuzzSeed);
    int refused = 0;
    for (int round = 0; round < fuzzRounds; ++round) {
        byte_buffer bytes = validBytes;
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        bytes.resize(random() % bytes.size() + 1);
        refused += succeeds([&] { return decodeGossip(bytes); }) ? 0 : 1;
    }
    CHECK(refused > 0);
}
