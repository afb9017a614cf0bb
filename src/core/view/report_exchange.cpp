#include "figstair/core/view/report_exchange.h"

#include <algorithm>
#include <unordered_set>

#include "figstair/core/rendezvous.h"

namespace figstair {
namespace {

/// Minimum interval between messages with news, each of which goes to all hosts of the zone.
constexpr milliseconds minNewsInterval{40};

/// News messages that one host of a large fleet may send a second, and so receives if all hosts of
/// its zone have news. At the maximum number of rows that is 50 KB/s, 4% of a weak host's link of
/// 10 Mbit/s.
constexpr std::int64_t newsMessagesPerSecond = 75;
constexpr std::size_t maxNewsRows = 32; ///< suspected, owned, unacknowledging: each

/// Indirect ejections in one report of a large fleet: of upstreams whose trials another host owns.
/// They are reported in rotation: 1,000 upstreams of a lost zone within 16 reports.
constexpr std::size_t maxIndirectRows = 64;

/// Unacknowledged data is reported for this time, so that each host of a zone hears of it.
constexpr milliseconds unacknowledgedReportTime{1000};

} // namespace

std::uint64_t observerOf(const std::string &host)
{
    return rendezvousScore(0, host);
}

report_exchange::report_exchange(const upstream_directory &directory, load_board &loads,
                                 upstream_health &health, peer_roster &roster)
    : m_directory(directory)
    , m_loads(loads)
    , m_health(health)
    , m_roster(roster)
    , m_ownObserver(observerOf(roster.self().name))
{
}

void report_exchange::leave()
{
    m_isLeaving = true;
    m_isLeaveNoticeDue = true;
}

monotonic_time report_exchange::nextDeadline() const
{
    if (m_isLeaveNoticeDue) {
        return {};
    }
    return m_hasNews ? std::min(m_nextReport, m_nextNews) : m_nextReport;
}

std::optional<outgoing_report> report_exchange::takeDue(monotonic_time now)
{
    if (m_isLeaveNoticeDue || (m_hasNews && now >= m_nextNews)) {
        return takeNews(now);
    }
    if (now < m_nextReport) {
        return std::nullopt;
    }
    m_nextReport = now + m_roster.reportInterval();
    peer_report report = makeReport(now);
    std::vector<endpoint> targets = m_roster.reportTargets(report.sequence);
    return outgoing_report{std::move(report), std::move(targets)};
}

std::optional<outgoing_report> report_exchange::takeNews(monotonic_time now)
{
    m_isLeaveNoticeDue = false;
    std::vector<endpoint> targets = m_roster.relayTargets();
    if (!m_roster.isLargeFleet()) {
        m_nextNews = now + minNewsInterval;
        m_nextReport = now + m_roster.reportInterval();
        return outgoing_report{makeReport(now), std::move(targets)};
    }
    const milliseconds interval(static_cast<std::int64_t>(targets.size()) * 1000
                                / newsMessagesPerSecond);
    m_nextNews = now + std::max(minNewsInterval, interval);
    return outgoing_report{makeNews(now), std::move(targets)};
}

peer_report report_exchange::beginReport(monotonic_time now)
{
    peer_report report;
    report.sender = m_roster.self();
    report.sequence = ++m_sequence;
    report.isLeaving = m_isLeaving;
    for (const upstream_index upstream : m_health.deadUpstreams().observedBy(
             m_ownObserver, now - unacknowledgedReportTime, maxNewsRows)) {
        report.unacknowledging.push_back(m_directory.at(upstream).tag);
    }
    m_hasNews = false;
    return report;
}

peer_report report_exchange::makeNews(monotonic_time now)
{
    peer_report report = beginReport(now);
    report.isDelta = true;
    for (const upstream_index upstream : m_health.locallySuspected(now, maxNewsRows)) {
        load_row row;
        row.tag = m_directory.at(upstream).tag;
        row.isEjected = m_health.isEjected(upstream);
        row.isSuspected = true;
        report.rows.push_back(row);
    }
    for (upstream_index index = 0;
         index < m_directory.size() && report.rows.size() < maxNewsRows * 2; ++index) {
        const upstream_record &entry = m_directory.at(index).entry;
        if (m_health.isEjected(index) && m_health.stateSince(index) >= m_lastNewsAt
            && !m_health.isLocallySuspected(index, now)
            && m_roster.owns(entry.id, entry.zone, now)) {
            load_row row;
            row.tag = m_directory.at(index).tag;
            row.isEjected = true;
            report.rows.push_back(row);
        }
    }
    m_lastNewsAt = now;
    return report;
}

peer_report report_exchange::makeReport(monotonic_time now)
{
    peer_report report = beginReport(now);
    report.rows = m_loads.ownRows(now);
    std::unordered_set<std::uint32_t> includedTags;
    for (const load_row &row : report.rows) {
        includedTags.insert(row.tag);
    }
    const auto addRow = [&](upstream_index upstream) {
        const std::uint32_t tag = m_directory.at(upstream).tag;
        if (includedTags.insert(tag).second) {
            report.rows.push_back(load_row{tag, 0, 0, false, false});
        }
    };
    for (upstream_index index = 0; index < m_directory.size(); ++index) {
        if (m_health.lastLocalAnswerTime(index) > m_lastReportAt
            || m_health.isLocallySuspected(index, now)) {
            addRow(index);
        }
    }
    for (const upstream_index upstream : selectEjected(now)) {
        addRow(upstream);
    }
    for (load_row &row : report.rows) {
        const upstream_index upstream = m_directory.findTag(row.tag);
        if (upstream != noUpstream) {
            // Other hosts clear what its owner does not report, so an owner reports all.
            const upstream_record &entry = m_directory.at(upstream).entry;
            row.isEjected = m_health.isEjected(upstream)
                && (!m_health.isFollowingOwner(upstream)
                    || m_roster.owns(entry.id, entry.zone, now));
            row.hasAnswered = m_health.lastLocalAnswerTime(upstream) > m_lastReportAt;
            row.isSuspected = m_health.isLocallySuspected(upstream, now);
        }
    }
    m_lastReportAt = now;
    return report;
}

/// Ejected upstreams to include in a report: all in a small fleet. In a large fleet, all whose
/// trials this host owns, since other hosts clear an upstream that its owner does not report, and
/// some of the others in rotation.
std::vector<upstream_index> report_exchange::selectEjected(monotonic_time now)
{
    std::vector<upstream_index> selected;
    std::vector<upstream_index> indirect;
    for (upstream_index index = 0; index < m_directory.size(); ++index) {
        if (!m_health.isEjected(index) || !m_directory.at(index).isListed) {
            continue;
        }
        const upstream_record &entry = m_directory.at(index).entry;
        const bool isAlwaysReported =
            !m_roster.isLargeFleet() || m_roster.owns(entry.id, entry.zone, now);
        (isAlwaysReported ? selected : indirect).push_back(index);
    }
    if (indirect.size() > maxIndirectRows) {
        const auto first = std::lower_bound(indirect.begin(), indirect.end(), m_nextIndirect);
        std::rotate(indirect.begin(), first, indirect.end());
        m_nextIndirect = indirect[maxIndirectRows];
        indirect.resize(maxIndirectRows);
    }
    selected.insert(selected.end(), indirect.begin(), indirect.end());
    return selected;
}

void report_exchange::onReport(const peer_report &report, const store_position &ownView,
                               monotonic_time now)
{
    if (!m_roster.onHostMessage(report.sender, report.isLeaving, now)) {
        return;
    }
    m_roster.setNewFlowsPerSecond(report.sender.name, report.newFlowsPerSecond);
    if (!report.isDelta) {
        m_loads.setReport(report.sender.name, report.rows, now);
    }
    std::size_t suspectedOrEjected = 0;
    for (const load_row &row : report.rows) {
        suspectedOrEjected += row.isEjected || row.isSuspected ? 1 : 0;
    }
    // A host is likely cut off itself if it suspects or ejects more upstreams than half of the
    // directory's indexes. Free indexes count too, so the limit is higher after upstreams were
    // forgotten.
    const bool isCredible = suspectedOrEjected * 2 <= m_directory.size();
    for (const load_row &row : report.rows) {
        const upstream_index upstream = m_directory.findTag(row.tag);
        if (upstream == noUpstream) {
            continue;
        }
        if (row.hasAnswered) {
            // The answer came at most one interval before the report was sent: assume half of it.
            m_health.onAnsweredAtPeer(upstream, now - m_roster.reportInterval() / 2);
        }
        if (row.isSuspected && isCredible) {
            m_health.onSuspectedByPeer(upstream, now);
        }
        if (row.isEjected && isCredible) {
            applyEjection(upstream, report.sender.name, now);
        }
    }
    if (isCredible && report.unacknowledging.size() * 2 <= m_directory.size()) {
        const std::uint64_t observer = observerOf(report.sender.name);
        for (const std::uint32_t tag : report.unacknowledging) {
            const upstream_index upstream = m_directory.findTag(tag);
            if (upstream != noUpstream) {
                m_health.deadUpstreams().onUnacknowledged(upstream, observer, now);
            }
        }
    }
    // A sender with a newer view may have cleared an upstream because it restarted, which this host
    // cannot tell from a recovery.
    const bool isSenderAhead = ownView < store_position{report.viewEpoch, report.viewRevision};
    if (!report.isDelta && !isSenderAhead) {
        clearUnreported(report, now);
    }
}

/// In a large fleet, an ejection by the owner of an upstream's trials applies here until the owner
/// clears it. Otherwise each host would lose flows at each upstream of a lost zone before it ejects
/// them. In a small fleet the same holds at a host without a history of the upstream: it has just
/// started, and would send its full share to one that came back cold after the others ejected it.
void report_exchange::applyEjection(upstream_index upstream, const std::string &sender,
                                    monotonic_time now)
{
    const upstream_record &entry = m_directory.at(upstream).entry;
    const std::string &owner = m_roster.ownerOf(entry.id, entry.zone, now);
    const bool isOwn = owner == m_roster.self().name;
    const bool wasEjected = m_health.isEjected(upstream);
    if ((isOwn || owner == sender) && !m_roster.isLargeFleet()
        && !m_health.hasLocalHistory(upstream, now)) {
        m_health.adoptEjection(upstream, !isOwn, now);
    } else if (isOwn) {
        m_health.onEjectedByPeer(upstream, true, now);
    } else if (owner == sender && m_roster.isLargeFleet()) {
        m_health.onEjectedByOwner(upstream, now);
    } else {
        m_health.onEjectedByPeer(upstream, false, now);
    }
    m_hasNews = m_hasNews || (isOwn && !wasEjected && m_health.isEjected(upstream));
}

/// Clears upstreams that are ejected here but not in the report of the owner of their trials.
void report_exchange::clearUnreported(const peer_report &report, monotonic_time now)
{
    std::unordered_set<std::uint32_t> ejectedTags;
    for (const load_row &row : report.rows) {
        if (row.isEjected) {
            ejectedTags.insert(row.tag);
        }
    }
    for (upstream_index index = 0; index < m_directory.size(); ++index) {
        const known_upstream &known = m_directory.at(index);
        if (m_health.isEjected(index) && ejectedTags.count(known.tag) == 0
            && m_roster.ownerOf(known.entry.id, known.entry.zone, now) == report.sender.name) {
            m_health.onClearedByOwner(index, now);
        }
    }
}

} // namespace figstair
