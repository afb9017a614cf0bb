#include "figstair/core/gate/gate_map.h"

#include <vector>

#include "figstair/core/rendezvous.h"

namespace figstair {

gate_map::gate_map(const membership &members, const table &current)
    : m_members(members)
    , m_table(current)
{
}

const member *gate_map::gateOf(const upstream_entry &upstream) const
{
    const std::uint64_t zoneVersion = m_members.eligibleVersion(m_table.zoneName(upstream.zone));
    const std::uint64_t version = zoneVersion != 0 ? zoneVersion : m_members.version();
    cached_gate &cached = m_cache[upstream.id];
    if (!cached.isValid || cached.membersVersion != version
        || cached.tableRevision != m_table.revision()) {
        cached.gate = chooseGate(upstream);
        cached.membersVersion = version;
        cached.tableRevision = m_table.revision();
        cached.isValid = true;
    }
    return cached.gate;
}

const member *gate_map::chooseGate(const upstream_entry &upstream) const
{
    const member *gate = bestHostIn(m_table.zoneName(upstream.zone), upstream.id);
    if (gate != nullptr) {
        return gate;
    }
    std::uint64_t bestScore = 0;
    for (const std::string &zone : m_members.eligibleZones()) {
        const std::uint64_t score = rendezvousScore(upstream.id, zone);
        const member *candidate = score >= bestScore ? bestHostIn(zone, upstream.id) : nullptr;
        if (candidate != nullptr) {
            gate = candidate;
            bestScore = score;
        }
    }
    return gate;
}

const member *gate_map::bestHostIn(const std::string &zone, std::uint32_t upstreamId) const
{
    const member *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const member *host : m_members.eligible(zone)) {
        const std::uint64_t score = rendezvousScore(upstreamId, host->name);
        if ((best == nullptr || score > bestScore) && m_table.isHostIn(host->name)) {
            best = host;
            bestScore = score;
        }
    }
    return best;
}

} // namespace figstair
