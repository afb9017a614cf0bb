#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/view/fleet_records.h"

namespace figstair {

/// The other hosts: listed ones as the store names them, live ones by the messages received.
class peer_roster
{
public:
    struct peer
    {
        host_record entry;
        monotonic_time lastHeardAt{}; ///< time of the last message; zero: never
        monotonic_time listedSince{}; ///< first listing, if it was before any message
        bool isListed = false; ///< the store lists it
        bool isLeaving = false;
        bool isRemoved = false; ///< the store removed its record, and it sent no message since
        bool wasAlive = false; ///< at the last onHostMessage() or advance()
        double newFlowsPerSecond = 0; ///< that it last reported; 0: not known
        std::string countedInZone; ///< zone_state::expectedHosts that includes it; empty: none
    };

    /// What is known of the hosts of one zone.
    struct zone_contact
    {
        /// Hosts from which messages are expected, see isExpected(); without this host.
        std::size_t hosts = 0;
        /// Time of the last message since onResumed(); zero: none.
        monotonic_time lastHeardAt{};
    };

    explicit peer_roster(host_record self);

    /// Applies a change of a host's record in the store. A host that the store no longer lists
    /// stays known while messages from it arrive.
    void apply(const record_change &change, monotonic_time now);

    /// Marks every host that @p listing lacks as no longer listed.
    void retain(const std::vector<record_change> &listing);

    /// Appends the records of this host and of the hosts that the store lists.
    void appendSnapshot(std::vector<record_change> &records) const;

    /// Records a message from @p host. Returns false if it is from an earlier incarnation of a live
    /// host, or from this host.
    bool onHostMessage(const host_record &host, bool isLeaving, monotonic_time now);

    /// Notes how many new flows the known host @p name gets.
    void setNewFlowsPerSecond(const std::string &name, double rate);

    /// This host starts to take part, or did not run for a while: it does not know what other hosts
    /// sent meanwhile.
    void onResumed(monotonic_time now) { m_resumedAt = now; }
    monotonic_time resumedAt() const { return m_resumedAt; }

    /// Notes hosts that fell silent. Forgets hosts that the store does not list and that sent no
    /// message for a while.
    void advance(monotonic_time now);

    /// Whether the last message from @p other is recent enough to count that host as alive.
    bool isAlive(const peer &other, monotonic_time now) const;

    /// Whether messages from @p other should arrive. A host that announced that it leaves, or whose
    /// record was removed from the store, is silent for that reason.
    static bool isExpected(const peer &other) { return !other.isLeaving && !other.isRemoved; }

    /// False if messages from @p zone should arrive, but neither do they nor does its upstreams'
    /// traffic, see onZoneAnswered(). The zone may be partitioned, or its hosts may have failed.
    /// True for this host's own zone, for zones from which no message ever arrived, and for those
    /// without expected hosts, whose silence shows nothing.
    bool isZoneReachable(const std::string &zone, monotonic_time now) const;

    /// An upstream of @p zone answered a request through this host at @p when, so that the zone was
    /// reachable then, whether or not its hosts are heard.
    void onZoneAnswered(const std::string &zone, monotonic_time when);

    /// The hosts of @p zone, and when one of them was last heard. Unlike isZoneReachable(), tells a
    /// zone that was never heard from one that is heard now.
    zone_contact contactWith(const std::string &zone) const;

    /// Whether this host is the owner of the upstream with the id @p key in @p zone: the one host
    /// that sends it trial and cold flows. Rendezvous hashing picks it among the live hosts of
    /// @p zone, or among all live hosts if @p zone has none. Other hosts that leave are excluded;
    /// this host is not. Hosts with different views of the fleet may pick different owners.
    bool owns(std::uint64_t key, const std::string &zone, monotonic_time now) const;

    /// Name of the host that owns @p key in the sense of owns(). Cached until a host joins or
    /// leaves, for at most 100 ms. The reference is valid until the next change or call.
    const std::string &ownerOf(std::uint64_t key, const std::string &zone,
                               monotonic_time now) const;

    /// Whether this host is the one that may send flows to the cold upstream with the id @p key in
    /// @p zone. Stricter than owns(): hosts that were heard or first listed a short while ago count
    /// as alive, and a host that has just started or resumed sends none for 1.1 s. Hosts that
    /// succeed each other as owners are thus at least a second apart, in which the flows of the
    /// first do not count any more.
    bool ownsAllowance(std::uint64_t key, const std::string &zone, monotonic_time now) const;

    /// Number of live hosts ranked before this one for @p key: in this host's zone in a large
    /// fleet, in all zones in a small one. Hosts with more CPU rank first, then rendezvous hashing
    /// decides. In a large fleet a host that the store listed recently counts as live, since it
    /// takes seconds until a message from every host has arrived.
    unsigned rankOf(std::uint64_t key, monotonic_time now) const;

    /// Whether there are too many hosts for each to report to all others.
    bool isLargeFleet() const;

    /// Time between two reports that this host gets from the same host, which is in its zone
    /// (@p isLocal) or in another; depends on the size of the fleet.
    milliseconds reportCycle(bool isLocal) const;

    /// Addresses that the report with number @p sequence goes to.
    std::vector<endpoint> reportTargets(std::uint64_t sequence) const;

    /// Addresses that news and changes of the store's records are sent to: this host's zone in a
    /// large fleet, all hosts in a small one.
    std::vector<endpoint> relayTargets() const;

    /// Interval between the reports of this host.
    milliseconds reportInterval() const;

    /// When the set of hosts that get packets of this host's callers last changed: when a host of
    /// this zone joined, restarted, started to leave or fell silent, or the first or last host of
    /// another zone did.
    monotonic_time changedAt() const { return m_changedAt; }

    const host_record &self() const { return m_self; }
    const std::map<std::string, peer> &peers() const { return m_peers; }

private:
    struct zone_state
    {
        monotonic_time lastHeardAt{}; ///< last message of one of its hosts; zero: none
        monotonic_time lastAnsweredAt{}; ///< last onZoneAnswered(); zero: none
        std::size_t expectedHosts = 0;
    };

    std::vector<endpoint> addresses(bool areLocal) const;
    void updateSameZoneCount();
    bool isPresumedAlive(const peer &other, monotonic_time now) const;
    void noteChange(const std::string &zone, monotonic_time now);
    /// Counts @p known among the expected hosts of its zone, or no longer.
    void updateExpectation(peer &known);
    void stopExpecting(peer &known);
    milliseconds silenceLimitOf(std::size_t expectedHosts) const;
    /// Whether @p other may still send flows to cold upstreams that it owns.
    bool mayUseAllowance(const peer &other, monotonic_time now) const;
    void expireOwnerCaches(monotonic_time now) const;
    /// The owner of @p key among this host and the others for which @p counts returns true.
    template <typename predicate>
    const std::string &findOwner(std::uint64_t key, const std::string &zone,
                                 predicate counts) const;

    host_record m_self;
    std::map<std::string, peer> m_peers;
    std::unordered_map<std::string, zone_state> m_zones;
    std::size_t m_sameZoneCount = 0; ///< other hosts in this host's zone
    monotonic_time m_changedAt{};
    monotonic_time m_resumedAt{}; ///< last onResumed()
    /// Owners by key, for ownerOf() and ownsAllowance(); cleared periodically, last at
    /// m_ownerCachesClearedAt, and when a host joins or leaves.
    mutable std::unordered_map<std::uint64_t, std::string> m_ownerCache;
    mutable std::unordered_map<std::uint64_t, std::string> m_allowanceOwnerCache;
    mutable monotonic_time m_ownerCachesClearedAt{};
};

} // namespace figstair
