#include "figstair/wire/change_sets.h"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "errors.h"

using namespace figstair;

namespace {

constexpr std::size_t partBytes = 2000;
const monotonic_time now(milliseconds(100000));

route routeWithNumber(std::size_t number)
{
    return route{"route-" + std::to_string(number),
                 static_cast<std::uint32_t>(number),
                 443,
                 {{"desk", 1}},
                 milliseconds(4000),
                 milliseconds(250),
                 1};
}

/// A patch that adds and removes 300 routes each, an upstream, and 200 records of one revision.
struct large_changes
{
    large_changes()
    {
        changes.after = 10;
        changes.revision = 14;
        changes.epoch = 2;
        changes.age = milliseconds(20);
        changes.grace = milliseconds(500);
        config_patch patch;
        patch.baseVersion = 3;
        patch.changed.version = 4;
        patch.changed.idleTimeout = milliseconds(9000);
        patch.changed.services.push_back(service_limits{"desk", 2000, milliseconds(2000), 1.5});
        for (std::size_t number = 0; number < 300; ++number) {
            patch.changed.routes.push_back(routeWithNumber(number));
            patch.removedRoutes.push_back("old-" + std::to_string(number));
        }
        add(record_kind::config, 12, patch);
        for (std::uint64_t id = 1; id <= 200; ++id) {
            upstream_record entry;
            entry.id = id;
            entry.service = "desk";
            add(record_kind::upstream, 13, entry);
            changes.records.back().upstreamId = id;
        }
        add(record_kind::evacuation, 14, zone_evacuation{});
    }

    template <typename content> void add(record_kind kind, std::uint64_t revision, content value)
    {
        record_change change;
        change.kind = kind;
        change.revision = revision;
        change.content = std::move(value);
        changes.records.push_back(std::move(change));
    }

    /// The changes that @p messages lead to at a host with @p assembler.
    std::vector<record_change> received(const std::vector<view_changes> &messages)
    {
        std::vector<record_change> records;
        for (const view_changes &message : messages) {
            std::optional<view_changes> whole = message;
            if (message.part.count > 1) {
                whole = assembler.add(message, now).whole;
            }
            if (whole) {
                records.insert(records.end(), whole->records.begin(), whole->records.end());
            }
        }
        return records;
    }

    view_changes changes;
    changes_assembler assembler;
};

byte_buffer encoded(const std::vector<record_change> &records)
{
    byte_buffer bytes;
    for (const record_change &change : records) {
        const byte_buffer added = encodedBytes(change);
        bytes.insert(bytes.end(), added.begin(), added.end());
    }
    return bytes;
}

std::vector<view_changes> messagesOfSet(const std::vector<view_changes> &messages)
{
    std::vector<view_changes> set;
    for (const view_changes &message : messages) {
        if (message.part.count > 1 && message.revision == 12) {
            set.push_back(message);
        }
    }
    return set;
}

} // namespace

TEST_CASE_FIXTURE(large_changes,
                  "change_sets: changes of one revision are large: every message stays small, "
                  "nothing is lost")
{
    const std::vector<view_changes> messages = splitBySize(changes, partBytes);
    std::uint64_t reached = 10;
    for (const view_changes &message : messages) {
        CHECK(encoded(message.records).size() <= partBytes * 2);
        const bool isFirst = message.part.index == 0;
        CHECK(message.after == (isFirst ? reached : message.after));
        CHECK(message.part.index < message.part.count);
        reached = message.revision;
    }
    CHECK(reached == 14);
    CHECK((encoded(received(messages)) == encoded(changes.records)));
}

TEST_CASE_FIXTURE(large_changes,
                  "change_sets: messages arrive in any order and twice: joined once, as sent")
{
    const std::vector<view_changes> set = messagesOfSet(splitBySize(changes, partBytes));
    REQUIRE(set.size() > 5);
    std::vector<view_changes> sent = set;
    sent.insert(sent.end(), set.begin() + 1, set.end());
    std::shuffle(sent.begin(), sent.end(), std::mt19937(7));
    const std::vector<record_change> records = received(sent);
    REQUIRE(records.size() == 1);
    CHECK((encoded(records) == encoded({changes.records.front()})));
}

