#include "figstair/core/view/view_feed.h"

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

/// A host that learns of a new epoch from another host lists the store within this time, at random,
/// so that not all hosts of a zone list it at once.
constexpr milliseconds epochListingSpread{300};

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
    if (rank > 0 && now < m_receivingUntil) {
        return {};
    }
    m_isCallPending = true;
    m_calledAt = now;
    m_maxWait = rank == 0 ? longPollTime : milliseconds(1);
    return {feed_call::kind::watch, m_position.revision, m_maxWait};
}

monotonic_time view_feed::nextDeadline(monotonic_time now, unsigned rank) const
{
    if (m_isCallPending) {
        return now + staleAge;
    }
    if (m_needsListing || rank == 0) {
        return m_nextCallAt;
    }
    if (m_needsRead) {
        return std::max(m_nextCallAt, m_receivingUntil);
    }
    monotonic_time next = std::max(m_confirmedAt + staleAfter(rank), m_receivingUntil);
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

void view_feed::confirm(const store_position &position, monotonic_time asOf, monotonic_time now)
{
    if (position < m_position) {
        return;
    }
    if (m_position < position) {
        // Changes arrive, so those that other hosts have may be on their way.
        m_behindSince = now;
    }
    m_position = position;
    m_newestEpoch = std::max(m_newestEpoch, position.epoch);
    m_confirmedAt = std::max(m_confirmedAt, asOf);
    m_isBehind = m_isBehind && position.epoch == m_maxPeerPosition.epoch && !isUpToDate();
}

bool view_feed::onListed(const store_position &position, monotonic_time now)
{
    if (position.epoch < m_newestEpoch) {
        onFailed(false, now);
        return false;
    }
    onAnswered(now);
    if (m_isLoaded && m_position.epoch < position.epoch) {
        // The copy lacks the entries of upstreams that registered after it.
        m_lapseGraceEnd = std::max(m_lapseGraceEnd, now + lapseGrace);
    }
    m_needsListing = false;
    m_isLoaded = true;
    ++m_unconfirmedListings;
    m_lastReadAt = m_calledAt;
    confirm(position, m_calledAt, now);
    return true;
}

void view_feed::onSnapshot(const store_position &position, milliseconds age, monotonic_time now)
{
    m_needsListing = position.epoch < m_newestEpoch;
    m_isLoaded = true;
    confirm(position, now - age, now);
}

void view_feed::onStoreEpoch(std::uint64_t epoch, monotonic_time now)
{
    if (epoch > m_newestEpoch) {
        m_newestEpoch = epoch;
        m_needsListing = true;
        m_nextCallAt = now;
    }
}

void view_feed::onPeerEpoch(std::uint64_t epoch, monotonic_time now)
{
    if (epoch > m_newestEpoch) {
        onStoreEpoch(epoch, now + milliseconds(m_random() % epochListingSpread.count()));
    }
}

bool view_feed::onWatched(const store_position &position, monotonic_time now)
{
    if (position.epoch != m_position.epoch) {
        // The answer to a watch that was sent in another epoch lacks changes.
        onFailed(m_position.epoch < position.epoch, now);
        return false;
    }
    onAnswered(now);
    m_unconfirmedListings = 0;
    const bool isNew = m_position < position;
    // The answer may have waited for this process, if it was paused.
    const monotonic_time answeredBy = std::min(now - maxAnswerAge, m_calledAt + m_maxWait);
    m_lastReadAt = std::max(m_calledAt, answeredBy);
    confirm(position, m_lastReadAt, now);
    if (isNew && isUpToDate()) {
        m_nextCallAt = now + batchDelay;
    }
    return true;
}

void view_feed::onFailed(bool isHistoryGone, monotonic_time now)
{
    m_isCallPending = false;
    if (!isHistoryGone) {
        m_nextCallAt = now + retryPause(m_failures++);
        return;
    }
    m_needsListing = true;
    m_nextCallAt = now;
    // The changes after the last listing were gone as well: without a pause this would go on.
    if (m_unconfirmedListings > 1) {
        m_nextCallAt += retryPause(m_unconfirmedListings - 2);
    }
}

/// Pause after @p failures earlier ones, half of it random.
milliseconds view_feed::retryPause(unsigned failures)
{
    const milliseconds pause =
        std::min(maxRetryPause, initialRetryPause * (1 << std::min(failures, maxPauseDoublings)));
    return pause + milliseconds(m_random() % static_cast<unsigned>(pause.count()));
}

void view_feed::onFreeze(milliseconds gap)
{
    m_confirmedAt -= gap;
    m_lastReadAt -= gap;
    m_calledAt -= gap;
    m_needsRead = true;
}

bool view_feed::onRelayedChanges(std::uint64_t after, const store_position &position,
                                 milliseconds age, milliseconds grace, monotonic_time now)
{
    if (!m_isLoaded) {
        return false;
    }
    onPeerEpoch(position.epoch, now);
    if (position.epoch != m_position.epoch || after > m_position.revision
        || position < m_position) {
        return false;
    }
    m_lapseGraceEnd = std::max(m_lapseGraceEnd, now + grace);
    const bool isNew = m_position < position;
    confirm(position, now - age, now);
    return isNew;
}

void view_feed::onPartReceived(monotonic_time now)
{
    m_behindSince = now;
    m_receivingUntil = now + behindReadDelay;
}

void view_feed::onPeerView(const store_position &position, milliseconds age, monotonic_time now)
{
    if (!m_isLoaded) {
        return;
    }
    onPeerEpoch(position.epoch, now);
    m_maxPeerPosition = std::max(m_maxPeerPosition, position);
    if (position == m_position) {
        confirm(position, now - age, now);
    } else if (position.epoch == m_position.epoch && m_position < position && !m_isBehind) {
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
