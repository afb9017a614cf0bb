#pragma once

#include <cstddef>
#include <random>

#include "figstair/core/candidate_list.h"
#include "figstair/core/membership.h"
#include "figstair/table/table.h"

namespace figstair {

/// Chooses which upstreams a new flow may be placed on.
class placement
{
public:
    placement(const table &current, const membership &members);

    /// Up to @p count different upstreams of @p service that are in service, in a zone that is in
    /// service and reachable, drawn with the table's weights.
    candidate_list draw(const service_entry &service, std::size_t count,
                        std::mt19937_64 &random) const;

private:
    bool isUsable(const upstream_entry &upstream) const;

    const table &m_table;
    const membership &m_members;
};

} // namespace figstair
