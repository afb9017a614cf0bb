#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "figstair/core/load_board.h"
#include "figstair/core/peer_roster.h"
#include "figstair/core/upstream_health.h"
#include "figstair/wire/entry_message.h"

namespace figstair {

/// A report and the hosts that it goes to.
struct outgoing_report
{
    peer_report report;
    std::vector<endpoint> targets;
};

/// Decides when this host reports what to whom, and what others' reports change here. Answers the
/// load pattern in which a zone's upstreams vanish together: every host then has news all the time,
/// and what they tell each other must not take the links that requests need.
class report_exchange
{
public:
    report_exchange(const upstream_directory &directory, load_board &loads, upstream_health &health,
                    peer_roster &roster);

    /// Something was learned that other hosts should know before the next report is due.
    void noteNews() { m_hasNews = true; }

    /// Reports say from now on that this host leaves; the next one is due at once.
    void leave();
    bool isLeaving() const { return m_isLeaving; }

    /// When takeDue() may have something next.
    monotonic_time nextDeadline() const;

    /// The report that is due now, if any.
    std::optional<outgoing_report> takeDue(monotonic_time now);

    /// Takes another host's report; one from an earlier life of it is passed over.
    void onReport(const peer_report &report, monotonic_time now);

private:
    peer_report beginReport();
    /// This host's loads and all that it says of upstreams' health.
    peer_report makeReport(monotonic_time now);
    peer_report makeNews(monotonic_time now);
    std::optional<outgoing_report> takeNews(monotonic_time now);
    std::vector<upstream_index> selectEjected(monotonic_time now);
    void applyEjection(upstream_index upstream, const std::string &sender, monotonic_time now);
    void clearUnreported(const peer_report &report, monotonic_time now);

    const upstream_directory &m_directory;
    load_board &m_loads;
    upstream_health &m_health;
    peer_roster &m_roster;
    std::uint64_t m_sequence = 0;
    monotonic_time m_nextReport{};
    monotonic_time m_nextNews{};
    monotonic_time m_lastReportAt{};
    monotonic_time m_lastNewsAt{};
    upstream_index m_nextIndirect = 0; ///< where the next report goes on naming ejections
    bool m_hasNews = false;
    bool m_isLeaving = false;
    bool m_isLeaveNoticeDue = false;
};

} // namespace figstair