TEST_CASE_FIXTURE(large_changes,
                  "change_sets: a message is lost: a repetition by another host fills the gap")
{
    std::vector<view_changes> set = messagesOfSet(splitBySize(changes, partBytes));
    const view_changes lost = set[2];
    set.erase(set.begin() + 2);
    CHECK(received(set).empty());
    CHECK(assembler.missing() == 1);
    changes.age = milliseconds(300);
    const std::vector<view_changes> repeated = messagesOfSet(splitBySize(changes, partBytes));
    const std::optional<view_changes> whole = assembler.add(repeated[2], now).whole;
    REQUIRE(whole);
    CHECK(whole->age == milliseconds(300));
    CHECK(whole->after == lost.after);
    CHECK(assembler.missing() == 0);
}

TEST_CASE_FIXTURE(large_changes, "change_sets: sets with other content: are not mixed")
{
    const std::vector<view_changes> set = messagesOfSet(splitBySize(changes, partBytes));
    std::get<config_patch>(changes.records.front().content).changed.routes[0].port = 80;
    const std::vector<view_changes> other = messagesOfSet(splitBySize(changes, partBytes));
    REQUIRE(set.size() == other.size());
    for (std::size_t index = 0; index < set.size(); ++index) {
        CHECK_FALSE(assembler.add(index % 2 == 0 ? set[index] : other[index], now).whole);
    }
}

TEST_CASE_FIXTURE(large_changes, "change_sets: many sets stay incomplete: only the newest are kept")
{
    std::vector<std::vector<view_changes>> sets;
    for (std::uint16_t port = 1; port <= 20; ++port) {
        std::get<config_patch>(changes.records.front().content).changed.routes[0].port = port;
        sets.push_back(messagesOfSet(splitBySize(changes, partBytes)));
        sets.back().pop_back();
        CHECK(received(sets.back()).empty());
    }
    std::get<config_patch>(changes.records.front().content).changed.routes[0].port = 1;
    CHECK_FALSE(assembler.add(messagesOfSet(splitBySize(changes, partBytes)).back(), now).whole);
}

TEST_CASE_FIXTURE(large_changes, "change_sets: the view is beyond a set: the set is discarded")
{
    std::vector<view_changes> set = messagesOfSet(splitBySize(changes, partBytes));
    set.pop_back();
    CHECK(received(set).empty());
    assembler.discardUpTo({2, 11});
    CHECK(assembler.missing() == 1);
    assembler.discardUpTo({2, 12});
    CHECK(assembler.missing() == 0);
}

TEST_CASE_FIXTURE(large_changes, "change_sets: a message of a set: reads back as written")
{
    constexpr peer_key key{3};
    const view_changes sent = messagesOfSet(splitBySize(changes, partBytes))[1];
    const byte_buffer bytes = encodeEntryMessage(key, sent);
    const auto read =
        std::get<view_changes>(valueOf([&] { return decodeEntryMessage(key, bytes); }));
    CHECK(read.part.set == sent.part.set);
    CHECK(read.part.index == 1);
    CHECK(read.part.count == sent.part.count);
    CHECK((encoded(read.records) == encoded(sent.records)));
}

TEST_CASE_FIXTURE(large_changes,
                  "change_sets: an index outside of its set: the message is rejected")
{
    constexpr peer_key key{3};
    view_changes message = messagesOfSet(splitBySize(changes, partBytes))[1];
    for (const set_position &part : {set_position{1, 2, 2}, set_position{1, 600, 601}}) {
        message.part = part;
        const byte_buffer bytes = encodeEntryMessage(key, message);
        CHECK(errorOf<entry_message_error>([&] { return decodeEntryMessage(key, bytes); }));
    }
}

TEST_CASE("change_sets: changes split by size: no revision gap, one revision stays together")
{
    view_changes changes;
    changes.after = 10;
    changes.revision = 40;
    for (std::uint64_t number = 0; number < 30; ++number) {
        record_change change;
        change.kind = record_kind::upstream;
        change.upstreamId = number;
        change.revision = 11 + number / 3; // three changes per revision
        changes.records.push_back(change);
    }
    const std::vector<view_changes> parts = splitBySize(changes, 40);
    REQUIRE(parts.size() > 3);
    std::uint64_t reached = 10;
    std::size_t records = 0;
    for (const view_changes &part : parts) {
        CHECK(part.after == reached);
        reached = part.revision;
        records += part.records.size();
        CHECK(part.records.size() % 3 == 0);
    }
    CHECK(reached == 40);
    CHECK(records == 30);
    CHECK(splitBySize(view_changes{}, 40).size() == 1);
}
