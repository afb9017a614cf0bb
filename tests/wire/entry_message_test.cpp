#include "figstair/wire/entry_message.h"

#include <random>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "errors.h"

using namespace figstair;

namespace {

constexpr peer_key key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};

entry_message decoded(const byte_buffer &bytes)
{
    return valueOf([&] { return decodeEntryMessage(key, bytes); });
}

view_changes sampleChanges()
{
    view_changes changes;
    changes.after = 7;
    changes.revision = 12;
    changes.age = milliseconds(15);
    changes.grace = milliseconds(900);
    record_change change;
    change.revision = 8;
    route_config config;
    config.version = 3;
    config.routes.push_back(
        route{"r", 5, 443, {{"a", 9}, {"b", 1}}, milliseconds(4000), milliseconds(250), 2});
    config.services.push_back(service_limits{"a", 2000, milliseconds(2000), 1.5});
    config.idleTimeout = milliseconds(15000);
    change.content = config;
    changes.records.push_back(change);
    change.kind = record_kind::upstream;
    change.upstreamId = 77;
    upstream_record upstream;
    upstream.id = 77;
    upstream.service = "a";
    upstream.zone = "z";
    upstream.slots = 4;
    upstream.startedAtMs = 1700000000000;
    upstream.sequence = 19;
    change.content = upstream;
    change.keyHash = 0x123456789abcdef0;
    changes.records.push_back(change);
    change.content = record_change::unreadable{"broken"};
    changes.records.push_back(change);
    change.content = record_change::removed{};
    changes.records.push_back(change);
    change.kind = record_kind::evacuation;
    change.name = "z";
    change.content = zone_evacuation{};
    changes.records.push_back(change);
    change.kind = record_kind::evacuationMark;
    change.content = evacuation_mark{};
    changes.records.push_back(change);
    change.kind = record_kind::host;
    change.content = host_record{"z", "zone", {}, 3};
    changes.records.push_back(change);
    change.kind = record_kind::key;
    change.content = shared_key{key};
    changes.records.push_back(change);
    return changes;
}

} // namespace

TEST_CASE("entry_message: a report: reads back as written")
{
    peer_report report;
    report.sender = host_record{"h", "z", *parseEndpoint("10.0.0.1:7720"), 9};
    report.sequence = 4;
    report.isLeaving = true;
    report.viewRevision = 99;
    report.viewAge = milliseconds(120);
    report.configVersion = 6;
    report.rows = {{1, 2, 3, true}, {4000000000U, 65535, 8191, false, true, true}};
    const auto result = std::get<peer_report>(decoded(encodeEntryMessage(key, report)));
    CHECK(result.sender.name == "h");
    CHECK((result.sender.peerAddress == report.sender.peerAddress));
    CHECK(result.isLeaving);
    CHECK(result.viewRevision == 99);
    CHECK(result.viewAge == milliseconds(120));
    CHECK(result.rows == report.rows);
}

TEST_CASE("entry_message: changes of every kind: read back as written")
{
    const view_changes changes = sampleChanges();
    const auto result = std::get<view_changes>(decoded(encodeEntryMessage(key, changes)));
    CHECK(result.after == 7);
    CHECK(result.revision == 12);
    CHECK(result.grace == milliseconds(900));
    REQUIRE(result.records.size() == changes.records.size());
    for (std::size_t index = 0; index < changes.records.size(); ++index) {
        CHECK(result.records[index].content.index() == changes.records[index].content.index());
        CHECK(result.records[index].kind == changes.records[index].kind);
    }
    const auto &config = std::get<route_config>(result.records[0].content);
    CHECK(config.routes.at(0).services.at(1).service == "b");
    CHECK(config.services.at(0).coldRequestsPerSecond == doctest::Approx(1.5));
    CHECK(std::get<upstream_record>(result.records[1].content).startedAtMs == 1700000000000);
    CHECK(std::get<upstream_record>(result.records[1].content).sequence == 19);
    CHECK(result.records[1].keyHash == changes.records[1].keyHash);
}

TEST_CASE("entry_message: epochs: read back as written, 0 from hosts that do not send them")
{
    peer_report report;
    report.viewEpoch = 3;
    CHECK(std::get<peer_report>(decoded(encodeEntryMessage(key, report))).viewEpoch == 3);
    view_changes changes;
    changes.epoch = 4;
    CHECK(std::get<view_changes>(decoded(encodeEntryMessage(key, changes))).epoch == 4);
    CHECK(std::get<view_pull>(decoded(encodeEntryMessage(key, view_pull{7, {}, 5}))).epoch == 5);
    view_snapshot snapshot;
    snapshot.epoch = 6;
    const auto read = valueOf([&] { return decodeUnsigned(encodeUnsigned(snapshot)); });
    CHECK(std::get<view_snapshot>(read).epoch == 6);
    byte_buffer older = nlohmann::json::to_cbor(nlohmann::json::array({3, 7, "10.0.0.1:7000"}));
    signPeerDatagram(key, older);
    CHECK(std::get<view_pull>(decoded(older)).epoch == 0);
}

