#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "figstair/core/flow/entry_core.h"
#include "figstair/core/view/view_feed.h"
#include "figstair/store/fleet_store.h"
#include "figstair/wire/change_sets.h"

namespace figstair {

/// Keeps this host's view of the store's records up to date: makes the store calls that view_feed
/// schedules, applies records to entry_core, relays them to other hosts and keeps this host
/// announced in the store. When the store was restored from an older copy, the host lists it and
/// announces itself again, and keeps what the copy is known to lack until it is written again.
class store_session
{
public:
    /// Services that the session needs from the process.
    class environment
    {
    public:
        virtual ~environment() = default;
        /// Sends @p message to all hosts that receive changes from this one.
        virtual void relay(const entry_message &message) = 0;
        virtual void sendToPeer(const endpoint &to, const entry_message &message) = 0;
        /// Sends a message without a signature, for hosts that do not have the shared key yet.
        virtual void sendUnsigned(const endpoint &to, const unsigned_message &message) = 0;
        /// The shared key of the hosts; zeros while it is not known.
        virtual peer_key key() const = 0;
        /// Uses @p key as the shared key from now on.
        virtual void adoptKey(const peer_key &key) = 0;
        virtual void logEvent(std::string_view name, event_fields fields) = 0;
        virtual void count(entry_counter which, std::uint64_t amount) = 0;
        virtual void observe(entry_distribution which, milliseconds value) = 0;
    };

    /// @p core, @p clock and @p sessionEnvironment must outlive this object. @p seed initialises
    /// the random numbers, @p seeds are hosts that are asked for their view when the store is not
    /// reachable at start.
    store_session(std::unique_ptr<fleet_store> store, entry_core &core, const clock_source &clock,
                  const host_record &self, milliseconds announcementTtl,
                  std::vector<endpoint> seeds, std::uint64_t seed, environment &sessionEnvironment);

    /// Starts the calls that are due. Call it no later than nextDeadline().
    void tick();
    monotonic_time nextDeadline();

    /// This host did not run for @p gap; see view_feed::onFreeze().
    void onFreeze(milliseconds gap);

    /// No message from another host waits to be read. One that is read later may have waited since
    /// now, if this host is slow or does not run, so its age is counted from now.
    void onPeerMessagesRead() { m_peerMessagesReadAt = m_clock.monotonic(); }

    /// Longest time that a message which is read now can have waited in this host's socket.
    milliseconds maxMessageDelay() const;

    /// Applies changes that another host relayed, if they follow this host's revision.
    void onRelayedChanges(view_changes changes);

    /// Sends the changes after the requested revision, if the history still has them.
    void onPull(const view_pull &pull);

    /// Notes the revision and age of another host's view.
    void onPeerReport(const peer_report &report);

    /// Answers a host that started without the store and asks for the whole view.
    void onViewRequest(const endpoint &from, const view_request &request);

    /// Handles a seed's answer; ignored once this host has a view.
    void onSnapshot(const view_snapshot &snapshot);

    /// Removes this host's announcement from the store by ending its lease, for good.
    void withdraw();

    const view_feed &feed() const { return m_feed; }

private:
    /// The changes from one revision to another, kept for hosts that missed them.
    struct kept_change
    {
        std::uint64_t after = 0;
        std::uint64_t revision = 0;
        std::vector<record_change> records;
    };

    unsigned rank();
    void startCall(const feed_call &call);
    void onListed(store_reply<store_records> reply);
    void onWatched(std::uint64_t after, store_reply<store_records> reply);
    void recordFailure(const char *call, const store_error &error);
    /// Records the failure of a call that reads the view.
    void recordReadFailure(const char *call, const store_error &error);
    void recordSuccess();
    /// Logs when this host begins and ends to lack changes that other hosts have.
    void updateBehind(monotonic_time now);
    /// Counts relayed changes that do not follow this host's view, and logs some of them.
    void recordRefusedRelay(const view_changes &changes);
    void recordRestoration(const store_position &view);
    /// Replaces the view by @p view: the first one, or one of a new epoch.
    void applyView(const store_records &view);
    /// Applies a listing that replaces a view with all changes up to revision @p after, and relays
    /// the difference.
    void applyNewerListing(const store_records &listing, std::uint64_t after);
    void applyRecords(const store_records &listing);
    void requestViewFromSeeds(monotonic_time now);
    void confirmView();
    void applyChanges(const std::vector<record_change> &records);
    std::vector<record_change> recordsToRelay(const std::vector<record_change> &records) const;
    void addToHistory(std::uint64_t after, std::uint64_t revision,
                      std::vector<record_change> records);
    void sendToPeers(const view_changes &changes);
    void offerKeyIfMissing(const std::vector<record_change> &listing);
    void announceIfMissing(const std::vector<record_change> &listing);
    /// Notes in the store which zones were evacuated recently.
    void updateMarks(monotonic_time now);
    void onMarkWritten(const mark_task &task, const store_reply<std::monostate> &reply);
    void loseAnnouncement();
    void continueAnnouncing();
    void onAnnouncementFailed(const char *call, const store_error &error);

    std::unique_ptr<fleet_store> m_store;
    entry_core &m_core;
    const clock_source &m_clock;
    host_record m_self;
    milliseconds m_announcementTtl;
    std::vector<endpoint> m_seeds;
    std::uint64_t m_seedNonce = 0; ///< nonce of the last request to seeds; 0: none was sent
    monotonic_time m_nextSeedRequest{};
    environment &m_environment;
    view_feed m_feed;
    std::mt19937_64 m_random;
    changes_assembler m_assembler; ///< of relayed changes that are too large for one message
    std::deque<kept_change> m_history;
    std::size_t m_historySize = 0; ///< sum of sizeInHistory()
    unsigned m_rank = 0; ///< as of m_rankUpdatedAt
    monotonic_time m_rankUpdatedAt{};
    endpoint m_newerPeer; ///< a host that reported a newer view, of this zone if there is one
    std::optional<monotonic_time> m_peerMessagesReadAt; ///< last onPeerMessagesRead()
    std::string m_newerPeerZone; ///< empty: no newer view was reported since the last pull
    std::optional<monotonic_time> m_behindSince; ///< m_missedPosition is known, but not reached
    store_position m_missedPosition;
    bool m_isBehindLogged = false;
    unsigned m_readFailures = 0; ///< since the last successful read
    monotonic_time m_nextRefusalLog{};
    monotonic_time m_firstLoadedAt{};
    monotonic_time m_markDueSince{};
    monotonic_time m_nextMark{};
    bool m_isMarkPending = false;
    std::uint64_t m_leaseId = 0;
    bool m_isAnnounced = false;
    bool m_isAnnouncementPending = false;
    bool m_isWithdrawn = false;
    bool m_isStoreReachable = true;
    monotonic_time m_nextAnnouncement{};
};

} // namespace figstair
