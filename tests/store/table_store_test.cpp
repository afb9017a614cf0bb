#include "figstair/store/table_store.h"

#include <map>

#include <doctest/doctest.h>

#include "errors.h"
#include "table_rows.h"

using namespace figstair;
namespace leaf = boost::leaf;

namespace {

/// An in-memory platform that can fail calls before they take effect or lose responses after they
/// did.
class faulty_store : public key_value_store
{
public:
    leaf::result<std::optional<stored_value>> get(const std::string &key) override
    {
        BOOST_LEAF_CHECK(failIfRequested());
        const auto found = m_values.find(key);
        return found == m_values.end() ? std::optional<stored_value>()
                                       : std::optional<stored_value>(found->second);
    }

    leaf::result<std::vector<stored_value>> range(const std::string &first, const std::string &end,
                                                  std::size_t limit) override
    {
        BOOST_LEAF_CHECK(failIfRequested());
        std::vector<stored_value> values;
        for (auto item = m_values.lower_bound(first);
             item != m_values.end() && item->first < end && values.size() < limit; ++item) {
            values.push_back(item->second);
        }
        return values;
    }

    leaf::result<bool> putIfUnchanged(const std::string &key, std::int64_t modRevision,
                                      const std::vector<stored_value> &puts) override
    {
        BOOST_LEAF_CHECK(failIfRequested());
        const std::int64_t actual = m_values.count(key) != 0 ? m_values[key].modRevision : 0;
        const bool isUnchanged = actual == modRevision;
        if (isUnchanged) {
            ++m_revision;
            for (const stored_value &put : puts) {
                largestValueBytes = std::max(largestValueBytes, put.value.size());
                m_values[put.key] = stored_value{put.key, put.value, m_revision};
            }
        }
        if (responsesToLose > 0) {
            --responsesToLose;
            return leaf::new_error(platform_error{"txn", "response lost"});
        }
        return isUnchanged;
    }

    int callsToFail = 0;
    int responsesToLose = 0;
    std::size_t largestValueBytes = 0;

private:
    leaf::result<void> failIfRequested()
    {
        if (callsToFail > 0) {
            --callsToFail;
            return leaf::new_error(platform_error{"call", "down"});
        }
        return {};
    }

    std::map<std::string, stored_value> m_values;
    std::int64_t m_revision = 0;
};

struct store_fixture
{
    table_edit edit(const table &current, const std::string &id, std::size_t rows = 1) const
    {
        table_edit next;
        next.revision = current.revision() + 1;
        next.parentDigest = current.digest();
        next.editId = id;
        for (std::size_t index = 0; index < rows; ++index) {
            next.changes.push_back(
                row_change{false, namedRow(row_kind::zone, id + "-" + std::to_string(index))});
        }
        return next;
    }

    commit_outcome commit(const table_edit &next)
    {
        const table_head head = valueOf([&] { return store.loadHead(); });
        return valueOf([&] { return store.commit(head, next); });
    }

    table current()
    {
        return valueOf([&] { return store.loadTable(); });
    }

    faulty_store values;
    table_store store{values};
};

} // namespace

TEST_CASE_FIXTURE(store_fixture, "table_store: an accepted edit: is the next revision")
{
    CHECK(commit(edit(current(), "e1")) == commit_outcome::accepted);
    CHECK(commit(edit(current(), "e2")) == commit_outcome::accepted);
    CHECK(current().revision() == 2);
    CHECK(valueOf([&] { return store.loadTable(1); }).revision() == 1);
}

TEST_CASE_FIXTURE(store_fixture, "table_store: two edits of one revision: the later one conflicts")
{
    const table before = current();
    const table_head head = valueOf([&] { return store.loadHead(); });
    CHECK(valueOf([&] { return store.commit(head, edit(before, "e1")); })
          == commit_outcome::accepted);
    CHECK(valueOf([&] { return store.commit(head, edit(before, "e2")); })
          == commit_outcome::conflict);
    CHECK(current().isZoneOut("e2-0") == false);
    CHECK(current().rows().size() == 1);
}

TEST_CASE_FIXTURE(store_fixture,
                  "table_store: the response lost after the write took effect: accepted, once")
{
    const table before = current();
    const table_head head = valueOf([&] { return store.loadHead(); });
    values.responsesToLose = 2;
    CHECK(valueOf([&] { return store.commit(head, edit(before, "e1")); })
          == commit_outcome::accepted);
    CHECK(current().revision() == 1);
}

TEST_CASE_FIXTURE(
    store_fixture,
    "table_store: the platform down for some calls: the edit is accepted after retries")
{
    const table before = current();
    const table_head head = valueOf([&] { return store.loadHead(); });
    values.callsToFail = 3;
    CHECK(valueOf([&] { return store.commit(head, edit(before, "e1")); })
          == commit_outcome::accepted);
}

TEST_CASE_FIXTURE(
    store_fixture,
    "table_store: the platform down throughout: the error says that the outcome is unknown")
{
    const table before = current();
    const table_head head = valueOf([&] { return store.loadHead(); });
    values.callsToFail = 1000;
    const auto error =
        errorOf<platform_error>([&] { return store.commit(head, edit(before, "e1")); });
    REQUIRE(error.has_value());
    CHECK(error->problem.find("could not be determined") != std::string::npos);
}

TEST_CASE_FIXTURE(store_fixture,
                  "table_store: an edit of many rows: stored in values under a megabyte")
{
    CHECK(commit(edit(current(), "big", 40000)) == commit_outcome::accepted);
    CHECK(values.largestValueBytes < 1000000);
    CHECK(current().zoneCount() == 40000);
}

TEST_CASE_FIXTURE(
    store_fixture,
    "table_store: many revisions: a new host starts from a snapshot of the same chain")
{
    for (int revision = 1; revision <= 70; ++revision) {
        commit(edit(current(), "e" + std::to_string(revision)));
        const table now = current();
        REQUIRE(succeeds([&] { return store.saveSnapshotIfDue(now); }));
    }
    const table_head head = valueOf([&] { return store.loadHead(); });
    CHECK(head.snapshotRevision == 64);
    const table_reply reply = valueOf([&] { return store.loadSince(head, 0); });
    CHECK(reply.isSnapshot);
    table restored;
    REQUIRE(succeeds([&] { return restored.restore(reply.revision, reply.digest, reply.rows); }));
    for (const table_edit &next : valueOf([&] { return store.loadEdits(64, 100); })) {
        REQUIRE(succeeds([&] { return restored.apply(next); }));
    }
    CHECK(restored.revision() == 70);
    CHECK(restored.digest() == current().digest());
}
