#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/gate/member.h"
#include "figstair/wire/datagram.h"

namespace figstair {

struct membership_settings
{
    milliseconds probeInterval{500};
    milliseconds ackTimeout{200};
    milliseconds suspicionTime{1500};
    /// Silence after which a zone counts as unreachable, plus one probeInterval for each full
    /// zonesPerBridgeRound of other zones.
    milliseconds zoneTimeout{2500};
    std::size_t bridgesPerZone = 2;
    std::size_t zonesPerBridgeRound = 3; ///< other zones a bridge pings per probe interval
    std::size_t updatesPerMessage = 10; ///< queued member records per message
    /// Hosts of the own zone pinged by announce(). A bridge also pings one bridge per other zone.
    std::size_t announceFanout = 4;
    /// Hosts of the own zone pinged when a changed record is pushed. When a record of the own zone
    /// changed, a bridge also pings one bridge per other zone.
    std::size_t pushFanout = 2;
    milliseconds pushDelay{100}; ///< changes within this time are pushed together
};

/// Sends messages on behalf of membership.
class membership_output
{
public:
    virtual ~membership_output() = default;

    /// Sends a ping, ack or pingRequest. The implementation fills in the table fields of @p
    /// message.
    virtual void sendGossip(datagram_type type, std::uint64_t sequence, const endpoint &to,
                            gossip_message &message) = 0;

    /// Requests the records of @p slice from @p from if their digest differs there.
    virtual void requestMembers(const member &from, const member_slice &slice) = 0;
};

/// Group membership and failure detection. Within a zone it runs the SWIM protocol. Between zones a
/// few bridges per zone, chosen by rendezvous hashing, exchange records and detect unreachable
/// zones. A state machine without I/O: it takes events and time and sends through
/// membership_output.
class membership
{
public:
    /// @p clock and @p output must outlive the object.
    membership(member self, const membership_settings &settings, const clock_source &clock,
               std::uint64_t seed, membership_output &output);

    /// Adds an address to probe while no present member has it. The host's own address is ignored.
    void addSeed(const endpoint &seed);

    /// Sends due probes and pushes and applies timeouts.
    void tick();

    /// Handles a ping, ack or pingRequest.
    void onGossip(datagram_type type, std::uint64_t sequence, const endpoint &from,
                  const gossip_message &message);

    /// Merges records received from another host.
    void mergeMembers(const std::vector<member> &members);

    /// Sets the host's own state and announces it at once.
    void setOwnState(member_state state);

    /// Pings a few hosts at once, so that a newer table or view spreads without waiting for the
    /// next probe.
    void announce();

    const member &self() const { return m_self; }
    const std::map<std::string, member> &members() const { return m_members; }

    /// The record of a host, or nullptr. Valid until the next change of the records.
    const member *find(const std::string &name) const;

    /// The record of the process @p incarnation, under the same terms.
    const member *findIncarnation(std::uint64_t incarnation) const;

    /// Hosts of @p zone that may be gates, sorted by name; none when the zone is unreachable.
    const std::vector<const member *> &eligible(const std::string &zone) const;

    /// Changes whenever the set of hosts in eligible(zone) changes; 0 when it is empty.
    std::uint64_t eligibleVersion(const std::string &zone) const;

    /// Zones with at least one eligible host, sorted by name.
    const std::vector<std::string> &eligibleZones() const;

    /// Changes whenever any record or the reachability of a zone changes.
    std::uint64_t version() const { return m_version; }

    /// False when the bridges of the host's zone have lost contact with @p zone.
    bool zoneReachable(const std::string &zone) const;

    /// Whether this host is a bridge of its zone.
    bool isBridge() const;

    /// When any other host last answered a ping of this one.
    monotonic_time lastAck() const { return m_lastAck; }

    /// The records of @p slice; none when its digest matches the host's own records.
    std::vector<member> recordsOf(const member_slice &slice) const;

