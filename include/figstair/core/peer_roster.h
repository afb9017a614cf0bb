#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/fleet_records.h"

namespace figstair {

/// The other hosts: who they are by the store's word, who answers by what was heard.
class peer_roster
{
public:
    struct peer
    {
        host_record entry;
        monotonic_time lastHeardAt{}; ///< zero: never
        monotonic_time listedSince{}; ///< when the store named it, if it was not heard before
        bool isListed = false; ///< the store names it
        bool isLeaving = false;
        bool wasAlive = false; ///< at the last look
    };

    explicit peer_roster(host_record self);

    /// Records what the store says of a host. A host that the store no longer names stays known
    /// while it is heard.
    void apply(const record_change &change, monotonic_time now);

    /// Takes every host that @p listing lacks as no longer named by the store.
    void retain(const std::vector<record_change> &listing);

    /// Adds the hosts that the store names, and this one.
    void appendSnapshot(std::vector<record_change> &records) const;

    /// Notes a message from @p host. Returns false when it comes from an earlier life of it.
    bool onHostMessage(const host_record &host, bool isLeaving, monotonic_time now);

    /// Forgets hosts that neither the store names nor anything was heard of.
    void advance(monotonic_time now);

    bool isAlive(const peer &other, monotonic_time now) const;

    /// Whether some host of @p zone can be heard. True for this host's own zone, and for zones that
    /// no host was ever heard of.
    bool isZoneReachable(const std::string &zone, monotonic_time now) const;

    /// Whether this host is the one among the live hosts, of @p zone if there are any, that
    /// rendezvous hashing picks for @p key.
    bool owns(std::uint64_t key, const std::string &zone, monotonic_time now) const;

    /// Name of the owner in the sense of owns(); this host's own name when it is the owner. Worked
    /// out anew when a host comes or goes, and every 100 ms.
    const std::string &ownerOf(std::uint64_t key, const std::string &zone,
                               monotonic_time now) const;

    /// Number of live hosts ranked before this one for @p key: among this host's zone in a large
    /// fleet, among all in a small one. Stronger hosts come first, then rendezvous hashing decides.
    /// In a large fleet a host that the store has named a moment ago counts as live: it takes
    /// seconds until all have been heard.
    unsigned rankOf(std::uint64_t key, monotonic_time now) const;

    /// Whether there are too many hosts for each to report to all others.
    bool isLargeFleet() const;

    /// Distance of two reports from the same host, by the size of the fleet.
    milliseconds reportCycle(bool isLocal) const;

    /// Hosts that the report with number @p sequence goes to.
    std::vector<endpoint> reportTargets(std::uint64_t sequence) const;

    /// Hosts that changes of the store's records are passed on to.
    std::vector<endpoint> relayTargets() const;

    /// Distance of this host's reports.
    milliseconds reportInterval() const;

    /// When a host was last seen to come, to leave, or to fall silent.
    monotonic_time changedAt() const { return m_changedAt; }

    const host_record &self() const { return m_self; }
    const std::map<std::string, peer> &peers() const { return m_peers; }

private:
    std::vector<endpoint> addresses(bool areLocal) const;
    void updateSameZoneCount();
    bool isPresumedAlive(const peer &other, monotonic_time now) const;
    void noteChange(monotonic_time now);
    const std::string &findOwner(std::uint64_t key, const std::string &zone,
                                 monotonic_time now) const;

    host_record m_self;
    std::map<std::string, peer> m_peers;
    std::unordered_map<std::string, monotonic_time> m_zoneLastHeardAt;
    std::size_t m_sameZoneCount = 0; ///< peers of the own zone
    monotonic_time m_changedAt{};
    /// Owners found since m_ownerCacheClearedAt, by key.
    mutable std::unordered_map<std::uint64_t, std::string> m_ownerCache;
    mutable monotonic_time m_ownerCacheClearedAt{};
};

} // namespace figstair
