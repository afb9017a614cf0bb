#pragma once

#include <cstddef>
#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/flow/flow_packet.h"

namespace figstair {

/// Tells for each route whether its callers send several requests on one flow, from the numbers of
/// flows and requests that pass this host. They are compared as sums, since a flow may open at one
/// host and continue at another.
class flow_reuse
{
public:
    void onOpening(const flow_id &flow);
    void onRequest(const flow_id &flow);

    /// Whether the route of @p flow is known to carry several requests on a flow.
    bool carriesSeveralRequests(const flow_id &flow) const;

private:
    struct counts
    {
        std::uint32_t openings = 0;
        std::uint32_t requests = 0;
    };

    /// nullptr: too many routes.
    counts *countsFor(const flow_id &flow);
    static void halveIfLarge(counts &item);

    boost::unordered_flat_map<std::uint64_t, counts> m_routes; ///< by address and port
};

} // namespace figstair
