#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/core/span.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/view/fleet_records.h"

namespace figstair {

/// Index of an upstream in the directory; reused after the upstream is forgotten.
using upstream_index = std::uint32_t;
constexpr upstream_index noUpstream = std::numeric_limits<upstream_index>::max();

/// An upstream and its last entry in the store.
struct known_upstream
{
    upstream_record entry;
    std::uint32_t tag = 0; ///< see upstreamTag()
    std::uint16_t zone = 0; ///< see upstream_directory::zoneNumber()
    std::uint64_t revision = 0;
    std::uint64_t keyHash = 0; ///< of the record with the entry, see record_change
    bool isListed = false; ///< listed or lapsing
    /// Another known id had the same tag, so new flows would be ambiguous: none are placed. Stays
    /// set after the other id is forgotten.
    bool isTagShared = false;
    monotonic_time coldUntil{};
    monotonic_time unlistedAt{};
    bool isLapsing = false;
    /// Unlisted by an outage of the store, which does not mean that it stopped.
    bool hasLapsed = false;
    /// The store removed its entry, and not in an outage. An entry that cannot be read shows
    /// nothing about the upstream.
    bool wasRemoved = false;
    /// The last change is from before the store was restored from an older copy.
    bool isFromEarlierEpoch = false;
};

/// A change of an evacuation_mark that is due.
struct mark_task
{
    std::string zone;
    bool isRemoval = false;
};

/// Every upstream that packets may go to. The states of an upstream:
/// - listed: has a readable entry in the store;
/// - lapsing: its entry was removed during the grace period of keepLapsedUntil(); used as if listed
///   until that period ends, and unlisted then;
/// - unlisted: has no readable entry; takes no new flows, but packets of its flows are forwarded;
/// - forgotten: was unlisted for a fixed time, the flow lifetime, whether its flows have ended or
///   not; its tag is no longer found and its index is free.
/// An upstream is known in each state but the last.
class upstream_directory
{
public:
    /// @p flowLifetime: how long unlisted upstreams stay known, to forward packets of their flows.
    explicit upstream_directory(milliseconds flowLifetime);

    /// How long a zone's listed upstreams count as cold after the end of its evacuation, however
    /// this directory learns of it. Initially 0.
    void setReturnColdTime(milliseconds time) { m_returnColdTime = time; }

    /// Applies a change of the store's records; ignores one that is older than the known record,
    /// and one of another record with the id of a listed upstream.
    void apply(const record_change &change, monotonic_time now);

    /// The store was restored from an older copy, and a listing of it follows. Forgets the
    /// revisions of the known records, but keeps the records: until @p deferralEnd, an entry that
    /// its upstream replaced after the copy is ignored, and so is one that was removed after the
    /// copy, which is applied then if it has not changed. Evacuations that the copy lacks stay in
    /// force until the end of keepLapsedUntil().
    void onStoreRestored(monotonic_time deferralEnd);

    /// Treats the entries of upstreams and the evacuation marks that a full @p listing of the store
    /// at @p revision lacks as removed, and ends the evacuations that it lacks, unless they changed
    /// after it. The marks of the listing have to be applied after this.
    void retain(boost::span<const record_change> listing, std::uint64_t revision,
                monotonic_time now);

    /// Sets the end of the grace period. Listed upstreams whose entries are removed before it are
    /// lapsing until then, unless they drain: entries that expired during an outage of the store
    /// return after it.
    void keepLapsedUntil(monotonic_time until) { m_lapseGraceEnd = until; }

    /// Appends the changes that bring another directory to this state.
    void appendSnapshot(monotonic_time now, std::vector<record_change> &records) const;

    /// Unlists lapsing upstreams once the grace period is over, and forgets upstreams that have
    /// been unlisted for the flow lifetime.
    void advance(monotonic_time now);

    /// Index of the upstream that @p tag names, or noUpstream.
    upstream_index findTag(std::uint32_t tag) const;

    const known_upstream &at(upstream_index index) const { return m_upstreams[index]; }
    /// Number of indexes, including the free ones of forgotten upstreams.
    std::size_t size() const { return m_upstreams.size(); }

    /// Upstreams of @p service in @p zone that new flows may go to, cold ones included. Valid until
    /// the directory changes.
    boost::span<const upstream_index> candidates(const std::string &service, std::uint16_t zone);

    /// Whether @p upstream is one of the candidates() of @p service.
    bool isCandidate(upstream_index upstream, const std::string &service) const;

    /// Changes whenever candidates() may have changed.
    std::uint64_t generation() const { return m_generation; }

    /// Number of @p zone, assigned at first use.
    std::uint16_t zoneNumber(const std::string &zone);
    std::size_t zoneCount() const { return m_zoneNames.size(); }
    const std::string &zoneName(std::uint16_t zone) const { return m_zoneNames[zone]; }
    bool isEvacuated(std::uint16_t zone) const;

    /// A zone that is evacuated and has no evacuation_mark of this evacuation, or one whose mark
    /// has stood long enough after the zone was taken back; if any.
    std::optional<mark_task> dueMark(monotonic_time now) const;

private:
    struct evacuation
    {
        monotonic_time endedAt{}; ///< or when a mark showed an end that was not seen
        std::uint64_t markRevision = 0; ///< last change of the evacuation_mark
        bool isMarked = false;
        std::uint64_t revision = 0;
        bool isInForce = false;
        bool isLapsing = false; ///< in force until the grace period ends
        bool isFromEarlierEpoch = false; ///< see known_upstream
    };
    /// Upstreams by zone number.
    using zone_lists = std::vector<std::vector<upstream_index>>;

    void applyUpstream(const record_change &change, monotonic_time now);
    void applyEvacuation(const record_change &change, monotonic_time now);
    void applyMark(const record_change &change, monotonic_time now);
    void endEvacuation(const std::string &name, evacuation &zone, monotonic_time now);
    upstream_index add(std::uint64_t id);
    bool isOutdated(const known_upstream &upstream, const upstream_record &entry,
                    monotonic_time now) const;
    void applyDeferred(monotonic_time now);
    void endLapsing(monotonic_time now);
    void forgetUnlisted(monotonic_time now);
    void unlist(known_upstream &upstream, monotonic_time now);
    void remove(known_upstream &upstream, monotonic_time now);
    bool takesNewFlows(const known_upstream &upstream) const;
    void rebuildCandidates();
    void invalidateCandidates();

    milliseconds m_flowLifetime;
    milliseconds m_returnColdTime{0};
    std::vector<known_upstream> m_upstreams;
    std::vector<upstream_index> m_freeIndexes;
    std::unordered_map<std::uint64_t, upstream_index> m_byId;
    boost::unordered_flat_map<std::uint32_t, upstream_index> m_byTag;
    std::vector<std::string> m_zoneNames;
    std::unordered_map<std::string, evacuation> m_evacuations;
    std::unordered_map<std::string, zone_lists> m_candidates; ///< by service
    monotonic_time m_lapseGraceEnd{};
    bool m_hasLapsing = false;
    /// Changes to removed upstreams that a restored store may have from before the removal.
    std::vector<record_change> m_deferred;
    monotonic_time m_deferralEnd{};
    monotonic_time m_nextSweepAt{};
    std::uint64_t m_generation = 1; ///< incremented when the candidates may have changed
    std::uint64_t m_builtGeneration = 0; ///< for which m_candidates was built
};

/// The tag that names upstream @p id in the packets of its flows; never 0.
std::uint32_t upstreamTag(std::uint64_t id);

} // namespace figstair