    /// Number of other hosts that are present.
    std::size_t presentPeerCount() const;

private:
    struct pending_probe
    {
        std::string target;
        monotonic_time sentAt{};
        bool indirectRequested = false;
    };
    struct relayed_probe
    {
        endpoint requester;
        std::uint64_t requesterSequence = 0;
    };
    struct queued_update
    {
        std::string name;
        int remaining = 0;
    };

    /// Lookup tables derived from the records and rebuilt when they change.
    struct zone_index
    {
        std::uint64_t version = 0;
        std::map<std::string, std::vector<const member *>> eligible;
        std::map<std::string, std::uint64_t> eligibleVersion;
        std::vector<std::string> eligibleZones;
        std::map<std::string, std::vector<const member *>> bridges;
        std::vector<std::string> otherZones;
    };

    void pingRandomHosts(std::size_t fanout, bool includeOtherZones);
    void merge(const member &record);
    void refute(const member &record);
    void store(const member &record);
    bool shouldSendReach(const zone_reach &reach) const;
    void mergeReach(const std::vector<zone_reach> &reach);
    void queueUpdate(const std::string &name);
    void insertUpdate(const queued_update &update);
    void queueOwnRecord();
    void schedulePush(const member &record);
    void pushIfDue();
    int retransmitLimit() const;
    bool isPresentAt(const endpoint &where) const;
    gossip_message composeMessage(const std::string &receiver);
    void send(datagram_type type, std::uint64_t sequence, const endpoint &to,
              const std::string &receiver, const std::string &target = {});
    void updateFromSender(const gossip_message &message, const endpoint &from);
    void sendAck(std::uint64_t sequence, const endpoint &from, const std::string &sender);
    void onAck(std::uint64_t sequence, const std::string &sender);
    void probeNext();
    void probe(const member &target);
    void checkProbes();
    void requestIndirectProbes(std::uint64_t sequence, pending_probe &probe);
    void checkSuspects();
    void probeOtherZones();
    void updateZoneReachability();
    void probeAbsent();
    const zone_index &index() const;
    const std::vector<const member *> &bridgesOf(const std::string &zone) const;
    std::uint64_t viewDigest() const;
    void requestSlice(const member &from);
    void markChanged();

    member m_self;
    membership_settings m_settings;
    const clock_source &m_clock;
    std::mt19937_64 m_random;
    membership_output &m_output;
    std::map<std::string, member> m_members;
    std::unordered_map<std::uint64_t, std::string> m_byIncarnation;
    /// When the record of a host was last stored. Every newer record restarts the time, also one
    /// with the same state. The suspicion timeout and absentRetention count from it.
    std::map<std::string, monotonic_time> m_stateSince;
    std::vector<endpoint> m_seeds;
    std::map<std::string, zone_reach> m_zoneReach;
    std::map<std::string, monotonic_time> m_lastContact;
    std::map<std::string, monotonic_time> m_reachChangedAt;
    std::vector<std::string> m_probeOrder;
    std::size_t m_bridgeCursor = 0;
    std::map<std::uint64_t, pending_probe> m_pendingProbes;
    std::map<std::uint64_t, relayed_probe> m_relayedProbes;
    std::deque<queued_update> m_queuedUpdates;
    std::uint64_t m_sequence = 0;
    int m_ownRecordSendsLeft = 0;
    bool m_isPushScheduled = false;
    bool m_pushToOtherZones = false;
    monotonic_time m_pushAt{};
    std::uint64_t m_messagesSent = 0;
    std::uint64_t m_version = 1;
    mutable std::uint64_t m_viewDigest = 0;
    mutable bool m_viewDigestValid = false;
    monotonic_time m_nextProbe{};
    monotonic_time m_nextSync{};
    std::uint32_t m_nextSlice = 0;
    monotonic_time m_nextSuspectCheck{};
    monotonic_time m_nextAbsentProbe{};
    monotonic_time m_lastAck{};
    mutable zone_index m_index;
};

} // namespace figstair
