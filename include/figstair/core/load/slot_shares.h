#pragma once

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "figstair/core/health/upstream_health.h"
#include "figstair/core/load/event_rate.h"
#include "figstair/core/view/peer_roster.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// The part of a service's slots that is this host's.
struct slot_share
{
    /// Slots of this host at single upstreams, most of them whole upstreams; by index. Some of them
    /// may have left since.
    std::vector<std::pair<upstream_index, double>> home;
    double slots = 0; ///< sum over home
    double serviceSlots = 0; ///< of all hosts

    /// Slots of this host at @p upstream.
    double homeSlots(upstream_index upstream) const;

    /// Adds @p count slots at @p upstream; rounding errors and negative counts are ignored. All
    /// slots at one upstream must be added one after the other, and home sorted afterwards.
    void add(upstream_index upstream, double count);
};

/// Divides the slots of each service among the hosts, in proportion to the new flows that they get.
///
/// Load pattern: reports about other hosts' requests are older than the requests last. When
/// upstreams are saturated, hosts that go by such reports all fill the same gap and then all wait.
/// The open requests at a host's own part are known to it without delay, and while every host keeps
/// to its part, the parts add up to what upstreams can serve.
///
/// Every host computes the same division from the same members, upstreams and weights. Where views
/// differ, parts overlap or leave gaps for a moment: load is then less even, nothing else. Hosts
/// get slots in their own zone first; zones with more demand than slots get some of the others'
/// rest.
class slot_shares
{
public:
    slot_shares(upstream_directory &directory, const upstream_health &health,
                const peer_roster &roster);

    /// Counts a new flow at this host.
    void onArrival(monotonic_time now) { m_arrivals.add(now); }

    /// New flows per second at this host; 0 while not known.
    double newFlowsPerSecond(monotonic_time now) const { return m_arrivals.perSecond(now); }

    /// This host's part of @p service. Recomputed several times a second, less often for services
    /// of thousands of upstreams; valid until the next call for that service.
    const slot_share &of(const std::string &service, monotonic_time now);

private:
    struct zone_interval
    {
        double demand = 0; ///< of the zone's hosts, as a part of all
        double first = 0; ///< this host's interval within the zone, from 0 to 1; empty elsewhere
        double last = 0;
    };
    struct slot_interval
    {
        double first = 0;
        double last = 0;
    };
    struct cached_share
    {
        slot_share share;
        monotonic_time computedAt{};
        /// Upstreams by zone name and id, in an order that is the same at all hosts.
        std::vector<std::pair<std::string, std::vector<upstream_index>>> order;
        std::uint64_t orderGeneration = 0; ///< of the directory
        std::size_t upstreams = 0;
    };

    void updateHosts(monotonic_time now);
    void updateOrder(const std::string &service, cached_share &cached);
    static double overlapOf(slot_interval a, slot_interval b); ///< negative if there is none
    bool isUsable(upstream_index upstream, monotonic_time now) const;
    double usableSlots(const std::vector<upstream_index> &upstreams, monotonic_time now) const;
    zone_interval intervalOf(const std::string &zone) const;
    slot_interval intervalOfRest(const std::unordered_map<std::string, double> &slotsByZone,
                                 double serviceSlots) const;
    slot_share compute(const cached_share &cached, monotonic_time now) const;

    upstream_directory &m_directory;
    const upstream_health &m_health;
    const peer_roster &m_roster;
    event_rate m_arrivals;
    std::unordered_map<std::string, cached_share> m_shares; ///< by service
    std::unordered_map<std::string, zone_interval> m_zones; ///< by name
    monotonic_time m_hostsUpdatedAt{};
};

} // namespace figstair
