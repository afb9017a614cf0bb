#include "figstair/table/change_planner.h"

#include <algorithm>
#include <map>
#include <set>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

using rows_by_key = std::map<std::string, table_row>;

rows_by_key byKey(const std::vector<table_row> &rows)
{
    rows_by_key result;
    for (const table_row &row : rows) {
        if (row.kind != row_kind::key) {
            result.emplace(rowKey(row), row);
        }
    }
    return result;
}

bool isLive(const rows_by_key &rows, const std::string &key)
{
    const auto found = rows.find(key);
    return found != rows.end() && found->second.state != row_state::retired;
}

std::uint32_t highestId(const table &current)
{
    std::uint32_t highest = 0;
    for (const table_row &row : current.rows()) {
        highest = std::max(highest, row.id);
    }
    return highest;
}

/// True when the row of @p key has equal sheet cells in both; a retired row counts as absent.
bool isUnchanged(const rows_by_key &before, const rows_by_key &after, const std::string &key)
{
    if (!isLive(before, key) || !isLive(after, key)) {
        return isLive(before, key) == isLive(after, key);
    }
    return sameSheetCells(before.at(key), after.at(key));
}

row_change makeRemoval(const table_row &row, wall_time now)
{
    row_change change;
    change.row = row;
    if (row.kind == row_kind::upstream || row.kind == row_kind::service) {
        change.row.state = row_state::retired;
        change.row.changedAt = now;
    } else {
        change.isPurge = true;
    }
    return change;
}

bool isAppliedBefore(const row_change &a, const row_change &b)
{
    // Services are put first and purged last, because upstream rows refer to them.
    const auto applyOrder = [](const row_change &change) {
        const int kind = static_cast<int>(change.row.kind);
        return change.isPurge ? 100 - kind : kind;
    };
    return applyOrder(a) < applyOrder(b);
}

} // namespace

change_planner::change_planner(wall_time now, milliseconds quarantine)
    : m_now(now)
    , m_quarantine(quarantine)
{
}

leaf::result<std::vector<row_change>> change_planner::plan(const sheet &wanted, const table &base,
                                                           const table &current) const
{
    const rows_by_key wantedRows = byKey(wanted.rows);
    const rows_by_key baseRows = byKey(base.rows());
    const rows_by_key currentRows = byKey(current.rows());

    std::set<std::string> rowKeys;
    for (const rows_by_key *rows : {&wantedRows, &baseRows}) {
        for (const auto &[key, row] : *rows) {
            rowKeys.insert(key);
        }
    }
    std::vector<row_change> changes;
    edit_conflict conflict{base.revision(), current.revision(), {}};
    std::uint32_t nextId = highestId(current) + 1;
    for (const std::string &key : rowKeys) {
        if (isUnchanged(baseRows, wantedRows, key) || isUnchanged(currentRows, wantedRows, key)) {
            continue;
        }
        if (!isUnchanged(baseRows, currentRows, key)) {
            conflict.rowKeys.push_back(key);
            continue;
        }
        const auto existing = currentRows.find(key);
        if (!isLive(wantedRows, key)) {
            changes.push_back(makeRemoval(existing->second, m_now));
            continue;
        }
        row_change change;
        change.row = wantedRows.at(key);
        change.row.changedAt = m_now;
        change.row.id = existing == currentRows.end() ? nextId++ : existing->second.id;
        changes.push_back(std::move(change));
    }
    if (!conflict.rowKeys.empty()) {
        return leaf::new_error(conflict);
    }
    BOOST_LEAF_CHECK(checkAddresses(changes, current));
    if (!changes.empty()) {
        addPurges(current, changes);
        std::stable_sort(changes.begin(), changes.end(), isAppliedBefore);
    }
    return changes;
}

std::vector<row_change> change_planner::planKeyRotation(const table &current,
                                                        std::string sealedKey) const
{
    std::vector<row_change> changes;
    std::uint32_t highest = 0;
    for (const key_entry &key : current.keys()) {
        highest = std::max(highest, key.id);
    }
    row_change change;
    change.row.kind = row_kind::key;
    change.row.id = highest + 1;
    change.row.name = "key-" + std::to_string(change.row.id);
    change.row.changedAt = m_now;
    change.row.secret = std::move(sealedKey);
    changes.push_back(std::move(change));
    addPurges(current, changes);
    return changes;
}

leaf::result<void> change_planner::checkAddresses(const std::vector<row_change> &changes,
                                                  const table &current) const
{
    std::multimap<endpoint, const upstream_entry *> owners;
    for (const auto &[id, entry] : current.upstreams()) {
        owners.emplace(entry.address, &entry);
    }
    for (const row_change &change : changes) {
        if (change.row.kind != row_kind::upstream || change.row.state == row_state::retired) {
            continue;
        }
        const auto [first, last] = owners.equal_range(change.row.address);
        for (auto owner = first; owner != last; ++owner) {
            const upstream_entry &entry = *owner->second;
            const bool isRetired = entry.state == row_state::retired;
            const milliseconds remaining =
                isRetired ? m_quarantine - (m_now - entry.changedAt) : m_quarantine;
            if (entry.id != change.row.id && remaining.count() > 0) {
                return leaf::new_error(address_in_quarantine{
                    toString(entry.address), current.service(entry.serviceId)->name, remaining});
            }
        }
    }
    return {};
}

void change_planner::addPurges(const table &current, std::vector<row_change> &changes) const
{
    std::set<std::string> changedRowKeys;
    for (const row_change &change : changes) {
        changedRowKeys.insert(rowKey(change.row));
    }
    std::uint32_t newestKey = 0;
    for (const key_entry &key : current.keys()) {
        newestKey = std::max(newestKey, key.id);
    }
    std::set<std::string> servicesInUse;
    const std::vector<table_row> rows = current.rows();
    const auto isExpired = [this](const table_row &row) {
        return m_now - row.changedAt >= m_quarantine;
    };
    for (const table_row &row : rows) {
        const bool isExpiredUpstream =
            row.kind == row_kind::upstream && row.state == row_state::retired && isExpired(row);
        const bool isExpiredKey = row.kind == row_kind::key && row.id < newestKey && isExpired(row);
        if ((isExpiredUpstream || isExpiredKey) && changedRowKeys.count(rowKey(row)) == 0) {
            changes.push_back(row_change{true, row});
        } else if (row.kind == row_kind::upstream) {
            servicesInUse.insert(row.service);
        }
    }
    for (const table_row &row : rows) {
        const bool isExpiredService =
            row.kind == row_kind::service && row.state == row_state::retired && isExpired(row);
        if (isExpiredService && servicesInUse.count(row.name) == 0
            && changedRowKeys.count(rowKey(row)) == 0) {
            changes.push_back(row_change{true, row});
        }
    }
}

} // namespace figstair
