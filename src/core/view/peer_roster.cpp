#include "figstair/core/view/peer_roster.h"

#include <algorithm>
#include <unordered_set>

#include "figstair/core/rendezvous.h"

namespace figstair {
namespace {

/// With up to this many other hosts, each host reports to all: 20 messages in 100 ms each way.
constexpr std::size_t maxFullMeshPeers = 20;

/// Interval between reports in a full mesh. Bounds the age of the loads that placement uses.
constexpr milliseconds fullMeshInterval{100};

/// Interval between reports in a large fleet, and how many hosts of the own zone and of other zones
/// each report goes to, in rotation: a weak host can handle about 50 messages a second each way.
constexpr milliseconds largeFleetInterval{150};
constexpr std::size_t sameZoneTargets = 6;
constexpr std::size_t otherZoneTargets = 1;

/// A host counts as dead after this many report cycles without a message, but not before
/// minSilenceTimeout, so that a few lost messages in a row do not matter.
constexpr int missedReportLimit = 4;
constexpr milliseconds minSilenceTimeout{450};

/// In a large fleet, a zone counts as silent after this time without a message from its hosts, or
/// after missedReportLimit mean times between their reports if those come more rarely.
constexpr milliseconds zoneSilenceTimeout{700};

/// How long a host that the store does not list stays known after its last message.
constexpr milliseconds unlistedPeerLifetime{10000};

/// Owners are recomputed after this time, so silent hosts are noticed as often.
constexpr milliseconds ownerCacheLifetime{100};

/// The window of the limits of cold upstreams, and the longest time between two reports of a live
/// host in a full mesh.
constexpr milliseconds allowanceHandoverTime = milliseconds(1000) + fullMeshInterval;

/// Class of a CPU limit by powers of two; hosts of one class rank as equal.
unsigned cpuClass(unsigned cpuMillicores)
{
    unsigned exponent = 0;
    while (cpuMillicores > 1) {
        cpuMillicores /= 2;
        ++exponent;
    }
    return exponent;
}

} // namespace

peer_roster::peer_roster(host_record self)
    : m_self(std::move(self))
{
}

void peer_roster::apply(const record_change &change, monotonic_time now)
{
    if (change.kind != record_kind::host || change.name == m_self.name) {
        return;
    }
    if (const auto *entry = std::get_if<host_record>(&change.content)) {
        const auto [position, isNew] = m_peers.try_emplace(entry->name);
        peer &known = position->second;
        known.listedSince = isNew ? now : known.listedSince;
        known.isListed = true;
        known.isRemoved = false;
        // The store's order decides, not the incarnation, which comes from the host's clock.
        known.entry = *entry;
        updateExpectation(known);
        updateSameZoneCount();
        return;
    }
    const auto found = m_peers.find(change.name);
    if (found != m_peers.end()) {
        found->second.isListed = false;
        found->second.isRemoved = std::holds_alternative<record_change::removed>(change.content);
        updateExpectation(found->second);
    }
}

void peer_roster::retain(const std::vector<record_change> &listing)
{
    std::unordered_set<std::string> listedNames;
    for (const record_change &change : listing) {
        if (change.kind == record_kind::host) {
            listedNames.insert(change.name);
        }
    }
    for (auto &[name, known] : m_peers) {
        if (known.isListed && listedNames.count(name) == 0) {
            known.isListed = false;
            known.isRemoved = true;
            updateExpectation(known);
        }
    }
}

void peer_roster::appendSnapshot(std::vector<record_change> &records) const
{
    const auto append = [&](const host_record &host) {
        record_change change;
        change.kind = record_kind::host;
        change.name = host.name;
        change.content = host;
        records.push_back(std::move(change));
    };
    append(m_self);
    for (const auto &[name, other] : m_peers) {
        if (other.isListed) {
            append(other.entry);
        }
    }
}

bool peer_roster::onHostMessage(const host_record &host, bool isLeaving, monotonic_time now)
{
    if (host.name == m_self.name) {
        return false;
    }
    const auto [position, isNew] = m_peers.try_emplace(host.name);
    peer &known = position->second;
    if (host.incarnation < known.entry.incarnation && isAlive(known, now)) {
        return false; // late message from an earlier incarnation
    }
    if (!known.wasAlive || known.entry.incarnation != host.incarnation
        || known.isLeaving != isLeaving) {
        noteChange(host.zone, now);
    }
    known.wasAlive = true;
    known.entry = host;
    known.lastHeardAt = now;
    m_zones[host.zone].lastHeardAt = now;
    known.isLeaving = isLeaving;
    known.isRemoved = false;
    updateExpectation(known);
    if (isNew) {
        updateSameZoneCount();
    }
    return true;
}

void peer_roster::setNewFlowsPerSecond(const std::string &name, double rate)
{
    const auto found = m_peers.find(name);
    if (found != m_peers.end()) {
        found->second.newFlowsPerSecond = rate;
    }
}

void peer_roster::advance(monotonic_time now)
{
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        if (item->second.wasAlive && !isAlive(item->second, now)) {
            item->second.wasAlive = false;
            noteChange(item->second.entry.zone, now);
        }
        const bool isForgotten =
            !item->second.isListed && now - item->second.lastHeardAt > unlistedPeerLifetime;
        if (isForgotten) {
            stopExpecting(item->second);
        }
        item = isForgotten ? m_peers.erase(item) : std::next(item);
    }
    updateSameZoneCount();
}

