#include "figstair/core/view/upstream_directory.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

#include <xxhash.h>

namespace figstair {
namespace {

/// Added to the stated cold time, because the entry is some time old when it is read.
constexpr milliseconds coldMargin{100};

/// Interval between sweeps for unlisted upstreams to forget.
constexpr milliseconds sweepInterval{1000};

} // namespace

std::uint32_t upstreamTag(std::uint64_t id)
{
    const auto tag = static_cast<std::uint32_t>(XXH3_64bits(&id, sizeof id));
    return tag == 0 ? 1 : tag;
}

upstream_directory::upstream_directory(milliseconds flowLifetime)
    : m_flowLifetime(flowLifetime)
{
}

void upstream_directory::invalidateCandidates()
{
    ++m_generation;
}

std::uint16_t upstream_directory::zoneNumber(const std::string &zone)
{
    const auto found = std::find(m_zoneNames.begin(), m_zoneNames.end(), zone);
    if (found == m_zoneNames.end()) {
        m_zoneNames.push_back(zone);
        return static_cast<std::uint16_t>(m_zoneNames.size() - 1);
    }
    return static_cast<std::uint16_t>(found - m_zoneNames.begin());
}

bool upstream_directory::isEvacuated(std::uint16_t zone) const
{
    const auto found = m_evacuations.find(m_zoneNames[zone]);
    return found != m_evacuations.end() && found->second.isInForce;
}

upstream_index upstream_directory::findTag(std::uint32_t tag) const
{
    const auto found = m_byTag.find(tag);
    return found == m_byTag.end() ? noUpstream : found->second;
}

upstream_index upstream_directory::add(std::uint64_t id)
{
    upstream_index index = static_cast<upstream_index>(m_upstreams.size());
    if (m_freeIndexes.empty()) {
        m_upstreams.emplace_back();
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
        m_upstreams[index] = known_upstream{};
    }
    known_upstream &upstream = m_upstreams[index];
    upstream.entry.id = id;
    upstream.tag = upstreamTag(id);
    m_byId.emplace(id, index);
    const auto [existing, isNew] = m_byTag.emplace(upstream.tag, index);
    if (!isNew) {
        upstream.isTagShared = true;
        m_upstreams[existing->second].isTagShared = true;
    }
    return index;
}

void upstream_directory::apply(const record_change &change, monotonic_time now)
{
    if (change.kind == record_kind::upstream) {
        applyUpstream(change, now);
    } else if (change.kind == record_kind::evacuation) {
        applyEvacuation(change, now);
    } else if (change.kind == record_kind::evacuationMark) {
        applyMark(change, now);
    }
}

void upstream_directory::applyUpstream(const record_change &change, monotonic_time now)
{
    const std::uint64_t id = change.upstreamId;
    const auto *entry = std::get_if<upstream_record>(&change.content);
    auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        if (entry == nullptr) {
            return;
        }
        add(id);
        found = m_byId.find(id);
    }
    known_upstream &upstream = m_upstreams[found->second];
    const bool isOtherRecord =
        upstream.keyHash != 0 && change.keyHash != 0 && change.keyHash != upstream.keyHash;
    if (change.revision < upstream.revision || (isOtherRecord && upstream.isListed)) {
        return;
    }
    upstream.revision = change.revision;
    upstream.keyHash = change.keyHash != 0 ? change.keyHash : upstream.keyHash;
    upstream.isLapsing = false;
    if (entry != nullptr && isOutdated(upstream, *entry, now)) {
        if (!upstream.isListed) {
            m_deferred.push_back(change);
        }
        return;
    }
    upstream.isFromEarlierEpoch = false;
    invalidateCandidates();
    if (std::holds_alternative<record_change::removed>(change.content)) {
        remove(upstream, now);
        return;
    }
    if (entry == nullptr) {
        unlist(upstream, now);
        return;
    }
    upstream.entry = *entry;
    upstream.zone = zoneNumber(entry->zone);
    upstream.isListed = true;
    upstream.hasLapsed = false;
    upstream.wasRemoved = false;
    if (entry->coldFor > milliseconds::zero()) {
        upstream.coldUntil = std::max(upstream.coldUntil, now + entry->coldFor + coldMargin);
    }
}

void upstream_directory::applyEvacuation(const record_change &change, monotonic_time now)
{
    evacuation &zone = m_evacuations[change.name];
    if (change.revision < zone.revision) {
        return;
    }
    zone.revision = change.revision;
    zone.isLapsing = false;
    zone.isFromEarlierEpoch = false;
    // Any record under the zone's name requests its evacuation, even an unreadable one.
    const bool isInForce = !std::holds_alternative<record_change::removed>(change.content);
    if (zone.isInForce && !isInForce) {
        endEvacuation(change.name, zone, now);
    }
    zone.isInForce = isInForce;
    invalidateCandidates();
}

