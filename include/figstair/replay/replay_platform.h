#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/flow_token.h"
#include "figstair/table/change_planner.h"
#include "figstair/table/table.h"

namespace figstair {

/// The platform of a replay: the chain of accepted edits.
class replay_platform
{
public:
    explicit replay_platform(const peer_key &sealingKey);

    /// Accepts @p rows as the wanted sheet, planned as the command line does. Throws trace_problem
    /// when the planner refuses.
    void accept(const std::vector<table_row> &rows, wall_time now);
    void rotateKey(wall_time now);

    /// Loses all edits after @p revision.
    void rollBack(std::uint64_t revision);

    void setDown(bool isDown) { m_isDown = isDown; }
    bool isDown() const { return m_isDown; }

    const table &newest() const { return m_table; }
    std::vector<table_edit> editsAfter(std::uint64_t revision) const;

private:
    void append(std::vector<row_change> changes, wall_time now);

    peer_key m_sealingKey;
    bool m_isDown = false;
    table m_table;
    std::vector<table_edit> m_edits;
};

} // namespace figstair