bool peer_roster::isAlive(const peer &other, monotonic_time now) const
{
    const bool isLocal = other.entry.zone == m_self.zone;
    const milliseconds limit =
        std::max(minSilenceTimeout, reportCycle(isLocal) * missedReportLimit);
    return other.lastHeardAt != monotonic_time{} && now - other.lastHeardAt <= limit;
}

bool peer_roster::isPresumedAlive(const peer &other, monotonic_time now) const
{
    const bool isUnheard =
        isLargeFleet() && other.lastHeardAt == monotonic_time{} && other.isListed;
    return isAlive(other, now)
        || (isUnheard && now - other.listedSince <= reportCycle(true) * missedReportLimit);
}

bool peer_roster::isLargeFleet() const
{
    return m_peers.size() > maxFullMeshPeers;
}

void peer_roster::noteChange(const std::string &zone, monotonic_time now)
{
    m_ownerCache.clear();
    m_allowanceOwnerCache.clear();
    // The routers send packets to the hosts of the caller's zone, and to those of the nearest zones
    // while it has none.
    const bool hasLiveHost = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        return item.second.entry.zone == zone && item.second.wasAlive;
    });
    if (zone == m_self.zone || !hasLiveHost) {
        m_changedAt = now;
    }
}

void peer_roster::updateSameZoneCount()
{
    m_sameZoneCount = static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(),
                      [this](const auto &item) { return item.second.entry.zone == m_self.zone; }));
}

milliseconds peer_roster::reportInterval() const
{
    return isLargeFleet() ? largeFleetInterval : fullMeshInterval;
}

milliseconds peer_roster::reportCycle(bool isLocal) const
{
    if (!isLargeFleet()) {
        return fullMeshInterval;
    }
    const std::size_t hosts = isLocal ? m_sameZoneCount : m_peers.size() - m_sameZoneCount;
    const std::size_t targets = isLocal ? sameZoneTargets : otherZoneTargets;
    return largeFleetInterval
        * static_cast<std::int64_t>(std::max<std::size_t>(1, (hosts + targets - 1) / targets));
}

std::vector<endpoint> peer_roster::addresses(bool areLocal) const
{
    std::vector<endpoint> list;
    for (const auto &[name, other] : m_peers) {
        if ((other.entry.zone == m_self.zone) == areLocal) {
            list.push_back(other.entry.peerAddress);
        }
    }
    return list;
}

std::vector<endpoint> peer_roster::reportTargets(std::uint64_t sequence) const
{
    std::vector<endpoint> targets = addresses(true);
    std::vector<endpoint> others = addresses(false);
    if (!isLargeFleet()) {
        targets.insert(targets.end(), others.begin(), others.end());
        return targets;
    }
    // Each host starts at its own offset, so that not all report to the same hosts at once.
    const auto selectInTurn = [&](std::vector<endpoint> &list, std::size_t count) {
        if (list.size() > count) {
            const std::uint64_t first = rendezvousScore(0, m_self.name) + sequence * count;
            std::rotate(list.begin(),
                        list.begin() + static_cast<std::ptrdiff_t>(first % list.size()),
                        list.end());
            list.resize(count);
        }
    };
    selectInTurn(targets, sameZoneTargets);
    selectInTurn(others, otherZoneTargets);
    targets.insert(targets.end(), others.begin(), others.end());
    return targets;
}

std::vector<endpoint> peer_roster::relayTargets() const
{
    std::vector<endpoint> targets = addresses(true);
    if (!isLargeFleet()) {
        const std::vector<endpoint> others = addresses(false);
        targets.insert(targets.end(), others.begin(), others.end());
    }
    return targets;
}

bool peer_roster::isZoneReachable(const std::string &zone, monotonic_time now) const
{
    if (zone == m_self.zone) {
        return true;
    }
    const auto found = m_zones.find(zone);
    if (found == m_zones.end() || found->second.lastHeardAt == monotonic_time{}
        || found->second.expectedHosts == 0) {
        return true;
    }
    const zone_state &state = found->second;
    return now - std::max(state.lastHeardAt, state.lastAnsweredAt)
        <= silenceLimitOf(state.expectedHosts);
}

