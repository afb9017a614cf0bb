#pragma once

#include <cstdint>
#include <random>

#include "figstair/core/clock_source.h"

namespace figstair {

/// What to ask the store for next.
struct feed_call
{
    enum class kind : std::uint8_t { none, list, watch };
    kind operation = kind::none;
    std::uint64_t afterRevision = 0;
    milliseconds maxWait{0};
};

/// Decides which hosts read the store, when, and how old this host's view of it is. One host, the
/// one that rendezvous hashing ranks first, waits for changes and passes them on; any other reads
/// by itself as soon as what it hears is too old, whoever is to blame.
class view_feed
{
public:
    explicit view_feed(std::uint64_t seed);

    /// The call that is due at @p now, if any. @p rank: number of live hosts ranked before this
    /// one.
    feed_call nextCall(monotonic_time now, unsigned rank);

    void onListed(std::uint64_t revision, monotonic_time now);
    /// Another host's whole view was taken in place of a listing.
    void onSnapshot(std::uint64_t revision, milliseconds age, monotonic_time now);
    void onWatched(std::uint64_t revision, monotonic_time now);
    void onFailed(bool isHistoryGone, monotonic_time now);

    /// Another host passes on what changed after @p after up to @p revision, in the store's word @p
    /// age ago. Returns whether the changes fit and are to be applied.
    bool onRelayedChanges(std::uint64_t after, std::uint64_t revision, milliseconds age,
                          milliseconds grace, monotonic_time now);

    /// Another host states its view's revision, and its lastReadAge().
    void onPeerView(std::uint64_t revision, milliseconds age, monotonic_time now);

    /// Whether no other host is known to have a newer view.
    bool isUpToDate() const { return m_revision >= m_maxPeerRevision; }

    /// Whether what was read is worth passing on: no other host has a newer view, and this one does
    /// not read at the same time as all that are ranked later.
    bool mayRelay(unsigned rank) const;

    /// Something passed on could not be applied: the store has to be read whole.
    void requireListing() { m_needsListing = true; }

    /// Whether to ask another host now for changes that did not arrive.
    bool takeDuePull(monotonic_time now);

    /// The store answered anew after failures: entries may be missing until this time has come.
    monotonic_time lapseGraceEnd() const { return m_lapseGraceEnd; }

    std::uint64_t revision() const { return m_revision; }
    bool isLoaded() const { return m_isLoaded; }
    milliseconds age(monotonic_time now) const;
    /// The time that the view is as of.
    monotonic_time confirmedAt() const { return m_confirmedAt; }

    /// Time since the store itself last answered this host. Only this is told to others: word
    /// passed on from host to host would grow younger by each message's way.
    milliseconds lastReadAge(monotonic_time now) const;

    /// When nextCall() or takeDuePull() may have something new.
    monotonic_time nextDeadline(monotonic_time now, unsigned rank) const;

private:
    milliseconds staleAfter(unsigned rank) const;
    void confirm(std::uint64_t revision, monotonic_time asOf);
    void onAnswered(monotonic_time now);

    std::mt19937_64 m_random;
    std::uint64_t m_revision = 0;
    std::uint64_t m_maxPeerRevision = 0; ///< greatest that another host stated
    bool m_isLoaded = false;
    bool m_needsListing = true;
    bool m_isCallPending = false;
    monotonic_time m_calledAt{};
    monotonic_time m_confirmedAt{};
    monotonic_time m_lastReadAt{};
    monotonic_time m_nextCallAt{};
    monotonic_time m_lapseGraceEnd{};
    monotonic_time m_behindSince{};
    monotonic_time m_lastPullAt{};
    bool m_isBehind = false;
    unsigned m_failures = 0;
};

} // namespace figstair
