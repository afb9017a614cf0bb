#include "figstair/core/gate/order_ledger.h"

#include <doctest/doctest.h>

using namespace figstair;

namespace {

constexpr wall_time start{milliseconds(1700000000000)};
constexpr std::uint32_t upstreamId = 5;

struct ledger_fixture
{
    order_ledger ledger{2, 100};
};

} // namespace

TEST_CASE_FIXTURE(ledger_fixture,
                  "order_ledger: full: takes no new record and keeps the existing ones")
{
    REQUIRE(ledger.add({1, 1}, upstreamId, order_state::pending, start) != nullptr);
    REQUIRE(ledger.add({1, 2}, upstreamId, order_state::notRun, start) != nullptr);
    CHECK(ledger.add({1, 3}, upstreamId, order_state::pending, start) == nullptr);
    CHECK(ledger.find({1, 1}) != nullptr);
    CHECK(ledger.find({1, 2}) != nullptr);
}

TEST_CASE_FIXTURE(ledger_fixture, "order_ledger: an expired record: is dropped and frees its bytes")
{
    order_record *record = ledger.add({1, 1}, upstreamId, order_state::answered, start);
    const byte_buffer payload(100, 'x');
    CHECK(ledger.storePart(*record, 0, payload));
    CHECK_FALSE(ledger.storePart(*record, 1, payload));
    ledger.expire(start - milliseconds(1));
    CHECK(ledger.find({1, 1}) != nullptr);
    ledger.expire(start);
    CHECK(ledger.find({1, 1}) == nullptr);
    record = ledger.add({1, 2}, upstreamId, order_state::answered, start);
    CHECK(ledger.storePart(*record, 0, payload));
}

TEST_CASE_FIXTURE(ledger_fixture, "order_ledger: records for handover: exclude pending ones")
{
    ledger.add({1, 1}, upstreamId, order_state::pending, start);
    ledger.add({1, 2}, upstreamId, order_state::answered, start);
    const auto records = ledger.settledRecords(upstreamId);
    REQUIRE(records.size() == 1);
    CHECK(records.front().key == order_key{1, 2});
}

TEST_CASE_FIXTURE(ledger_fixture, "order_ledger: too many records to import: imports nothing")
{
    const std::vector<order_record> three(3);
    CHECK_FALSE(ledger.importRecords({77}, upstreamId, three, start));
    CHECK_FALSE(ledger.hasImported(77, upstreamId));
    CHECK(ledger.size() == 0);
}

TEST_CASE_FIXTURE(ledger_fixture,
                  "order_ledger: an imported record: does not replace an existing one")
{
    ledger.add({1, 1}, upstreamId, order_state::answered, start);
    order_record other;
    other.key = {1, 1};
    other.state = order_state::unknown;
    CHECK(ledger.importRecords({77, 78}, upstreamId, {other}, start));
    CHECK(ledger.find({1, 1})->state == order_state::answered);
    CHECK(ledger.hasImported(77, upstreamId));
    CHECK(ledger.importedIncarnations(upstreamId) == std::vector<std::uint64_t>{77, 78});
    CHECK_FALSE(ledger.hasImported(77, upstreamId + 1));
    ledger.expire(start);
    CHECK_FALSE(ledger.hasImported(77, upstreamId));
}
