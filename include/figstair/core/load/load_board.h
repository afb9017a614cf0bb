#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/core/span.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// Load and health of one upstream as one host reports them.
struct load_row
{
    std::uint32_t tag = 0;
    std::uint16_t openRequests = 0; ///< of flows placed or seen by the host
    /// load_board::slownessRatio() in units of 1/16, from the host's own measurements; 0 if not
    /// slow.
    std::uint16_t slownessSixteenths = 0;
    bool isEjected = false;
    bool hasAnswered = false; ///< since the host's last report
    bool isSuspected = false; ///< a flow recently got no answer from it

    bool operator==(const load_row &other) const
    {
        return tag == other.tag && openRequests == other.openRequests
            && slownessSixteenths == other.slownessSixteenths && isEjected == other.isEjected
            && hasAnswered == other.hasAnswered && isSuspected == other.isSuspected;
    }
};

/// Load of every upstream: this host's own counts plus the latest reports of other hosts.
class load_board
{
public:
    /// @p directory must outlive the board.
    explicit load_board(const upstream_directory &directory);

    void addOpenRequest(upstream_index upstream);
    void removeOpenRequest(upstream_index upstream);

    /// Records a request with the slowness ratio @p ratio: its time, divided by the requests per
    /// slot when its flow was placed, over the expected time. Above 64 it counts as 64.
    void onServed(upstream_index upstream, double ratio, monotonic_time now);

    /// Replaces the previous report of @p host.
    void setReport(const std::string &host, boost::span<const load_row> rows, monotonic_time now);
    void dropReport(const std::string &host);

    /// Clears the state of an upstream that has restarted.
    void reset(upstream_index upstream);

    unsigned ownOpenRequests(upstream_index upstream) const;

    /// This host's open requests at all upstreams of @p service.
    unsigned ownOpenRequestsOf(const std::string &service) const;

    /// Open requests of all hosts together.
    unsigned openRequests(upstream_index upstream) const;

    /// Slowness ratio of the upstream: the mean of the ratios passed to onServed(), or a higher one
    /// that another host reported. 1 means as fast as expected, or not measured. Decays to 1 within
    /// seconds, so that the upstream is tried again.
    double slownessRatio(upstream_index upstream, monotonic_time now) const;

    /// Time of the last onServed(); zero: none since the last reset().
    monotonic_time lastServedAt(upstream_index upstream) const;

    /// This host's rows for upstreams that are not idle or that are slow.
    std::vector<load_row> ownRows(monotonic_time now) const;

private:
    struct record
    {
        unsigned ownRequests = 0;
        std::string service; ///< that ownRequests count for; set with the first
        unsigned peerRequests = 0;
        double ownRatio = 1.0;
        monotonic_time ownRatioAt{};
        double peerRatio = 1.0;
        monotonic_time peerRatioAt{};
    };
    struct reported
    {
        upstream_index upstream = noUpstream;
        unsigned openRequests = 0;
    };

    record &at(upstream_index upstream);
    void removeOwnRequests(record &item, unsigned count);

    const upstream_directory &m_directory;
    std::vector<record> m_records;
    std::unordered_map<std::string, unsigned> m_ownRequestsByService;
    std::unordered_map<std::string, std::vector<reported>> m_reports;
};

} // namespace figstair
