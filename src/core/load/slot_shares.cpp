#include "figstair/core/load/slot_shares.h"

#include <algorithm>

#include "figstair/core/rendezvous.h"

namespace figstair {
namespace {

/// Interval at which shares are recomputed, and the hosts that they depend on. Both grow with the
/// number of upstreams and hosts that are looked through, so that this costs little at any size.
constexpr milliseconds shareInterval{100};
constexpr std::size_t itemsPerMillisecond = 50;

milliseconds intervalFor(std::size_t items)
{
    return shareInterval + milliseconds(static_cast<std::int64_t>(items / itemsPerMillisecond));
}

/// A host's reported demand counts for this time. Later it is taken to have what this host has.
constexpr milliseconds maxDemandAge{1500};

/// Time over which a host's demand is averaged: long, since each change moves slots from host to
/// host.
constexpr milliseconds demandMeanTime{3000};

/// Time after its start in which a host's demand is taken to be that of the others: callers that
/// waited while hosts were away come to those that start first.
constexpr milliseconds minDemandTime{3000};

/// Bounds of a host's demand, as multiples of this host's.
constexpr double minRelativeDemand = 0.25;
constexpr double maxRelativeDemand = 4.0;

/// How long a host that the store lists counts before its first message.
constexpr milliseconds unheardGrace{2000};

/// Parts of a slot below this are ignored.
constexpr double minSlots = 1e-6;

} // namespace

double slot_share::homeSlots(upstream_index upstream) const
{
    const auto found =
        std::lower_bound(home.begin(), home.end(), upstream,
                         [](const auto &part, upstream_index key) { return part.first < key; });
    return found == home.end() || found->first != upstream ? 0 : found->second;
}

void slot_share::add(upstream_index upstream, double count)
{
    if (count <= minSlots) {
        return;
    }
    slots += count;
    if (!home.empty() && home.back().first == upstream) {
        home.back().second += count;
    } else {
        home.emplace_back(upstream, count);
    }
}

double slot_shares::overlapOf(slot_interval a, slot_interval b)
{
    return std::min(a.last, b.last) - std::max(a.first, b.first);
}

slot_shares::slot_shares(upstream_directory &directory, const upstream_health &health,
                         const peer_roster &roster)
    : m_directory(directory)
    , m_health(health)
    , m_roster(roster)
    , m_arrivals(demandMeanTime, minDemandTime)
{
}

void slot_shares::updateHosts(monotonic_time now)
{
    if (m_hostsUpdatedAt != monotonic_time{}
        && now - m_hostsUpdatedAt < intervalFor(m_roster.peers().size())) {
        return;
    }
    m_hostsUpdatedAt = now;
    m_zones.clear();
    const double ownRate = newFlowsPerSecond(now);
    const std::uint64_t ownScore = rendezvousScore(0, m_roster.self().name);
    zone_interval &own = m_zones[m_roster.self().zone];
    own.demand = 1;
    for (const auto &[name, other] : m_roster.peers()) {
        const bool isUnheard = other.isListed && other.lastHeardAt == monotonic_time{}
            && now - other.listedSince <= unheardGrace;
        if (other.isLeaving || !(isUnheard || m_roster.isAlive(other, now))) {
            continue;
        }
        const bool isKnown =
            ownRate > 0 && other.newFlowsPerSecond > 0 && now - other.lastHeardAt <= maxDemandAge;
        const double demand = isKnown
            ? std::clamp(other.newFlowsPerSecond / ownRate, minRelativeDemand, maxRelativeDemand)
            : 1.0;
        m_zones[other.entry.zone].demand += demand;
        if (other.entry.zone == m_roster.self().zone && rendezvousScore(0, name) < ownScore) {
            own.first += demand;
        }
    }
    own.last = (own.first + 1) / own.demand;
    own.first /= own.demand;
    double total = 0;
    for (const auto &[name, zone] : m_zones) {
        total += zone.demand;
    }
    for (auto &[name, zone] : m_zones) {
        zone.demand /= total;
    }
}

void slot_shares::updateOrder(const std::string &service, cached_share &cached)
{
    cached.order.clear();
    cached.upstreams = 0;
    for (std::size_t number = 0; number < m_directory.zoneCount(); ++number) {
        const auto zone = static_cast<std::uint16_t>(number);
        const auto listed = m_directory.candidates(service, zone);
        cached.order.emplace_back(m_directory.zoneName(zone),
                                  std::vector<upstream_index>(listed.begin(), listed.end()));
        std::vector<upstream_index> &upstreams = cached.order.back().second;
        cached.upstreams += upstreams.size();
        std::sort(upstreams.begin(), upstreams.end(), [&](upstream_index a, upstream_index b) {
            return m_directory.at(a).entry.id < m_directory.at(b).entry.id;
        });
    }
    std::sort(cached.order.begin(), cached.order.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    cached.orderGeneration = m_directory.generation();
}

bool slot_shares::isUsable(upstream_index upstream, monotonic_time now) const
{
    return now >= m_directory.at(upstream).coldUntil && !m_health.isEjected(upstream);
}

double slot_shares::usableSlots(const std::vector<upstream_index> &upstreams,
                                monotonic_time now) const
{
    double slots = 0;
    for (const upstream_index upstream : upstreams) {
        slots += isUsable(upstream, now) ? m_directory.at(upstream).entry.slots : 0;
    }
    return slots;
}

slot_shares::zone_interval slot_shares::intervalOf(const std::string &zone) const
{
    const auto found = m_zones.find(zone);
    return found == m_zones.end() ? zone_interval{} : found->second;
}

/// Slots that other zones leave, this host's part of them: an interval on the line of all that
/// zones leave. Zones whose hosts lack slots take from it one after the other, by name.
slot_shares::slot_interval
slot_shares::intervalOfRest(const std::unordered_map<std::string, double> &slotsByZone,
                            double serviceSlots) const
{
    const std::string &ownZone = m_roster.self().zone;
    double lackBefore = 0;
    double ownLack = 0;
    for (const auto &[zone, interval] : m_zones) {
        const auto found = slotsByZone.find(zone);
        const double slots = found == slotsByZone.end() ? 0 : found->second;
        const double lack = std::max(0.0, interval.demand * serviceSlots - slots);
        if (zone == ownZone) {
            ownLack = lack;
        } else if (zone < ownZone) {
            lackBefore += lack;
        }
    }
    const zone_interval own = intervalOf(ownZone);
    return {lackBefore + own.first * ownLack, lackBefore + own.last * ownLack};
}

/// The usable slots of each zone lie on a line, in the order of their upstreams. Its beginning goes
/// to the zone's own hosts, each of which has an interval of it. What is left of all zones forms a
/// second line, which goes to the hosts of zones that lack slots.
slot_share slot_shares::compute(const cached_share &cached, monotonic_time now) const
{
    slot_share share;
    std::unordered_map<std::string, double> slotsByZone;
    for (const auto &[zone, upstreams] : cached.order) {
        slotsByZone[zone] = usableSlots(upstreams, now);
        share.serviceSlots += slotsByZone[zone];
    }
    const slot_interval rest = intervalOfRest(slotsByZone, share.serviceSlots);
    double restPosition = 0;
    for (const auto &[zone, upstreams] : cached.order) {
        const zone_interval interval = intervalOf(zone);
        const double zoneSlots = slotsByZone[zone];
        const double ownHosts = std::min(zoneSlots, interval.demand * share.serviceSlots);
        const slot_interval own{interval.first * ownHosts, interval.last * ownHosts};
        double position = 0;
        for (const upstream_index upstream : upstreams) {
            if (!isUsable(upstream, now)) {
                continue;
            }
            const slot_interval slots{position, position + m_directory.at(upstream).entry.slots};
            const slot_interval left{restPosition + std::max(slots.first, ownHosts) - ownHosts,
                                     restPosition + std::max(slots.last, ownHosts) - ownHosts};
            share.add(upstream, overlapOf(own, slots));
            share.add(upstream, overlapOf(rest, left));
            position = slots.last;
        }
        restPosition += zoneSlots - ownHosts;
    }
    std::sort(share.home.begin(), share.home.end());
    return share;
}

const slot_share &slot_shares::of(const std::string &service, monotonic_time now)
{
    updateHosts(now);
    const auto [entry, isNew] = m_shares.try_emplace(service);
    cached_share &cached = entry->second;
    if (!isNew && now - cached.computedAt < intervalFor(cached.upstreams)) {
        return cached.share;
    }
    if (isNew || cached.orderGeneration != m_directory.generation()) {
        updateOrder(service, cached);
    }
    cached.share = compute(cached, now);
    cached.computedAt = now;
    return cached.share;
}

} // namespace figstair
