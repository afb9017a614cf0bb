#pragma once

#include <cstdint>
#include <random>

#include "figstair/core/clock_source.h"
#include "figstair/core/view/store_position.h"

namespace figstair {

/// A call to make to the store.
struct feed_call
{
    enum class kind : std::uint8_t { none, list, watch };
    kind operation = kind::none;
    std::uint64_t afterRevision = 0; ///< of a watch: return changes after this revision
    milliseconds maxWait{0}; ///< of a watch: how long the store may hold the call
};

/// Decides when this host reads the store, and tracks the age of its view. The host that rendezvous
/// hashing ranks first long-polls the store and relays changes to the others. Any other host reads
/// the store itself as soon as its view is too old, whatever the cause.
class view_feed
{
public:
    explicit view_feed(std::uint64_t seed);

    /// The call that is due at @p now, if any; no other is due until onListed(), onWatched() or
    /// onFailed(). @p rank: number of live hosts ranked before this one.
    feed_call nextCall(monotonic_time now, unsigned rank);

    /// The store answered a listing of its state at @p position. Returns whether to apply it: no
    /// newer epoch is known. After a listing of a new epoch, lapseGraceEnd() is in the future.
    bool onListed(const store_position &position, monotonic_time now);

    /// The whole view of another host, confirmed by the store @p age ago, was applied in place of a
    /// listing.
    void onSnapshot(const store_position &position, milliseconds age, monotonic_time now);

    /// The store answered a watch with all changes up to @p position. Returns whether to apply
    /// them: they are of this view's epoch, so no change is missing.
    bool onWatched(const store_position &position, monotonic_time now);

    /// An answer of the store stated @p epoch. If it is newer than any known one, the next call
    /// lists the store, at once.
    void onStoreEpoch(std::uint64_t epoch, monotonic_time now);

    /// A call failed. @p isHistoryGone: the store no longer has the changes after this view's
    /// revision, so it has to be listed again.
    void onFailed(bool isHistoryGone, monotonic_time now);

    /// This host did not run for @p gap, which the clock may have counted or not. Ages the view and
    /// what is read next by that time, and reads the store once, whatever the rank.
    void onFreeze(milliseconds gap);

    /// Another host relays the changes that follow revision @p after, up to and including
    /// @p position. The store last answered that host @p age ago. Returns whether to apply the
    /// changes: they are of this view's epoch, @p position is newer than this view, and @p after is
    /// not. If no change is missing between the two, moves lapseGraceEnd() to at least @p grace
    /// from now.
    bool onRelayedChanges(std::uint64_t after, const store_position &position, milliseconds age,
                          milliseconds grace, monotonic_time now);

    /// A part of changes that this view lacks arrived, which had not arrived before. The others are
    /// on their way, so this host does not read the store for a while, unless it is ranked first.
    void onPartReceived(monotonic_time now);

    /// Another host reports the position of its view and its lastReadAge().
    void onPeerView(const store_position &position, milliseconds age, monotonic_time now);

    /// When the last call to the store was made.
    monotonic_time calledAt() const { return m_calledAt; }

    /// The newest position that another host reported or relayed.
    const store_position &newestPosition() const { return m_maxPeerPosition; }

    /// Whether no other host has reported a newer view.
    bool isUpToDate() const { return !(m_position < m_maxPeerPosition); }

    /// Whether to relay changes that were read: no other host has reported a newer view, and
    /// @p rank is below 10. Hosts of higher ranks all wait for the same maximum delay before they
    /// read the store, so each would relay the same changes at the same time.
    bool mayRelay(unsigned rank) const;

    /// Relayed changes could not be applied: the next call lists the store.
    void requireListing() { m_needsListing = true; }

    /// Whether the store has to be listed, because the view may lack changes up to its position.
    bool needsListing() const { return m_needsListing; }

    /// Whether to request missing changes from another host now. Returning true starts the interval
    /// to the next request.
    bool takeDuePull(monotonic_time now);

    /// End of the grace period after failed calls to the store, or its restoration: until then
    /// entries may be missing.
    monotonic_time lapseGraceEnd() const { return m_lapseGraceEnd; }

    const store_position &position() const { return m_position; }
    bool isLoaded() const { return m_isLoaded; }

    /// Time since the store was last known to match the view.
    milliseconds age(monotonic_time now) const;

    /// When the store was last known to match the view.
    monotonic_time confirmedAt() const { return m_confirmedAt; }

    /// Time since the store itself last answered this host. Only this age is reported to others: an
    /// age relayed from host to host would omit the delay of each message, and so be too low.
    milliseconds lastReadAge(monotonic_time now) const;

    /// Time at which nextCall() or takeDuePull() may next have a result.
    monotonic_time nextDeadline(monotonic_time now, unsigned rank) const;

private:
    milliseconds staleAfter(unsigned rank) const;
    /// The store was at @p position at time @p asOf, and this view has all changes up to it.
    void confirm(const store_position &position, monotonic_time asOf, monotonic_time now);
    void onPeerEpoch(std::uint64_t epoch, monotonic_time now);
    void onAnswered(monotonic_time now);
    milliseconds retryPause(unsigned failures);

    std::mt19937_64 m_random;
    store_position m_position;
    store_position m_maxPeerPosition; ///< newest that another host reported
    std::uint64_t m_newestEpoch = 0; ///< newest that the store or another host stated
    bool m_isLoaded = false;
    bool m_needsListing = true;
    bool m_isCallPending = false;
    bool m_needsRead = false; ///< since a freeze
    monotonic_time m_calledAt{};
    milliseconds m_maxWait{0}; ///< of the last watch: how long the store may have held it
    monotonic_time m_confirmedAt{};
    monotonic_time m_lastReadAt{};
    monotonic_time m_nextCallAt{};
    monotonic_time m_lapseGraceEnd{};
    monotonic_time m_behindSince{}; ///< last progress since another host's view was newer
    monotonic_time m_lastPullAt{};
    monotonic_time m_receivingUntil{}; ///< parts of changes are expected until then
    bool m_isBehind = false;
    unsigned m_failures = 0;
    unsigned m_unconfirmedListings = 0; ///< since the last answer to a watch
};

} // namespace figstair
