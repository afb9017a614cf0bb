#pragma once

#include <cstddef>
#include <random>

#include "figstair/core/gate/candidate_list.h"
#include "figstair/core/gate/membership.h"
#include "figstair/table/table.h"

namespace figstair {

/// Chooses candidate upstreams for a new flow.
class placement
{
public:
    /// Both references must outlive the placement.
    placement(const table &current, const membership &members);

    /// Draws up to @p count different upstreams of @p service at random, in proportion to their
    /// weights. Only upstreams that are in service, in a zone that is in service and reachable, are
    /// drawn.
    candidate_list draw(const service_entry &service, std::size_t count,
                        std::mt19937_64 &random) const;

private:
    bool isUsable(const upstream_entry &upstream) const;

    const table &m_table;
    const membership &m_members;
};

} // namespace figstair
