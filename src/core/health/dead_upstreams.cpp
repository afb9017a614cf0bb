#include "figstair/core/health/dead_upstreams.h"

#include <algorithm>

namespace figstair {
namespace {

/// Hosts that have to agree before all flows of an upstream are reset. Two hosts may share a broken
/// link to it.
constexpr std::size_t minObservers = 3;

/// Time within which they have to see it, and the least time from the first observation: longer
/// than a report of an answer through another host of the zone takes in a small fleet, and than a
/// packet is held up by a change of routing.
constexpr milliseconds agreementWindow{2000};
constexpr milliseconds minEvidenceTime{400};

/// Unacknowledged packets, without an answer in between, that confirm the loss of one more. The
/// network loses one now and then, and an upstream with few requests may lose two in a row.
constexpr unsigned minPackets = 3;

/// What hosts saw counts this long towards them. In a large fleet each host of a zone hears the
/// others about once a second.
constexpr milliseconds peerEvidenceLifetime{1500};

/// Evidence is forgotten after this time, unless the upstream counts as dead. No caller repeats a
/// request that long after the last acknowledgement.
constexpr milliseconds evidenceLifetime{10000};

/// Unacknowledged packets that this host notes within this time count as one: the same burst of
/// losses may have hit them.
constexpr milliseconds minPacketInterval{100};

/// Upstreams with evidence that are kept: those of a zone of the target size.
constexpr std::size_t maxRecords = 4096;

} // namespace

dead_upstreams::record *dead_upstreams::recordFor(upstream_index upstream)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end()) {
        return &found->second;
    }
    return m_records.size() < maxRecords ? &m_records[upstream] : nullptr;
}

dead_upstreams::observation *dead_upstreams::noteUnacknowledged(upstream_index upstream,
                                                                std::uint64_t observer,
                                                                monotonic_time now)
{
    record *item = recordFor(upstream);
    if (item == nullptr) {
        return nullptr;
    }
    auto &observations = item->observations;
    auto found =
        std::find_if(observations.begin(), observations.end(), [&](const observation &seen) {
            return seen.firstAt != monotonic_time{} && seen.observer == observer;
        });
    if (found == observations.end()) {
        found = std::min_element(
            observations.begin(), observations.end(),
            [](const observation &a, const observation &b) { return a.lastAt < b.lastAt; });
        *found = observation{observer, now, now, now, 1};
    } else {
        found->lastAt = std::max(found->lastAt, now);
    }
    return &*found;
}

void dead_upstreams::onUnacknowledged(upstream_index upstream, std::uint64_t observer,
                                      monotonic_time now)
{
    noteUnacknowledged(upstream, observer, now);
}

void dead_upstreams::onUnacknowledgedHere(upstream_index upstream, std::uint64_t self,
                                          monotonic_time sentAt, monotonic_time now)
{
    const auto found = m_records.find(upstream);
    monotonic_time previous{};
    if (found != m_records.end()) {
        for (const observation &seen : found->second.observations) {
            previous = seen.observer == self ? seen.lastAt : previous;
        }
    }
    observation *seen = noteUnacknowledged(upstream, self, now);
    if (seen != nullptr) {
        seen->sentAt = sentAt;
    }
    if (seen != nullptr && previous != monotonic_time{} && now - previous >= minPacketInterval) {
        ++seen->packets;
    }
}

void dead_upstreams::onAnswered(upstream_index upstream, monotonic_time when)
{
    if (m_records.empty()) {
        return;
    }
    const auto found = m_records.find(upstream);
    if (found == m_records.end()) {
        return;
    }
    record &item = found->second;
    // Reports of answers may arrive after the evidence of what came later, which then remains.
    // Whether the upstream is dead is judged again by this rest.
    item.isDead = false;
    bool isEvidenceLeft = false;
    for (observation &seen : item.observations) {
        if (seen.sentAt <= when) {
            seen = observation{};
        } else {
            seen.firstAt = std::max(seen.firstAt, when);
            seen.packets = 1;
            isEvidenceLeft = true;
        }
    }
    if (!isEvidenceLeft) {
        m_records.erase(found);
    }
}

bool dead_upstreams::isConclusive(const record &item, monotonic_time now)
{
    std::size_t agreeing = 0;
    monotonic_time firstAt = now;
    for (const observation &seen : item.observations) {
        if (seen.firstAt != monotonic_time{} && now - seen.lastAt <= agreementWindow) {
            ++agreeing;
            firstAt = std::min(firstAt, seen.firstAt);
        }
    }
    return agreeing >= minObservers && now - firstAt >= minEvidenceTime;
}

std::vector<upstream_index> dead_upstreams::advance(monotonic_time now)
{
    std::vector<upstream_index> died;
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        record &item = entry->second;
        if (!item.isDead && isConclusive(item, now)) {
            item.isDead = true;
            died.push_back(entry->first);
        }
        monotonic_time lastAt{};
        for (const observation &seen : item.observations) {
            lastAt = std::max(lastAt, seen.lastAt);
        }
        const bool isOutdated = !item.isDead && now - lastAt > evidenceLifetime;
        entry = isOutdated ? m_records.erase(entry) : std::next(entry);
    }
    return died;
}

bool dead_upstreams::isConfirmedByPeers(upstream_index upstream, std::uint64_t self,
                                        monotonic_time now) const
{
    const auto found = m_records.find(upstream);
    if (found == m_records.end()) {
        return false;
    }
    unsigned packets = 0;
    bool isSeenByPeer = false;
    for (const observation &seen : found->second.observations) {
        if (seen.firstAt != monotonic_time{} && now - seen.lastAt <= peerEvidenceLifetime) {
            packets += seen.packets;
            isSeenByPeer = isSeenByPeer || seen.observer != self;
        }
    }
    return isSeenByPeer && packets >= minPackets;
}

bool dead_upstreams::hasUnacknowledged(upstream_index upstream) const
{
    const auto found = m_records.find(upstream);
    return found != m_records.end()
        && std::any_of(found->second.observations.begin(), found->second.observations.end(),
                       [](const observation &seen) { return seen.firstAt != monotonic_time{}; });
}

bool dead_upstreams::isDead(upstream_index upstream) const
{
    if (m_records.empty()) {
        return false;
    }
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.isDead;
}

void dead_upstreams::endVerdicts(monotonic_time before)
{
    for (auto &[upstream, item] : m_records) {
        item.isDead = item.isDead
            && std::any_of(item.observations.begin(), item.observations.end(),
                           [&](const observation &seen) { return seen.lastAt >= before; });
    }
}

std::vector<upstream_index> dead_upstreams::observedBy(std::uint64_t observer, monotonic_time since,
                                                       std::size_t maxCount) const
{
    std::vector<upstream_index> list;
    for (const auto &[upstream, item] : m_records) {
        const bool isSeen = std::any_of(item.observations.begin(), item.observations.end(),
                                        [&](const observation &seen) {
                                            return seen.firstAt != monotonic_time{}
                                            && seen.observer == observer && seen.lastAt >= since;
                                        });
        if (isSeen && list.size() < maxCount) {
            list.push_back(upstream);
        }
    }
    return list;
}

} // namespace figstair
