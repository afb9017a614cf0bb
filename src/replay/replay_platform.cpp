#include "figstair/replay/replay_platform.h"

#include <boost/leaf.hpp>

#include "figstair/replay/trace.h"

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr milliseconds quarantine{3600000};

/// Returns the value that @p operation yields. Throws trace_problem when it fails.
template <typename action>
auto valueOrThrow(action operation) -> std::decay_t<decltype(operation().value())>
{
    using value = std::decay_t<decltype(operation().value())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<value> { return operation(); },
        [](const address_in_quarantine &error) -> value {
            throw trace_problem{"address " + error.address + " is in quarantine"};
        },
        [](const edit_conflict &) -> value { throw trace_problem{"edit conflict"}; },
        []() -> value { throw trace_problem{"the edit was rejected"}; });
}

} // namespace

replay_platform::replay_platform(const peer_key &sealingKey)
    : m_sealingKey(sealingKey)
{
}

void replay_platform::accept(const std::vector<table_row> &rows, wall_time now)
{
    sheet desired;
    desired.rows = rows;
    const change_planner planner(now, quarantine);
    std::vector<row_change> changes =
        valueOrThrow([&] { return planner.plan(desired, m_table, m_table); });
    if (m_table.keys().empty()) {
        changes.push_back(planner.planKeyRotation(m_table, makeSealedKey(m_sealingKey)).front());
    }
    append(std::move(changes), now);
}

void replay_platform::rotateKey(wall_time now)
{
    append(change_planner(now, quarantine).planKeyRotation(m_table, makeSealedKey(m_sealingKey)),
           now);
}

void replay_platform::append(std::vector<row_change> changes, wall_time now)
{
    table_edit edit;
    edit.revision = m_table.revision() + 1;
    edit.parentDigest = m_table.digest();
    edit.editId = "edit-" + std::to_string(m_edits.size()) + "-" + std::to_string(edit.revision);
    edit.acceptedAt = now;
    edit.changes = std::move(changes);
    valueOrThrow([&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(m_table.apply(edit));
        return 0;
    });
    m_edits.push_back(std::move(edit));
}

void replay_platform::rollBack(std::uint64_t revision)
{
    m_edits.resize(revision);
    m_table = table();
    for (const table_edit &edit : m_edits) {
        valueOrThrow([&]() -> leaf::result<int> {
            BOOST_LEAF_CHECK(m_table.apply(edit));
            return 0;
        });
    }
}

std::vector<table_edit> replay_platform::editsAfter(std::uint64_t revision) const
{
    if (revision >= m_edits.size()) {
        return {};
    }
    return {m_edits.begin() + static_cast<std::ptrdiff_t>(revision), m_edits.end()};
}

} // namespace figstair
