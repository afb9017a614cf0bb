#include "figstair/table/change_planner.h"

#include <doctest/doctest.h>

#include "errors.h"
#include "table_rows.h"

using namespace figstair;

namespace {

constexpr wall_time start{milliseconds(1700000000000)};
constexpr milliseconds quarantine{60000};

struct planner_fixture
{
    planner_fixture()
    {
        sheetRows = {namedRow(row_kind::service, "desk"), namedRow(row_kind::service, "shop"),
                     namedRow(row_kind::zone, "z1"),
                     upstreamRow("u1", "desk", "z1", "10.0.0.1:9000"),
                     upstreamRow("u2", "desk", "z1", "10.0.0.2:9000")};
        acceptSheet(sheetRows);
        base = current;
    }

    /// Applies a sheet that consists of @p rows and was exported from the current table.
    void acceptSheet(const std::vector<table_row> &rows)
    {
        apply(valueOf(
            [&] { return change_planner(now, quarantine).plan(sheetOf(rows), current, current); }));
    }

    void apply(std::vector<row_change> changes)
    {
        table_edit edit;
        edit.revision = current.revision() + 1;
        edit.parentDigest = current.digest();
        edit.changes = std::move(changes);
        REQUIRE(succeeds([&] { return current.apply(edit); }));
    }

    std::vector<row_change> plan()
    {
        return valueOf([&] {
            return change_planner(now, quarantine).plan(sheetOf(sheetRows), base, current);
        });
    }

    const upstream_entry *entryAt(const std::string &address) const
    {
        for (const auto &[id, entry] : current.upstreams()) {
            if (toString(entry.address) == address) {
                return &entry;
            }
        }
        return nullptr;
    }

    wall_time now = start;
    std::vector<table_row> sheetRows;
    table base;
    table current;
};

} // namespace

TEST_CASE_FIXTURE(planner_fixture, "change_planner: the same sheet: plans nothing")
{
    CHECK(plan().empty());
}

TEST_CASE_FIXTURE(planner_fixture, "change_planner: a changed weight: keeps the upstream's id")
{
    const std::uint32_t id = entryAt("10.0.0.1:9000")->id;
    sheetRows[3].weight = 9;
    apply(plan());
    CHECK(entryAt("10.0.0.1:9000")->id == id);
    CHECK(entryAt("10.0.0.1:9000")->weight == 9);
}

TEST_CASE_FIXTURE(
    planner_fixture,
    "change_planner: an upstream at a new address: gets a new id, the old id stays routable")
{
    const std::uint32_t id = entryAt("10.0.0.1:9000")->id;
    sheetRows[3].address = *parseEndpoint("10.0.0.7:9000");
    apply(plan());
    CHECK(entryAt("10.0.0.7:9000")->id > id);
    CHECK(entryAt("10.0.0.1:9000")->id == id);
    CHECK(entryAt("10.0.0.1:9000")->state == row_state::retired);
}

TEST_CASE_FIXTURE(
    planner_fixture,
    "change_planner: an address reused for another service: is refused during the quarantine")
{
    sheetRows.erase(sheetRows.begin() + 3);
    acceptSheet(sheetRows);
    base = current;
    sheetRows.push_back(upstreamRow("s1", "shop", "z1", "10.0.0.1:9000"));
    now = start + quarantine / 2;
    const auto refused = errorOf<address_in_quarantine>(
        [&] { return change_planner(now, quarantine).plan(sheetOf(sheetRows), base, current); });
    REQUIRE(refused.has_value());
    CHECK(refused->service == "desk");
    CHECK(refused->remaining == quarantine / 2);
    now = start + quarantine;
    const std::vector<row_change> changes = plan();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].row.name == "s1");
    CHECK(changes[1].isPurge);
}

TEST_CASE_FIXTURE(planner_fixture,
                  "change_planner: concurrent edits of different rows: both are kept")
{
    std::vector<table_row> concurrentRows = sheetRows;
    concurrentRows[4].weight = 5;
    acceptSheet(concurrentRows);
    sheetRows[3].weight = 7;
    apply(plan());
    CHECK(entryAt("10.0.0.1:9000")->weight == 7);
    CHECK(entryAt("10.0.0.2:9000")->weight == 5);
}

TEST_CASE_FIXTURE(
    planner_fixture,
    "change_planner: concurrent edits of one row: the later one fails and names the row")
{
    std::vector<table_row> concurrentRows = sheetRows;
    concurrentRows[3].weight = 5;
    acceptSheet(concurrentRows);
    sheetRows[3].weight = 7;
    const auto conflict = errorOf<edit_conflict>(
        [&] { return change_planner(now, quarantine).plan(sheetOf(sheetRows), base, current); });
    REQUIRE(conflict.has_value());
    REQUIRE(conflict->rowKeys.size() == 1);
    CHECK(conflict->rowKeys[0] == "upstream desk/10.0.0.1:9000");
    CHECK(conflict->baseRevision == 1);
    CHECK(conflict->currentRevision == 2);
}

TEST_CASE_FIXTURE(planner_fixture, "table: an edit of another chain or revision: changes nothing")
{
    table_edit edit;
    edit.revision = current.revision() + 1;
    edit.parentDigest = "another";
    edit.changes = {row_change{true, sheetRows[3]}};
    CHECK(errorOf<chain_error>([&] { return current.apply(edit); }).has_value());
    edit.parentDigest = current.digest();
    edit.revision += 1;
    CHECK(errorOf<chain_error>([&] { return current.apply(edit); }).has_value());
    CHECK(current.revision() == 1);
    CHECK(entryAt("10.0.0.1:9000")->state == row_state::in);
}

TEST_CASE_FIXTURE(planner_fixture, "edit: encoded and decoded: has the same digest")
{
    table_edit edit;
    edit.revision = 9;
    edit.parentDigest = current.digest();
    edit.editId = "e";
    edit.author = "an operator";
    for (const table_row &row : current.rows()) {
        edit.changes.push_back(row_change{false, row});
    }
    const table_edit read = valueOf([&] { return decodeEdit(encodeEdit(edit)); });
    CHECK(digestAfter(read) == digestAfter(edit));
    CHECK(errorOf<edit_error>([] { return decodeEdit("{\"revision\":"); }).has_value());
}
