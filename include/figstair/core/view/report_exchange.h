#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "figstair/core/health/upstream_health.h"
#include "figstair/core/load/load_board.h"
#include "figstair/core/view/peer_roster.h"
#include "figstair/core/view/store_position.h"
#include "figstair/wire/entry_message.h"

namespace figstair {

/// A report and the addresses that it goes to.
struct outgoing_report
{
    peer_report report;
    std::vector<endpoint> targets;
};

/// The number that names the host in dead_upstreams.
std::uint64_t observerOf(const std::string &host);

/// Schedules this host's reports to other hosts and applies their reports. Reports are periodic.
/// News is a triggered update, sent before the next periodic report is due. In a large fleet it has
/// only recent suspicions and ejections, goes to the hosts of the own zone and leaves the periodic
/// schedule as it is. In a small fleet it is a full report to all hosts, and the next periodic
/// report is due a whole interval after it. Bounds the traffic between hosts when all upstreams of
/// a zone fail together: every host then has news all the time, and must leave bandwidth for
/// requests.
class report_exchange
{
public:
    report_exchange(const upstream_directory &directory, load_board &loads, upstream_health &health,
                    peer_roster &roster);

    /// Something changed that other hosts should learn before the next periodic report.
    void noteNews() { m_hasNews = true; }

    /// Marks this host as leaving in all further reports, the next of which is due at once.
    void leave();
    bool isLeaving() const { return m_isLeaving; }

    /// Earliest time at which takeDue() may return a report.
    monotonic_time nextDeadline() const;

    /// The report that is due now, if any.
    std::optional<outgoing_report> takeDue(monotonic_time now);

    /// Applies a report of another host; ignores one from an earlier incarnation of it. @p ownView:
    /// position of this host's view of the store.
    void onReport(const peer_report &report, const store_position &ownView, monotonic_time now);

private:
    peer_report beginReport(monotonic_time now);
    /// Full report: this host's loads and its state of the upstreams' health.
    peer_report makeReport(monotonic_time now);
    /// News only: recent suspicions and ejections.
    peer_report makeNews(monotonic_time now);
    std::optional<outgoing_report> takeNews(monotonic_time now);
    std::vector<upstream_index> selectEjected(monotonic_time now);
    void applyEjection(upstream_index upstream, const std::string &sender, monotonic_time now);
    void clearUnreported(const peer_report &report, monotonic_time now);

    const upstream_directory &m_directory;
    load_board &m_loads;
    upstream_health &m_health;
    peer_roster &m_roster;
    std::uint64_t m_ownObserver; ///< this host in dead_upstreams
    std::uint64_t m_sequence = 0;
    monotonic_time m_nextReport{};
    monotonic_time m_nextNews{};
    monotonic_time m_lastReportAt{};
    monotonic_time m_lastNewsAt{};
    upstream_index m_nextIndirect = 0; ///< first of the indirect ejections in the next report
    bool m_hasNews = false;
    bool m_isLeaving = false;
    bool m_isLeaveNoticeDue = false;
};

} // namespace figstair
