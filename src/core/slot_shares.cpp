#include "figstair/core/slot_shares.h"

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

slot_share slot_shares::compute(const cached_share &cached, monotonic_time now) const
{
    slot_share share;
    const auto isUsable = [&](upstream_index upstream) {
        return now >= m_directory.at(upstream).coldUntil && !m_health.isEjected(upstream);
    };
    std::vector<double> zoneSlots;
    for (const auto &[zone, upstreams] : cached.order) {
        double slots = 0;
        for (const upstream_index upstream : upstreams) {
            slots += isUsable(upstream) ? m_directory.at(upstream).entry.slots : 0;
        }
        zoneSlots.push_back(slots);
        share.serviceSlots += slots;
    }
    const auto intervalOf = [&](const std::string &zone) {
        const auto found = m_zones.find(zone);
        return found == m_zones.end() ? zone_interval{} : found->second;
    };
    // What the zones lack is taken from the rest of the others, in the order of their names. Zones
    // with hosts but without upstreams come first.
    const zone_interval own = intervalOf(m_roster.self().zone);
    double lackBefore = 0;
    double ownLack = 0;
    std::unordered_map<std::string, double> slotsByZone;
    for (std::size_t index = 0; index < cached.order.size(); ++index) {
        slotsByZone[cached.order[index].first] = zoneSlots[index];
    }
    for (const auto &[zone, interval] : m_zones) {
        const auto found = slotsByZone.find(zone);
        const double lack = std::max(0.0,
                                     interval.demand * share.serviceSlots
                                         - (found == slotsByZone.end() ? 0 : found->second));
        if (zone == m_roster.self().zone) {
            ownLack = lack;
        } else if (zone < m_roster.self().zone) {
            lackBefore += lack;
        }
    }
    const auto addPart = [&](upstream_index upstream, double slots) {
        if (slots <= minSlots) {
            return;
        }
        share.slots += slots;
        if (!share.home.empty() && share.home.back().first == upstream) {
            share.home.back().second += slots;
        } else {
            share.home.emplace_back(upstream, slots);
        }
    };
    const auto overlap = [](double first, double last, double from, double to) {
        return std::min(last, to) - std::max(first, from);
    };
    const double restFirst = lackBefore + own.first * ownLack;
    const double restLast = lackBefore + own.last * ownLack;
    double restPosition = 0;
    for (std::size_t index = 0; index < cached.order.size(); ++index) {
        const auto &[zone, upstreams] = cached.order[index];
        const zone_interval interval = intervalOf(zone);
        const double usedHere = std::min(zoneSlots[index], interval.demand * share.serviceSlots);
        double position = 0;
        for (const upstream_index upstream : upstreams) {
            if (!isUsable(upstream)) {
                continue;
            }
            const double next = position + m_directory.at(upstream).entry.slots;
            addPart(upstream,
                    overlap(interval.first * usedHere, interval.last * usedHere, position, next));
            // The rest of the zone begins where its own hosts' part ends.
            const double restBegin = restPosition + std::max(position, usedHere) - usedHere;
            const double restEnd = restPosition + std::max(next, usedHere) - usedHere;
            addPart(upstream, overlap(restFirst, restLast, restBegin, restEnd));
            position = next;
        }
        restPosition += zoneSlots[index] - usedHere;
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
