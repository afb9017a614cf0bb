#pragma once

#include <deque>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "figstair/core/entry_core.h"
#include "figstair/core/view_feed.h"
#include "figstair/store/fleet_store.h"
#include "figstair/wire/entry_message.h"

namespace figstair {

/// Keeps this host's view of the store's records: carries out what view_feed decides, hands records
/// to entry_core, passes them on to other hosts, and keeps this host announced.
class store_session
{
public:
    /// What the session needs from the process around it.
    class environment
    {
    public:
        virtual ~environment() = default;
        /// Sends @p message to all hosts that rely on this one for changes.
        virtual void relay(const entry_message &message) = 0;
        virtual void sendToPeer(const endpoint &to, const entry_message &message) = 0;
        virtual void sendUnsigned(const endpoint &to, const unsigned_message &message) = 0;
        virtual peer_key key() const = 0;
        virtual void adoptKey(const peer_key &key) = 0;
        virtual void logEvent(std::string_view name, event_fields fields) = 0;
        virtual void count(entry_counter which, std::uint64_t amount) = 0;
    };

    store_session(std::unique_ptr<fleet_store> store, entry_core &core, const clock_source &clock,
                  const host_record &self, milliseconds announcementTtl,
                  std::vector<endpoint> seeds, std::uint64_t seed, environment &sessionEnvironment);

    /// Starts calls that are due. To be called at nextDeadline() or earlier.
    void tick();
    monotonic_time nextDeadline();

    void onRelayedChanges(const view_changes &changes);
    void onPull(const view_pull &pull);
    void onPeerReport(const peer_report &report);

    /// A host that has started without the store asks for the whole view.
    void onViewRequest(const endpoint &from, const view_request &request);

    /// A seed's answer. Taken only while this host has no view of its own.
    void onSnapshot(const view_snapshot &snapshot);

    /// Takes this host's announcement back.
    void withdraw();

    const view_feed &feed() const { return m_feed; }

private:
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
    void recordSuccess();
    void applyListing(const store_records &listing);
    void requestViewFromSeeds(monotonic_time now);
    void applyChanges(const std::vector<record_change> &records);
    std::vector<record_change> recordsToRelay(const std::vector<record_change> &records) const;
    void addToHistory(std::uint64_t after, std::uint64_t revision,
                      const std::vector<record_change> &records);
    void offerKeyIfMissing(const std::vector<record_change> &listing);
    void continueAnnouncing();
    void onAnnouncementFailed(const char *call, const store_error &error);

    std::unique_ptr<fleet_store> m_store;
    entry_core &m_core;
    const clock_source &m_clock;
    host_record m_self;
    milliseconds m_announcementTtl;
    std::vector<endpoint> m_seeds;
    std::uint64_t m_seedNonce = 0; ///< of the last request; 0: none was sent
    monotonic_time m_nextSeedRequest{};
    environment &m_environment;
    view_feed m_feed;
    std::mt19937_64 m_random;
    std::deque<kept_change> m_history;
    unsigned m_rank = 0; ///< as of m_rankUpdatedAt
    monotonic_time m_rankUpdatedAt{};
    endpoint m_newerPeer; ///< a host that stated a newer view, of the own zone if any did
    std::string m_newerPeerZone; ///< empty: none stated one since the last question
    monotonic_time m_firstLoadedAt{};
    std::uint64_t m_leaseId = 0;
    bool m_isAnnounced = false;
    bool m_isAnnouncementPending = false;
    bool m_isWithdrawn = false;
    bool m_isStoreReachable = true;
    monotonic_time m_nextAnnouncement{};
};

} // namespace figstair
