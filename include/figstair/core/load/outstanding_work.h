#pragma once

#include <cstdint>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/load/request_cost.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// Names one open request of outstanding_work; 0 names none. A handle of a removed request is
/// ignored.
using work_handle = std::uint32_t;

/// The expected remaining work of this host's open requests at each upstream, by their route and
/// age.
///
/// Load pattern: requests that look alike need very different work. An upstream with one request
/// that has been in progress for long is then busier than one with two that have just begun.
class outstanding_work
{
public:
    /// @p costs must outlive this object.
    explicit outstanding_work(const request_cost &costs);

    /// Adds a request that reaches @p upstream at @p startsAt, when it has @p requestsPerSlot open
    /// requests per slot, this one included.
    work_handle add(upstream_index upstream, work_class requests, double requestsPerSlot,
                    monotonic_time startsAt);

    /// The request in fact reaches its upstream at @p startsAt.
    void restart(work_handle handle, monotonic_time startsAt);

    void remove(upstream_index upstream, work_handle handle);

    /// Removes the requests of an upstream that has restarted.
    void reset(upstream_index upstream);

    /// Expected remaining work of this host's requests at @p upstream, in milliseconds.
    double of(upstream_index upstream, monotonic_time now) const;

    /// The requests per slot passed to add(), at least 1; @p otherwise if the request is not
    /// tracked.
    double requestsPerSlot(work_handle handle, double otherwise) const;

private:
    struct tracked_request
    {
        monotonic_time startsAt{};
        upstream_index upstream = noUpstream;
        float requestsPerSlot = 1;
        work_class requests;
        std::uint16_t generation = 0; ///< changes when the request is removed
        std::uint16_t next = 0; ///< of the same upstream, or free; number + 1, 0 at the end
        std::uint16_t previous = 0;
    };
    struct upstream_requests
    {
        std::uint16_t first = 0; ///< number + 1
        std::uint16_t tracked = 0;
        std::uint32_t untracked = 0; ///< count as the mean of the service
        work_class requests; ///< of the latest request
    };

    const tracked_request *find(work_handle handle) const;
    tracked_request *find(work_handle handle);
    void release(std::uint16_t number);

    const request_cost &m_costs;
    std::vector<tracked_request> m_requests;
    std::vector<upstream_requests> m_upstreams;
    std::uint16_t m_firstFree = 0; ///< number + 1
};

} // namespace figstair
