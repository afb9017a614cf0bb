#include "figstair/core/view_feed.h"

#include <algorithm>

namespace figstair {
namespace {

/// How long the store may hold a call of the first-ranked host. Each answer renews the view of
/// every host, so this is the age that views reach when nothing changes. It costs the whole fleet
/// one call in this time.
constexpr milliseconds longPollTime{1100};

/// Delay after changes, so that one call returns several of a series. Far below the 3 s within
/// which every host must have a change after the store has it.
constexpr milliseconds batchDelay{200};

/// Age of the view at which a host reads the store itself. Above longPollTime; a host must have a
/// change at most 3 s after the store, and a read takes up to the timeout of a call.
constexpr milliseconds staleAge{1500};

/// Additional age per rank, so that the first host to read can relay changes to the others.
constexpr milliseconds rankDelayStep{60};
constexpr milliseconds maxRankDelay{600};

/// Delay until changes that other hosts have are requested from them, interval between such
/// requests, and delay until the changes are read from the store.
constexpr milliseconds pullDelay{120};
constexpr milliseconds pullInterval{150};
constexpr milliseconds behindReadDelay{450};

/// Pause after a failed call, doubled with each failure up to the maximum. Short at first, because
/// other hosts may depend on this one.
constexpr milliseconds initialRetryPause{60};
constexpr milliseconds maxRetryPause{800};
constexpr unsigned maxPauseDoublings = 4;

/// Entries that expired during an outage of the store are back this soon after it, if their
/// upstreams are alive.
constexpr milliseconds lapseGrace{2200};

/// Greatest assumed time from when the store sends the answer to a watch until it arrives here. The
/// store may hold the call, so the time of the call alone would make the view look too old.
constexpr milliseconds maxAnswerAge{150};

} // namespace

view_feed::view_feed(std::uint64_t seed)
    : m_random(seed)
{
}

milliseconds view_feed::age(monotonic_time now) const
{
    return now - m_confirmedAt;
}

milliseconds view_feed::lastReadAge(monotonic_time now) const
{
    return now - m_lastReadAt;
}

milliseconds view_feed::staleAfter(unsigned rank) const
{
    return staleAge + std::min(maxRankDelay, rankDelayStep * static_cast<int>(rank));
}

bool view_feed::mayRelay(unsigned rank) const
{
    // Hosts at the maximum delay read at the same time; relaying by each would saturate slow links.
    return isUpToDate() && rankDelayStep * static_cast<int>(rank) < maxRankDelay;
}

feed_call view_feed::nextCall(monotonic_time now, unsigned rank)
{
    if (m_isCallPending || now < m_nextCallAt) {
        return {};
    }
    if (m_needsListing) {
        m_isCallPending = true;
        m_calledAt = now;
        return {feed_call::kind::list, 0, milliseconds::zero()};
    }
    const bool isStale = age(now) >= staleAfter(rank);
    const bool isBehindTooLong = m_isBehind && now - m_behindSince >= behindReadDelay;
    if (rank > 0 && !isStale && !isBehindTooLong && !m_needsRead) {
        return {};
    }
    m_isCallPending = true;
    m_calledAt = now;
    m_maxWait = rank == 0 ? longPollTime : milliseconds(1);
    return {feed_call::kind::watch, m_revision, m_maxWait};
}

monotonic_time view_feed::nextDeadline(monotonic_time now, unsigned rank) const
{
    if (m_isCallPending) {
        return now + staleAge;
    }
    if (m_needsListing || m_needsRead || rank == 0) {
        return m_nextCallAt;
    }
    monotonic_time next = m_confirmedAt + staleAfter(rank);
    if (m_isBehind) {
        next = std::min(next, std::max(m_lastPullAt + pullInterval, m_behindSince + pullDelay));
    }
    return std::max(next, m_nextCallAt);
}

void view_feed::onAnswered(monotonic_time now)
{
    m_isCallPending = false;
    m_needsRead = false;
    if (m_failures > 0) {
        m_lapseGraceEnd = now + lapseGrace;
    }
    m_failures = 0;
    m_nextCallAt = now;
}

void view_feed::confirm(std::uint64_t revision, monotonic_time asOf)
{
    if (revision >= m_revision) {
        m_revision = revision;
        m_confirmedAt = std::max(m_confirmedAt, asOf);
        m_isBehind = false;
    }
}

void view_feed::onListed(std::uint64_t revision, monotonic_time now)
{
    onAnswered(now);
    m_needsListing = false;
    m_isLoaded = true;
    m_lastReadAt = m_calledAt;
    confirm(revision, m_calledAt);
}

void view_feed::onSnapshot(std::uint64_t revision, milliseconds age, monotonic_time now)
{
    m_needsListing = false;
    m_isLoaded = true;
    confirm(revision, now - age);
}

void view_feed::onWatched(std::uint64_t revision, monotonic_time now)
{
    onAnswered(now);
    const bool isNew = revision > m_revision;
    // The answer may have waited for this process, if it was paused.
    const monotonic_time answeredBy = std::min(now - maxAnswerAge, m_calledAt + m_maxWait);
    m_lastReadAt = std::max(m_calledAt, answeredBy);
    confirm(revision, m_lastReadAt);
    if (isNew && isUpToDate()) {
        m_nextCallAt = now + batchDelay;
    }
}

void view_feed::onFailed(bool isHistoryGone, monotonic_time now)
{
    m_isCallPending = false;
    if (isHistoryGone) {
        m_needsListing = true;
        m_nextCallAt = now;
        return;
    }
    const milliseconds pause =
        std::min(maxRetryPause, initialRetryPause * (1 << std::min(m_failures, maxPauseDoublings)));
    ++m_failures;
    m_nextCallAt = now + pause + milliseconds(m_random() % static_cast<unsigned>(pause.count()));
}

void view_feed::onFreeze(milliseconds gap)
{
    m_confirmedAt -= gap;
    m_lastReadAt -= gap;
    m_calledAt -= gap;
    m_needsRead = true;
}

bool view_feed::onRelayedChanges(std::uint64_t after, std::uint64_t revision, milliseconds age,
                                 milliseconds grace, monotonic_time now)
{
    if (!m_isLoaded || after > m_revision || revision < m_revision) {
        return false;
    }
    m_lapseGraceEnd = std::max(m_lapseGraceEnd, now + grace);
    const bool isNew = revision > m_revision;
    confirm(revision, now - age);
    return isNew;
}

void view_feed::onPeerView(std::uint64_t revision, milliseconds age, monotonic_time now)
{
    if (!m_isLoaded) {
        return;
    }
    m_maxPeerRevision = std::max(m_maxPeerRevision, revision);
    if (revision == m_revision) {
        confirm(revision, now - age);
    } else if (revision > m_revision && !m_isBehind) {
        m_isBehind = true;
        m_behindSince = now;
    }
}

bool view_feed::takeDuePull(monotonic_time now)
{
    if (!m_isBehind || now - m_behindSince < pullDelay || now - m_lastPullAt < pullInterval) {
        return false;
    }
    m_lastPullAt = now;
    return true;
}

} // namespace figstair
