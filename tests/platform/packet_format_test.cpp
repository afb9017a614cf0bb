#include "platform/packet_format.h"

#include <random>

#include <doctest/doctest.h>

using namespace figstair;

namespace {

/// A SYN packet from 100.64.0.9:40002 to 198.18.0.3:8443 with sequence 0x01020304, written by hand
/// from the published layout.
byte_buffer openingPacket()
{
    return {0x01, 0x02, 0x03, 0x04, 0,    0,    0,    0, 0, 0,    0,    0, 0xA1, 0xB2, 0xC3, 0xD4,
            32,   0,    0,    0x20, 0xFB, 0xC6, 0x12, 0, 3, 0x64, 0x40, 0, 9,    0x9C, 0x42};
}

} // namespace

TEST_CASE("packet_format: an opening packet: all fields are read")
{
    const auto packet = platform::decodePacket(openingPacket());
    REQUIRE(packet.has_value());
    CHECK(packet->isSyn);
    CHECK_FALSE(packet->isAck);
    CHECK(packet->sequence == 0x01020304);
    CHECK(packet->flow.callerAddress == 0x64400009);
    CHECK(packet->flow.callerPort == 40002);
    CHECK(packet->flow.routeAddress == 0xC6120003);
    CHECK(packet->flow.routePort == 8443);
}

TEST_CASE("packet_format: truncated, too long, wrong length field or no flag: is refused")
{
    byte_buffer bytes = openingPacket();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(platform::decodePacket(byte_view(bytes.data(), size)).has_value());
    }
    bytes.push_back(0);
    CHECK_FALSE(platform::decodePacket(bytes).has_value());
    bytes[18] = 1;
    CHECK(platform::decodePacket(bytes).has_value());
    bytes[16] = 0;
    CHECK_FALSE(platform::decodePacket(bytes).has_value());
    byte_buffer large(platform::maxPacketBytes + 1);
    CHECK_FALSE(platform::decodePacket(large).has_value());
}

TEST_CASE("packet_format: random bytes: never read beyond their end")
{
    std::mt19937 random(1);
    for (int round = 0; round < 5000; ++round) {
        byte_buffer bytes(random() % 64);
        for (std::uint8_t &value : bytes) {
            value = static_cast<std::uint8_t>(random());
        }
        (void)platform::decodePacket(bytes);
    }
}

TEST_CASE("packet_format: for an upstream: id prepended, tag replaced, other bytes unchanged")
{
    known_upstream upstream;
    upstream.entry.id = 0x1122334455667788;
    upstream.tag = 0xAABBCCDD;
    const byte_buffer packet = openingPacket();
    byte_buffer out;
    platform::encodeForUpstream(packet, upstream, out);
    REQUIRE(out.size() == packet.size() + 8);
    CHECK(out[0] == 0x11);
    CHECK(out[7] == 0x88);
    CHECK(out[8 + 8] == 0xAA);
    CHECK(out[8 + 11] == 0xDD);
    for (std::size_t index = 0; index < packet.size(); ++index) {
        if (index < 8 || index > 11) {
            CHECK(out[8 + index] == packet[index]);
        }
    }
}

TEST_CASE("packet_format: a reset: goes from the route to the caller, without checksum or payload")
{
    byte_buffer out;
    platform::encodeReset(flow_id{0x64400009, 0xC6120003, 40002, 8443}, 7, out);
    REQUIRE(out.size() == 31);
    const auto packet = platform::decodePacket(out);
    REQUIRE(packet.has_value());
    CHECK(packet->isRst);
    CHECK(packet->sequence == 7);
    CHECK(packet->flow.callerAddress == 0xC6120003);
    CHECK(packet->flow.callerPort == 8443);
    CHECK(packet->flow.routeAddress == 0x64400009);
    CHECK(packet->flow.routePort == 40002);
    CHECK(out[12] + out[13] + out[14] + out[15] == 0);
}
