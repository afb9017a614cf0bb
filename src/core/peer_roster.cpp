#include "figstair/core/peer_roster.h"

#include <algorithm>
#include <unordered_set>

#include "figstair/core/rendezvous.h"

namespace figstair {
namespace {

/// A host that was silent for this long does not take part: four of the intervals in which hosts
/// report to each other, so that two lost messages in a row do not matter.
constexpr milliseconds silenceLimit{450};

/// How long a host that the store does not name is remembered after it was heard last.
constexpr milliseconds memoryTime{10000};

} // namespace

peer_roster::peer_roster(host_record self)
    : m_self(std::move(self))
{
}

void peer_roster::apply(const record_change &change)
{
    if (change.kind != record_kind::host || change.name == m_self.name) {
        return;
    }
    if (const auto *entry = std::get_if<host_record>(&change.content)) {
        peer &known = m_peers[entry->name];
        known.isListed = true;
        if (entry->incarnation >= known.entry.incarnation) {
            known.entry = *entry;
        }
        return;
    }
    const auto found = m_peers.find(change.name);
    if (found != m_peers.end()) {
        found->second.isListed = false;
    }
}

void peer_roster::retain(const std::vector<record_change> &listing)
{
    std::unordered_set<std::string> named;
    for (const record_change &change : listing) {
        if (change.kind == record_kind::host) {
            named.insert(change.name);
        }
    }
    for (auto &[name, known] : m_peers) {
        known.isListed = known.isListed && named.count(name) != 0;
    }
}

bool peer_roster::onHeard(const host_record &host, bool isLeaving, monotonic_time now)
{
    if (host.name == m_self.name) {
        return false;
    }
    peer &known = m_peers[host.name];
    if (host.incarnation < known.entry.incarnation) {
        return false;
    }
    if (!known.wasAlive || known.entry.incarnation != host.incarnation
        || known.isLeaving != isLeaving) {
        m_changedAt = now;
    }
    known.wasAlive = true;
    known.entry = host;
    known.heardAt = now;
    known.isLeaving = isLeaving;
    return true;
}

void peer_roster::advance(monotonic_time now)
{
    for (auto item = m_peers.begin(); item != m_peers.end();) {
        if (item->second.wasAlive && !isAlive(item->second, now)) {
            item->second.wasAlive = false;
            m_changedAt = now;
        }
        const bool isForgotten = !item->second.isListed && now - item->second.heardAt > memoryTime;
        item = isForgotten ? m_peers.erase(item) : std::next(item);
    }
}

bool peer_roster::isAlive(const peer &other, monotonic_time now) const
{
    return other.heardAt != monotonic_time{} && now - other.heardAt <= silenceLimit;
}

bool peer_roster::isZoneReached(const std::string &zone, monotonic_time now) const
{
    if (zone == m_self.zone) {
        return true;
    }
    bool wasHeard = false;
    for (const auto &[name, other] : m_peers) {
        if (other.entry.zone != zone || other.heardAt == monotonic_time{}) {
            continue;
        }
        wasHeard = true;
        if (isAlive(other, now)) {
            return true;
        }
    }
    return !wasHeard;
}

const std::string &peer_roster::ownerOf(std::uint64_t key, const std::string &zone,
                                        monotonic_time now) const
{
    const host_record *best = &m_self;
    bool bestIsLocal = m_self.zone == zone;
    std::uint64_t bestScore = rendezvousScore(key, m_self.name);
    for (const auto &[name, other] : m_peers) {
        if (!isAlive(other, now) || other.isLeaving) {
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

unsigned peer_roster::rankOf(std::uint64_t key, monotonic_time now) const
{
    const std::uint64_t own = rendezvousScore(key, m_self.name);
    unsigned rank = 0;
    for (const auto &[name, other] : m_peers) {
        if (isAlive(other, now) && !other.isLeaving && rendezvousScore(key, name) > own) {
            ++rank;
        }
    }
    return rank;
}

} // namespace figstair
