#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/gate/flow_token.h"
#include "figstair/table/change_planner.h"
#include "figstair/table/table.h"

namespace figstair {

/// Simulated platform: stores the chain of accepted table edits.
class replay_platform
{
public:
    explicit replay_platform(const peer_key &sealingKey);

    /// Appends the edit that makes @p rows the table, planned as the `table apply` command does,
    /// with a first flow-token key. Throws trace_problem when the planner refuses it.
    void accept(const std::vector<table_row> &rows, wall_time now);

    /// Appends an edit that adds a flow-token key.
    void rotateKey(wall_time now);

    /// Drops all edits after @p revision.
    void rollBack(std::uint64_t revision);

    void setDown(bool isDown) { m_isDown = isDown; }
    bool isDown() const { return m_isDown; }

    /// The table at the latest revision.
    const table &newest() const { return m_table; }

    /// Returns the edits after @p revision, oldest first.
    std::vector<table_edit> editsAfter(std::uint64_t revision) const;

private:
    void append(std::vector<row_change> changes, wall_time now);

    peer_key m_sealingKey;
    bool m_isDown = false;
    table m_table;
    std::vector<table_edit> m_edits;
};

} // namespace figstair
