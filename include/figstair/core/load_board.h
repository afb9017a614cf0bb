#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/core/span.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/upstream_directory.h"

namespace figstair {

/// What one host says of one upstream.
struct load_row
{
    std::uint32_t tag = 0;
    std::uint16_t openRequests = 0; ///< flows it placed or saw that wait for an answer
    std::uint16_t slowness = 0; ///< measured time over the expected one, in 1/16; 0: not measured
    bool isEjected = false;
    bool hasAnswered = false; ///< something came from it since the host's last report
    bool isSuspected = false; ///< a flow got no answer from it a moment ago

    bool operator==(const load_row &other) const
    {
        return tag == other.tag && openRequests == other.openRequests && slowness == other.slowness
            && isEjected == other.isEjected && hasAnswered == other.hasAnswered
            && isSuspected == other.isSuspected;
    }
};

/// Load of every upstream: this host's own count plus what other hosts reported last.
class load_board
{
public:
    explicit load_board(const upstream_directory &directory);

    void addOpenRequest(upstream_index upstream);
    void removeOpenRequest(upstream_index upstream);

    /// One request took @p ratio times the time expected for it.
    void onServed(upstream_index upstream, double ratio, monotonic_time now);

    /// Replaces what @p host reported before.
    void setReport(const std::string &host, boost::span<const load_row> rows, monotonic_time now);
    void dropReport(const std::string &host);

    /// Forgets what is known of an upstream that started anew.
    void reset(upstream_index upstream);

    unsigned ownOpenRequests(upstream_index upstream) const;

    /// Requests that all hosts together have open.
    unsigned openRequests(upstream_index upstream) const;

    /// How much slower than others the upstream answers; 1 when nothing is known. Falls back to 1
    /// within seconds, so that it is tried again.
    double slowness(upstream_index upstream, monotonic_time now) const;

    /// This host's rows that say more than "idle".
    std::vector<load_row> ownRows(monotonic_time now) const;

private:
    struct record
    {
        unsigned ownRequests = 0;
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

    const upstream_directory &m_directory;
    std::vector<record> m_records;
    std::unordered_map<std::string, std::vector<reported>> m_reports;
};

} // namespace figstair