TEST_CASE(
    "entry_message: unacknowledging upstreams: read back as written, none from older hosts, at "
    "most 64")
{
    peer_report report;
    report.unacknowledging = {7, 4000000000U};
    const auto read = std::get<peer_report>(decoded(encodeEntryMessage(key, report)));
    CHECK(read.unacknowledging == report.unacknowledging);
    report.unacknowledging.assign(1000, 7);
    CHECK(std::get<peer_report>(decoded(encodeEntryMessage(key, report))).unacknowledging.size()
          == 64);
    byte_buffer older = nlohmann::json::to_cbor(nlohmann::json::array(
        {1, nlohmann::json::array({"h", "z", "10.0.0.1:7000", 1, 0}), 1, false, 1, 0, 1,
         nlohmann::json::binary_t(std::vector<std::uint8_t>{}), false, 0, 0}));
    signPeerDatagram(key, older);
    CHECK(std::get<peer_report>(decoded(older)).unacknowledging.empty());
}

TEST_CASE("entry_message: wrong key, changed byte or truncated message: refused")
{
    byte_buffer bytes = encodeEntryMessage(key, view_pull{5, {}});
    peer_key otherKey = key;
    otherKey[0] ^= 1U;
    CHECK(errorOf<entry_message_error>([&] {
              return decodeEntryMessage(otherKey, bytes);
          }).has_value());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const byte_buffer truncated(bytes.begin(), bytes.begin() + std::ptrdiff_t(size));
        CHECK_FALSE(succeeds([&] { return decodeEntryMessage(key, truncated); }));
    }
    bytes[2] ^= 1U;
    CHECK_FALSE(succeeds([&] { return decodeEntryMessage(key, bytes); }));
}

TEST_CASE("entry_message: random content with a valid MAC: refused or decoded, does not crash")
{
    std::mt19937 random(1);
    const byte_buffer validBytes = encodeEntryMessage(key, sampleChanges());
    for (int round = 0; round < 3000; ++round) {
        byte_buffer bytes(validBytes.begin(), validBytes.end() - std::ptrdiff_t(peerMacBytes));
        const unsigned changes = 1 + random() % 4;
        for (unsigned change = 0; change < changes; ++change) {
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        }
        bytes.resize(1 + random() % bytes.size());
        signPeerDatagram(key, bytes);
        (void)succeeds([&] { return decodeEntryMessage(key, bytes); });
    }
    CHECK(succeeds([&] { return decodeEntryMessage(key, validBytes); }));
}

TEST_CASE("entry_message: numbers out of bounds: refused")
{
    const auto signedOf = [](const nlohmann::json &value) {
        byte_buffer bytes = nlohmann::json::to_cbor(value);
        signPeerDatagram(key, bytes);
        return bytes;
    };
    constexpr int pullKind = 3;
    CHECK(succeeds([&] {
        return decodeEntryMessage(key, signedOf({pullKind, 5, "10.0.0.1:7000"}));
    }));
    for (const nlohmann::json &revision : {nlohmann::json(4.5e22), nlohmann::json(-1)}) {
        CAPTURE(revision.dump());
        CHECK_FALSE(succeeds([&] {
            return decodeEntryMessage(key, signedOf({pullKind, revision, "10.0.0.1:7000"}));
        }));
    }
    view_changes changes = sampleChanges();
    changes.age = milliseconds::max();
    CHECK_FALSE(
        succeeds([&] { return decodeEntryMessage(key, encodeEntryMessage(key, changes)); }));
}

TEST_CASE("entry_message: larger than the maximum size: refused")
{
    byte_buffer bytes(maxEntryMessageBytes + 1);
    CHECK_FALSE(succeeds([&] { return decodeEntryMessage(key, bytes); }));
}

TEST_CASE("entry_message: view request and snapshot: read back, distinguished from signed messages")
{
    const byte_buffer request = encodeUnsigned(view_request{5, "h"});
    CHECK(isUnsigned(request));
    CHECK_FALSE(isUnsigned(encodeEntryMessage(key, view_pull{5, {}})));
    CHECK_FALSE(succeeds([&] { return decodeEntryMessage(key, request); }));
    const auto result = valueOf([&] { return decodeUnsigned(request); });
    CHECK(std::get<view_request>(result).hostName == "h");
    view_snapshot snapshot{6, key, 77, milliseconds(9), sampleChanges().records};
    const auto answer = valueOf([&] { return decodeUnsigned(encodeUnsigned(snapshot)); });
    CHECK(std::get<view_snapshot>(answer).key == key);
    CHECK(std::get<view_snapshot>(answer).records.size() == snapshot.records.size());
    byte_buffer truncated = encodeUnsigned(snapshot);
    truncated.resize(truncated.size() / 2);
    CHECK_FALSE(succeeds([&] { return decodeUnsigned(truncated); }));
}
