#include "figstair/core/health/unreachable_zones.h"

#include <algorithm>

namespace figstair {
namespace {

/// Unacknowledged packets that show that a zone is unreachable. As many hosts have to agree that a
/// single upstream is dead.
constexpr unsigned minPackets = 3;

/// Time within which the packets were noted, and how long the zone stays unreachable after the last
/// of them.
constexpr milliseconds evidenceWindow{2000};

/// Least time without a sign of life since the first of the packets, unless the hosts of the zone
/// are silent for as long already: longer than reports of answers through other hosts take.
constexpr milliseconds minSilentTime{400};

} // namespace

unreachable_zones::unreachable_zones(const upstream_directory &directory,
                                     const upstream_health &health, peer_roster &roster)
    : m_directory(directory)
    , m_health(health)
    , m_roster(roster)
{
}

std::vector<unreachable_zones::evidence>
unreachable_zones::collect(const std::vector<monotonic_time> &since, monotonic_time now) const
{
    std::vector<evidence> byZone(m_directory.zoneCount());
    m_health.deadUpstreams().forEachObservation(
        [&](upstream_index upstream, const dead_upstreams::observation &seen) {
            const std::uint16_t zone = m_directory.at(upstream).zone;
            const monotonic_time start = since.empty() ? monotonic_time{} : since[zone];
            if (seen.sentAt <= start || now - seen.lastAt > evidenceWindow) {
                return;
            }
            evidence &item = byZone[zone];
            const bool isEarlier = item.packets == 0 || seen.firstAt < item.firstAt;
            item.firstAt = std::max(start, isEarlier ? seen.firstAt : item.firstAt);
            item.packets += seen.firstAt > start ? seen.packets : 1;
        });
    return byZone;
}

std::vector<monotonic_time> unreachable_zones::lastSignsOfLife()
{
    std::vector<monotonic_time> signs(m_directory.zoneCount());
    std::vector<monotonic_time> answeredHereAt(m_directory.zoneCount());
    for (upstream_index index = 0; index < m_directory.size(); ++index) {
        const std::uint16_t zone = m_directory.at(index).zone;
        signs[zone] = std::max(signs[zone], m_health.lastAcknowledgedTime(index));
        answeredHereAt[zone] =
            std::max(answeredHereAt[zone], m_health.lastLocalAcknowledgedTime(index));
    }
    for (std::size_t number = 0; number < signs.size(); ++number) {
        const std::string &name = m_directory.zoneName(static_cast<std::uint16_t>(number));
        signs[number] = std::max(signs[number], m_roster.contactWith(name).lastHeardAt);
        m_roster.onZoneAnswered(name, answeredHereAt[number]);
    }
    return signs;
}

std::vector<std::uint16_t> unreachable_zones::advance(monotonic_time now)
{
    const std::vector<evidence> candidates = collect({}, now);
    bool isCheckDue = false;
    for (std::size_t number = 0; number < candidates.size(); ++number) {
        const std::string &name = m_directory.zoneName(static_cast<std::uint16_t>(number));
        isCheckDue = isCheckDue || candidates[number].packets >= minPackets
            || !m_roster.isZoneReachable(name, now);
    }
    std::vector<std::uint16_t> unreachable;
    if (isCheckDue) {
        // Goes through all upstreams, so only while something is wrong.
        const std::vector<evidence> remaining = collect(lastSignsOfLife(), now);
        for (std::size_t number = 0; number < remaining.size(); ++number) {
            const auto zone = static_cast<std::uint16_t>(number);
            const std::string &name = m_directory.zoneName(zone);
            const bool isSilent = now - remaining[number].firstAt >= minSilentTime
                || !m_roster.isZoneReachable(name, now);
            if (name != m_roster.self().zone && remaining[number].packets >= minPackets
                && isSilent) {
                unreachable.push_back(zone);
            }
        }
    }
    std::vector<std::uint16_t> added;
    std::copy_if(unreachable.begin(), unreachable.end(), std::back_inserter(added),
                 [this](std::uint16_t zone) { return !contains(zone); });
    m_zones = std::move(unreachable);
    return added;
}

bool unreachable_zones::contains(std::uint16_t zone) const
{
    return std::find(m_zones.begin(), m_zones.end(), zone) != m_zones.end();
}

} // namespace figstair