void upstream_directory::applyMark(const record_change &change, monotonic_time now)
{
    evacuation &zone = m_evacuations[change.name];
    if (change.revision <= zone.markRevision) {
        return;
    }
    zone.markRevision = change.revision;
    zone.isMarked = !std::holds_alternative<record_change::removed>(change.content);
    if (zone.isMarked && !zone.isInForce) {
        // The zone was evacuated and taken back, and this host may not have seen it.
        endEvacuation(change.name, zone, now);
    }
}

/// Counts the listed upstreams of the zone @p name as cold: some may have become cold, and their
/// entries do not say so yet.
void upstream_directory::endEvacuation(const std::string &name, evacuation &zone,
                                       monotonic_time now)
{
    zone.isInForce = false;
    zone.endedAt = now;
    const std::uint16_t number = zoneNumber(name);
    for (known_upstream &upstream : m_upstreams) {
        if (upstream.isListed && upstream.zone == number) {
            upstream.coldUntil = std::max(upstream.coldUntil, now + m_returnColdTime);
        }
    }
}

std::optional<mark_task> upstream_directory::dueMark(monotonic_time now) const
{
    for (const auto &[name, zone] : m_evacuations) {
        const bool hasCurrentMark = zone.isMarked && zone.markRevision >= zone.revision;
        if (zone.isInForce && !zone.isLapsing && !hasCurrentMark) {
            return mark_task{name, false};
        }
        if (zone.isMarked && !zone.isInForce && now - zone.endedAt >= m_returnColdTime) {
            return mark_task{name, true};
        }
    }
    return std::nullopt;
}

/// Whether @p entry, from a store that was just restored, may be older than what is known of
/// @p upstream: an earlier entry, or the last one of an upstream that was removed since.
bool upstream_directory::isOutdated(const known_upstream &upstream, const upstream_record &entry,
                                    monotonic_time now) const
{
    if (!upstream.isFromEarlierEpoch || now >= m_deferralEnd) {
        return false;
    }
    const auto restored = std::tie(entry.startedAtMs, entry.sequence);
    const auto known = std::tie(upstream.entry.startedAtMs, upstream.entry.sequence);
    return upstream.isListed ? restored < known : restored <= known;
}

void upstream_directory::unlist(known_upstream &upstream, monotonic_time now)
{
    if (upstream.isListed) {
        upstream.isListed = false;
        upstream.unlistedAt = now;
    }
    upstream.isLapsing = false;
}

void upstream_directory::remove(known_upstream &upstream, monotonic_time now)
{
    const bool isLapse = now < m_lapseGraceEnd && !upstream.wasRemoved;
    if (isLapse && !upstream.entry.isDraining && upstream.isListed) {
        upstream.isLapsing = true;
        m_hasLapsing = true;
    } else {
        upstream.hasLapsed = upstream.hasLapsed || isLapse;
        upstream.wasRemoved = !upstream.hasLapsed;
        unlist(upstream, now);
    }
}

void upstream_directory::onStoreRestored(monotonic_time deferralEnd)
{
    for (known_upstream &upstream : m_upstreams) {
        upstream.revision = 0;
        upstream.isFromEarlierEpoch = true;
    }
    for (auto &[name, zone] : m_evacuations) {
        zone.revision = 0;
        zone.markRevision = 0;
        zone.isMarked = false;
        zone.isFromEarlierEpoch = true;
    }
    m_deferred.clear();
    m_deferralEnd = deferralEnd;
}

void upstream_directory::retain(boost::span<const record_change> listing, std::uint64_t revision,
                                monotonic_time now)
{
    std::unordered_multimap<std::uint64_t, std::uint64_t> listedKeys; ///< key hashes by id
    std::unordered_set<std::string> evacuatedZones;
    std::unordered_set<std::string> markedZones;
    for (const record_change &change : listing) {
        if (const auto *entry = std::get_if<upstream_record>(&change.content)) {
            listedKeys.emplace(entry->id, change.keyHash);
        } else if (change.kind == record_kind::evacuation) {
            evacuatedZones.insert(change.name);
        } else if (change.kind == record_kind::evacuationMark) {
            markedZones.insert(change.name);
        }
    }
    const auto isInListing = [&](const known_upstream &upstream) {
        const auto [first, last] = listedKeys.equal_range(upstream.entry.id);
        return std::any_of(first, last, [&](const auto &item) {
            return item.second == upstream.keyHash || item.second == 0 || upstream.keyHash == 0;
        });
    };
    for (known_upstream &upstream : m_upstreams) {
        if (!upstream.isListed || upstream.revision > revision || isInListing(upstream)) {
            continue;
        }
        remove(upstream, now);
    }
    for (auto &[name, zone] : m_evacuations) {
        if (zone.markRevision <= revision && markedZones.count(name) == 0) {
            zone.isMarked = false;
        }
        if (!zone.isInForce || zone.revision > revision || evacuatedZones.count(name) != 0) {
            continue;
        }
        zone.isLapsing = zone.isFromEarlierEpoch && now < m_lapseGraceEnd;
        m_hasLapsing = m_hasLapsing || zone.isLapsing;
        if (!zone.isLapsing) {
            endEvacuation(name, zone, now);
        }
    }
    invalidateCandidates();
}

