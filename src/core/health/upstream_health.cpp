#include "figstair/core/health/upstream_health.h"

#include <algorithm>

namespace figstair {
namespace {

/// A single lost packet looks like a timeout, so a suspicion ends with the next answer or after
/// this time.
constexpr milliseconds suspicionTime{250};

/// Duration of ejections. The first is long enough that trials of a dead upstream cost little, and
/// short enough that a frozen one is back within a second.
constexpr milliseconds initialBackoff{500};
constexpr milliseconds maxBackoff{8000};

/// An upstream that answers again may have restarted cold before its entry says so: the entry
/// follows the start within a heartbeat.
constexpr milliseconds probationTime{1500};

/// Interval between trial flows to one upstream.
constexpr milliseconds trialInterval{600};

/// Keeps an upstream that fails again soon after an ejection out for longer: an ejection doubles
/// the backoff if it comes less than this time after record::stateDeadline, otherwise it starts
/// again at initialBackoff. Every state but "good" sets that deadline, "suspected" too. Once an
/// upstream has been ejected, an ejection from "suspected" therefore always doubles the backoff;
/// only one directly from "good" or from a long "trial" can start again.
constexpr milliseconds backoffResetTime{10000};

/// Time by which another host has learned of an ejection: three of the longest intervals between
/// reports.
constexpr milliseconds maxReportDelay{450};

/// An answer this recent takes precedence over another host's report.
constexpr milliseconds recentAnswerAge{150};

} // namespace

upstream_health::upstream_health() = default;

upstream_health::record &upstream_health::at(upstream_index upstream)
{
    while (m_records.size() <= upstream) {
        m_records.emplace_back(upstreamHealthChart());
    }
    return m_records[upstream];
}

void upstream_health::fire(record &item, const char *event, monotonic_time now)
{
    if (!item.state.fire(event)) {
        return;
    }
    item.isGood = false;
    item.stateSince = now;
    if (item.state.is("good")) {
        item.eligibility = placement_eligibility::unrestricted;
        item.isGood = true;
        item.isFollowingOwner = false;
    } else if (item.state.is("suspected")) {
        item.eligibility = placement_eligibility::lastResort;
        item.stateDeadline = now + suspicionTime;
    } else if (item.state.is("ejected")) {
        const bool isRepeated =
            now - item.stateDeadline < backoffResetTime && item.backoff.count() > 0;
        item.backoff = isRepeated ? std::min(item.backoff * 2, maxBackoff) : initialBackoff;
        item.eligibility = placement_eligibility::none;
        item.stateDeadline = now + item.backoff;
    } else if (item.state.is("trial")) {
        item.eligibility = placement_eligibility::trial;
        item.nextTrialAt = now;
        item.stateDeadline = now;
    } else {
        item.eligibility = placement_eligibility::trial;
        item.nextTrialAt = now;
        item.stateDeadline = now + probationTime;
    }
}

void upstream_health::expireState(record &item, monotonic_time now)
{
    if (!item.isGood && !item.state.is("trial") && now >= item.stateDeadline) {
        fire(item, "expired", now);
    }
}

void upstream_health::onAnswered(upstream_index upstream, monotonic_time now)
{
    record &item = at(upstream);
    item.lastAnswerAt = now;
    item.lastLocalAnswerAt = now;
    item.lastAcknowledgedAt = now;
    item.lastLocalAcknowledgedAt = now;
    if (item.firstLocalAnswerAt == monotonic_time{}) {
        item.firstLocalAnswerAt = now;
    }
    m_deadUpstreams.onAnswered(upstream, now);
    if (!item.isGood) {
        expireState(item, now);
        fire(item, "answered", now);
    }
}

void upstream_health::onFlowMoved(upstream_index upstream, monotonic_time now)
{
    record &item = at(upstream);
    if (item.isGood) {
        item.lastAnswerAt = now;
        item.lastLocalAnswerAt = now;
    }
}

void upstream_health::onAnsweredAtPeer(upstream_index upstream, monotonic_time when)
{
    record &item = at(upstream);
    item.lastAnswerAt = std::max(item.lastAnswerAt, when);
    item.lastAcknowledgedAt = std::max(item.lastAcknowledgedAt, when);
    m_deadUpstreams.onAnswered(upstream, when);
}

monotonic_time upstream_health::lastAnswerTime(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].lastAnswerAt : monotonic_time{};
}

monotonic_time upstream_health::lastLocalAnswerTime(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].lastLocalAnswerAt : monotonic_time{};
}

monotonic_time upstream_health::lastAcknowledgedTime(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].lastAcknowledgedAt : monotonic_time{};
}

monotonic_time upstream_health::lastLocalAcknowledgedTime(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].lastLocalAcknowledgedAt
                                       : monotonic_time{};
}