milliseconds peer_roster::silenceLimitOf(std::size_t expectedHosts) const
{
    if (!isLargeFleet()) {
        return minSilenceTimeout;
    }
    // Each host sends one report per interval to the hosts of all other zones, in turn.
    const std::size_t receivers = m_peers.size() + 1 - expectedHosts;
    const milliseconds meanInterval =
        largeFleetInterval * static_cast<std::int64_t>(receivers / expectedHosts);
    return meanInterval <= zoneSilenceTimeout ? zoneSilenceTimeout
                                              : meanInterval * missedReportLimit;
}

void peer_roster::onZoneAnswered(const std::string &zone, monotonic_time when)
{
    monotonic_time &last = m_zones[zone].lastAnsweredAt;
    last = std::max(last, when);
}

void peer_roster::updateExpectation(peer &known)
{
    stopExpecting(known);
    if (isExpected(known)) {
        known.countedInZone = known.entry.zone;
        ++m_zones[known.countedInZone].expectedHosts;
    }
}

void peer_roster::stopExpecting(peer &known)
{
    if (!known.countedInZone.empty()) {
        --m_zones[known.countedInZone].expectedHosts;
        known.countedInZone.clear();
    }
}

peer_roster::zone_contact peer_roster::contactWith(const std::string &zone) const
{
    zone_contact contact;
    contact.hosts = static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &item) {
            return item.second.entry.zone == zone && isExpected(item.second);
        }));
    const auto found = m_zones.find(zone);
    if (found != m_zones.end() && found->second.lastHeardAt >= m_resumedAt) {
        contact.lastHeardAt = found->second.lastHeardAt;
    }
    return contact;
}

void peer_roster::expireOwnerCaches(monotonic_time now) const
{
    if (now - m_ownerCachesClearedAt >= ownerCacheLifetime) {
        m_ownerCache.clear();
        m_allowanceOwnerCache.clear();
        m_ownerCachesClearedAt = now;
    }
}

const std::string &peer_roster::ownerOf(std::uint64_t key, const std::string &zone,
                                        monotonic_time now) const
{
    expireOwnerCaches(now);
    const auto [position, isNew] = m_ownerCache.try_emplace(key);
    if (isNew) {
        position->second =
            findOwner(key, zone, [&](const peer &other) { return isAlive(other, now); });
    }
    return position->second;
}

template <typename predicate>
const std::string &peer_roster::findOwner(std::uint64_t key, const std::string &zone,
                                          predicate counts) const
{
    const host_record *best = &m_self;
    bool bestIsLocal = m_self.zone == zone;
    std::uint64_t bestScore = rendezvousScore(key, m_self.name);
    for (const auto &[name, other] : m_peers) {
        if (!counts(other) || other.isLeaving) {
            continue;
        }
        const bool isLocal = other.entry.zone == zone;
        const std::uint64_t score = rendezvousScore(key, name);
        if (isLocal != bestIsLocal ? isLocal : score > bestScore) {
            best = &other.entry;
            bestIsLocal = isLocal;
            bestScore = score;
        }
    }
    return best->name;
}

bool peer_roster::owns(std::uint64_t key, const std::string &zone, monotonic_time now) const
{
    return ownerOf(key, zone, now) == m_self.name;
}

bool peer_roster::mayUseAllowance(const peer &other, monotonic_time now) const
{
    if (isAlive(other, now)) {
        return true;
    }
    const bool wasHeard = other.lastHeardAt != monotonic_time{};
    if (wasHeard) {
        return now - other.lastHeardAt <= allowanceHandoverTime;
    }
    const bool isLocal = other.entry.zone == m_self.zone;
    return other.isListed
        && now - other.listedSince
        <= std::max(allowanceHandoverTime, reportCycle(isLocal) * missedReportLimit);
}

bool peer_roster::ownsAllowance(std::uint64_t key, const std::string &zone,
                                monotonic_time now) const
{
    if (now - m_resumedAt < allowanceHandoverTime) {
        return false;
    }
    expireOwnerCaches(now);
    const auto [position, isNew] = m_allowanceOwnerCache.try_emplace(key);
    if (isNew) {
        position->second =
            findOwner(key, zone, [&](const peer &other) { return mayUseAllowance(other, now); });
    }
    return position->second == m_self.name;
}

unsigned peer_roster::rankOf(std::uint64_t key, monotonic_time now) const
{
    const bool isRankedInZone = isLargeFleet();
    const auto own =
        std::make_pair(cpuClass(m_self.cpuMillicores), rendezvousScore(key, m_self.name));
    unsigned rank = 0;
    for (const auto &[name, other] : m_peers) {
        const bool counts = isPresumedAlive(other, now) && !other.isLeaving
            && (!isRankedInZone || other.entry.zone == m_self.zone);
        if (counts
            && std::make_pair(cpuClass(other.entry.cpuMillicores), rendezvousScore(key, name))
                > own) {
            ++rank;
        }
    }
    return rank;
}

} // namespace figstair