void upstream_directory::appendSnapshot(monotonic_time now,
                                        std::vector<record_change> &records) const
{
    for (const known_upstream &upstream : m_upstreams) {
        if (upstream.isListed) {
            record_change change;
            change.kind = record_kind::upstream;
            change.upstreamId = upstream.entry.id;
            change.keyHash = upstream.keyHash;
            change.revision = upstream.revision;
            upstream_record entry = upstream.entry;
            entry.coldFor =
                std::max(milliseconds::zero(),
                         std::chrono::duration_cast<milliseconds>(upstream.coldUntil - now));
            change.content = entry;
            records.push_back(std::move(change));
        }
    }
    for (const auto &[name, zone] : m_evacuations) {
        if (zone.isInForce) {
            record_change change;
            change.kind = record_kind::evacuation;
            change.name = name;
            change.revision = zone.revision;
            change.content = zone_evacuation{};
            records.push_back(std::move(change));
        }
        if (zone.isMarked) {
            record_change change;
            change.kind = record_kind::evacuationMark;
            change.name = name;
            change.revision = zone.markRevision;
            change.content = evacuation_mark{};
            records.push_back(std::move(change));
        }
    }
}

void upstream_directory::advance(monotonic_time now)
{
    if (m_hasLapsing && now >= m_lapseGraceEnd) {
        endLapsing(now);
    }
    if (!m_deferred.empty() && now >= m_deferralEnd) {
        applyDeferred(now);
    }
    if (now >= m_nextSweepAt) {
        m_nextSweepAt = now + sweepInterval;
        forgetUnlisted(now);
    }
}

void upstream_directory::endLapsing(monotonic_time now)
{
    m_hasLapsing = false;
    for (known_upstream &upstream : m_upstreams) {
        if (upstream.isLapsing) {
            upstream.hasLapsed = true;
            unlist(upstream, now);
        }
    }
    for (auto &[name, zone] : m_evacuations) {
        if (zone.isLapsing) {
            zone.isLapsing = false;
            endEvacuation(name, zone, now);
        }
    }
    invalidateCandidates();
}

/// Applies the deferred changes that the store still has: the entry of an upstream that does not
/// live would have expired.
void upstream_directory::applyDeferred(monotonic_time now)
{
    for (const record_change &change : std::exchange(m_deferred, {})) {
        const auto found = m_byId.find(change.upstreamId);
        if (found != m_byId.end() && m_upstreams[found->second].revision == change.revision) {
            applyUpstream(change, now);
        }
    }
}

void upstream_directory::forgetUnlisted(monotonic_time now)
{
    for (auto item = m_byId.begin(); item != m_byId.end();) {
        known_upstream &upstream = m_upstreams[item->second];
        if (upstream.isListed || now - upstream.unlistedAt < m_flowLifetime) {
            ++item;
            continue;
        }
        const auto byTag = m_byTag.find(upstream.tag);
        if (byTag != m_byTag.end() && byTag->second == item->second) {
            m_byTag.erase(byTag);
        }
        m_freeIndexes.push_back(item->second);
        item = m_byId.erase(item);
        invalidateCandidates();
    }
}

bool upstream_directory::takesNewFlows(const known_upstream &upstream) const
{
    return upstream.isListed && !upstream.entry.isDraining && !upstream.isTagShared
        && !isEvacuated(upstream.zone);
}

bool upstream_directory::isCandidate(upstream_index upstream, const std::string &service) const
{
    return upstream < m_upstreams.size() && takesNewFlows(m_upstreams[upstream])
        && m_upstreams[upstream].entry.service == service;
}

void upstream_directory::rebuildCandidates()
{
    m_candidates.clear();
    for (const auto &[id, index] : m_byId) {
        const known_upstream &upstream = m_upstreams[index];
        if (!takesNewFlows(upstream)) {
            continue;
        }
        zone_lists &lists = m_candidates[upstream.entry.service];
        lists.resize(std::max<std::size_t>(lists.size(), upstream.zone + std::size_t{1}));
        lists[upstream.zone].push_back(index);
    }
    for (auto &[service, lists] : m_candidates) {
        for (std::vector<upstream_index> &list : lists) {
            std::sort(list.begin(), list.end());
        }
    }
    m_builtGeneration = m_generation;
}

boost::span<const upstream_index> upstream_directory::candidates(const std::string &service,
                                                                 std::uint16_t zone)
{
    if (m_builtGeneration != m_generation) {
        rebuildCandidates();
    }
    const auto found = m_candidates.find(service);
    if (found == m_candidates.end() || zone >= found->second.size()) {
        return {};
    }
    return found->second[zone];
}

} // namespace figstair
