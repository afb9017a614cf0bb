#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/core/span.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/fleet_records.h"

namespace figstair {

/// Position of an upstream in the directory; stable while the process lives.
using upstream_index = std::uint32_t;
constexpr upstream_index noUpstream = std::numeric_limits<upstream_index>::max();

/// One upstream as the store described it last.
struct known_upstream
{
    upstream_record entry;
    std::uint32_t tag = 0; ///< what callers echo to name it; never 0
    std::uint16_t zone = 0; ///< number of its zone
    std::uint64_t revision = 0;
    bool isListed = false; ///< it has a readable entry, or is kept until its lapse is certain
    bool isTagShared = false; ///< another known id has the same tag: new flows would be ambiguous
    monotonic_time coldUntil{};
    monotonic_time unlistedAt{};
    bool isLapsing = false; ///< its entry is gone, but may come back
};

/// Every upstream that a flow may go to. Upstreams that left stay known for as long as flows live.
class upstream_directory
{
public:
    /// @p flowLifetime: how long upstreams that left are kept for packets of their flows.
    explicit upstream_directory(milliseconds flowLifetime);

    /// Records what the store says. Changes older than what is known are ignored. @p
    /// returnColdTime: how long upstreams of a zone that is taken back count as cold.
    void apply(const record_change &change, monotonic_time now, milliseconds returnColdTime);

    /// Removes those not named by a full listing at @p revision.
    void retain(boost::span<const record_change> listing, std::uint64_t revision,
                monotonic_time now);

    /// Upstreams whose entries go before @p until may be used until then: entries that lapsed
    /// during an outage of the store return after it.
    void keepLapsedUntil(monotonic_time until) { m_lapseGraceEnd = until; }

    /// Adds what would bring another directory to this state.
    void appendSnapshot(monotonic_time now, std::vector<record_change> &records) const;

    /// Ends pending lapses and forgets upstreams whose flows have ended.
    void advance(monotonic_time now);

    /// The upstream that @p tag names, or noUpstream.
    upstream_index findTag(std::uint32_t tag) const;

    const known_upstream &at(upstream_index index) const { return m_upstreams[index]; }
    std::size_t size() const { return m_upstreams.size(); }

    /// Upstreams of @p service in @p zone that new flows may go to, cold ones included.
    boost::span<const upstream_index> candidates(const std::string &service, std::uint16_t zone);

    /// Number of @p zone; assigned at first use.
    std::uint16_t zoneNumber(const std::string &zone);
    std::size_t zoneCount() const { return m_zoneNames.size(); }
    const std::string &zoneName(std::uint16_t zone) const { return m_zoneNames[zone]; }
    bool isEvacuated(std::uint16_t zone) const;

private:
    struct evacuation
    {
        std::uint64_t revision = 0;
        bool isInForce = false;
    };
    using zone_lists = std::vector<std::vector<upstream_index>>;

    void applyUpstream(const record_change &change, monotonic_time now);
    void applyEvacuation(const record_change &change, monotonic_time now,
                         milliseconds returnColdTime);
    upstream_index add(std::uint64_t id);
    void unlist(known_upstream &upstream, monotonic_time now);
    void remove(known_upstream &upstream, monotonic_time now);
    void rebuildCandidates();
    void invalidateCandidates();

    milliseconds m_flowLifetime;
    std::vector<known_upstream> m_upstreams;
    std::vector<upstream_index> m_freeIndexes;
    std::unordered_map<std::uint64_t, upstream_index> m_byId;
    boost::unordered_flat_map<std::uint32_t, upstream_index> m_byTag;
    std::vector<std::string> m_zoneNames;
    std::unordered_map<std::string, evacuation> m_evacuations;
    std::unordered_map<std::string, zone_lists> m_candidates;
    monotonic_time m_lapseGraceEnd{};
    bool m_hasLapsing = false;
    monotonic_time m_nextSweepAt{};
    std::uint64_t m_generation = 1; ///< counts up whenever the candidates may have changed
    std::uint64_t m_builtGeneration = 0;
};

/// The tag that names upstream @p id in the packets of its flows.
std::uint32_t upstreamTag(std::uint64_t id);

} // namespace figstair