void upstream_health::onTimeout(upstream_index upstream, monotonic_time now)
{
    record &item = at(upstream);
    expireState(item, now);
    item.lastTimeoutAt = now;
    item.isFollowingOwner = false;
    fire(item, "timeout", now);
}

monotonic_time upstream_health::lastTimeoutTime(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].lastTimeoutAt : monotonic_time{};
}

bool upstream_health::isLocallySuspected(upstream_index upstream, monotonic_time now) const
{
    return upstream < m_records.size() && m_records[upstream].lastTimeoutAt != monotonic_time{}
    && now - m_records[upstream].lastTimeoutAt <= suspicionTime
        && m_records[upstream].lastAnswerAt < m_records[upstream].lastTimeoutAt;
}

std::vector<upstream_index> upstream_health::locallySuspected(monotonic_time now,
                                                              std::size_t maxCount) const
{
    std::vector<upstream_index> list;
    for (upstream_index index = 0; index < m_records.size(); ++index) {
        if (isLocallySuspected(index, now)) {
            list.push_back(index);
        }
    }
    std::stable_sort(list.begin(), list.end(), [this](upstream_index a, upstream_index b) {
        return m_records[a].lastTimeoutAt > m_records[b].lastTimeoutAt;
    });
    list.resize(std::min(list.size(), maxCount));
    return list;
}

void upstream_health::onSuspectedByPeer(upstream_index upstream, monotonic_time now)
{
    record &item = at(upstream);
    expireState(item, now);
    if (now - item.lastAnswerAt <= recentAnswerAge) {
        return;
    }
    const bool isConfirmed = item.state.is("suspected") && isLocallySuspected(upstream, now);
    fire(item, isConfirmed ? "timeout" : "peerReport", now);
}

void upstream_health::onEjectedByPeer(upstream_index upstream, bool ownsTrials, monotonic_time now)
{
    record &item = at(upstream);
    expireState(item, now);
    if (now - item.lastAnswerAt > recentAnswerAge) {
        fire(item, ownsTrials ? "peerReportToOwner" : "peerReport", now);
    }
}

void upstream_health::onEjectedByOwner(upstream_index upstream, monotonic_time now)
{
    record &item = at(upstream);
    expireState(item, now);
    if (now - item.lastAnswerAt > recentAnswerAge) {
        fire(item, "ejectedByOwner", now);
    }
}

bool upstream_health::hasLocalHistory(upstream_index upstream, monotonic_time now) const
{
    return upstream < m_records.size() && m_records[upstream].firstLocalAnswerAt != monotonic_time{}
    && now - m_records[upstream].firstLocalAnswerAt >= probationTime;
}

void upstream_health::adoptEjection(upstream_index upstream, bool isFollowing, monotonic_time now)
{
    record &item = at(upstream);
    expireState(item, now);
    const bool wasEjected = isEjected(upstream);
    fire(item, "ejectedByOwner", now);
    item.isFollowingOwner = isFollowing && (!wasEjected || item.isFollowingOwner);
}

bool upstream_health::isFollowingOwner(upstream_index upstream) const
{
    return upstream < m_records.size() && m_records[upstream].isFollowingOwner;
}

monotonic_time upstream_health::stateSince(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].stateSince : monotonic_time{};
}

void upstream_health::onClearedByOwner(upstream_index upstream, monotonic_time now)
{
    if (upstream < m_records.size() && !m_records[upstream].isGood
        && now - m_records[upstream].stateSince > maxReportDelay) {
        fire(m_records[upstream], "clearedByOwner", now);
    }
}

void upstream_health::reset(upstream_index upstream)
{
    if (upstream < m_records.size()) {
        m_records[upstream] = record(upstreamHealthChart());
    }
    // Reports of other hosts are evidence against upstreams without a record here, too.
    m_deadUpstreams.reset(upstream);
}

placement_eligibility upstream_health::eligibilityOf(upstream_index upstream, monotonic_time now)
{
    if (upstream >= m_records.size()) {
        return placement_eligibility::unrestricted;
    }
    record &item = m_records[upstream];
    if (item.isGood) {
        return placement_eligibility::unrestricted;
    }
    expireState(item, now);
    if (item.eligibility == placement_eligibility::trial && now < item.nextTrialAt) {
        return placement_eligibility::none;
    }
    return item.eligibility;
}

void upstream_health::onTrialSent(upstream_index upstream, monotonic_time now)
{
    at(upstream).nextTrialAt = now + trialInterval;
}

bool upstream_health::isEjected(upstream_index upstream) const
{
    return upstream < m_records.size() && !m_records[upstream].isGood
        && m_records[upstream].eligibility != placement_eligibility::lastResort;
}

std::string_view upstream_health::stateName(upstream_index upstream) const
{
    return upstream < m_records.size() ? std::string_view(m_records[upstream].state.state())
                                       : std::string_view("good");
}

} // namespace figstair
