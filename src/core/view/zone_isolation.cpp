#include "figstair/core/view/zone_isolation.h"

#include <algorithm>

namespace figstair {
namespace {

/// Zones count as silent after this time without a message from any of their hosts. Placement uses
/// the same time for the zones of a large fleet.
constexpr milliseconds minSilenceLimit{700};

/// The limit in a large fleet while no flow of this host failed during the silence, in mean times
/// between the reports from these zones. They arrive at irregular times: with 700 ms alone and no
/// fault, the 33 hosts of an idle zone of 132 left 14 times a minute if the three other zones had
/// upstreams, and 399 times if one had.
constexpr double idleSilenceLimit = 12;

/// A host leaves after it has been unable to serve for this time, and joins after it has been able
/// to for the other. Joining is slower because each change moves flows to other hosts.
constexpr milliseconds leaveDelay{300};
constexpr milliseconds joinDelay{500};

bool canServe(reach state)
{
    return state != reach::silentZones;
}

} // namespace

std::string_view toText(reach which)
{
    switch (which) {
    case reach::notApplicable:
        return "not_applicable";
    case reach::noUpstreams:
        return "no_upstreams";
    case reach::ownZone:
        return "own_zone";
    case reach::otherZone:
        return "other_zone";
    case reach::answered:
        return "answered";
    case reach::silentZones:
        return "silent_zones";
    case reach::unheardSinceStart:
        return "unheard_since_start";
    }
    return "unknown";
}

zone_isolation::zone_isolation(const route_table &routes, upstream_directory &directory,
                               const peer_roster &roster, const load_board &loads,
                               const upstream_health &health)
    : m_routes(routes)
    , m_directory(directory)
    , m_roster(roster)
    , m_loads(loads)
    , m_health(health)
{
}

std::optional<zone_isolation::change> zone_isolation::update(part_mode mode, monotonic_time now)
{
    const reach state = evaluate(mode, now);
    const bool isAble = canServe(state);
    if (m_phase == phase::starting) {
        m_phase = isAble ? phase::in : phase::held;
        return isAble ? std::nullopt : std::make_optional(change{false, reach::unheardSinceStart});
    }
    if (isAble == isInRotation()) {
        m_contraryFrom.reset();
        return std::nullopt;
    }
    m_contraryFrom = m_contraryFrom.value_or(now);
    const bool isImmediate = m_phase == phase::held || mode == part_mode::off;
    const milliseconds delay = isAble ? joinDelay : leaveDelay;
    if (!isImmediate && now - *m_contraryFrom < delay) {
        return std::nullopt;
    }
    m_contraryFrom.reset();
    m_phase = isAble ? phase::in : phase::out;
    return change{isAble, state};
}

reach zone_isolation::evaluate(part_mode mode, monotonic_time now)
{
    if (mode == part_mode::off) {
        return reach::notApplicable;
    }
    updateServices();
    updateZones();
    if (m_zones.empty()) {
        return reach::noUpstreams;
    }
    const std::string &ownZone = m_roster.self().zone;
    if (std::find(m_zones.begin(), m_zones.end(), ownZone) != m_zones.end()) {
        return reach::ownZone;
    }
    const bool hasOtherHosts =
        std::any_of(m_roster.peers().begin(), m_roster.peers().end(),
                    [&](const auto &item) { return item.second.entry.zone != ownZone; });
    if (mode == part_mode::automatic && !hasOtherHosts) {
        return reach::notApplicable;
    }
    if (!isSilent(mode, now)) {
        return reach::otherZone;
    }
    return hasRecentAnswer(now) ? reach::answered : reach::silentZones;
}

void zone_isolation::updateServices()
{
    if (m_configVersion == m_routes.config().version) {
        return;
    }
    m_configVersion = m_routes.config().version;
    m_generation.reset();
    m_services.clear();
    for (const route &item : m_routes.config().routes) {
        for (const weighted_service &choice : item.services) {
            if (choice.weight > 0) {
                m_services.push_back(choice.service);
            }
        }
    }
    std::sort(m_services.begin(), m_services.end());
    m_services.erase(std::unique(m_services.begin(), m_services.end()), m_services.end());
}

void zone_isolation::updateZones()
{
    if (m_generation == m_directory.generation()) {
        return;
    }
    m_generation = m_directory.generation();
    m_zones.clear();
    m_upstreams.clear();
    for (std::size_t zone = 0; zone < m_directory.zoneCount(); ++zone) {
        const auto number = static_cast<std::uint16_t>(zone);
        const std::size_t before = m_upstreams.size();
        for (const std::string &service : m_services) {
            const auto list = m_directory.candidates(service, number);
            m_upstreams.insert(m_upstreams.end(), list.begin(), list.end());
        }
        if (m_upstreams.size() > before) {
            m_zones.push_back(m_directory.zoneName(number));
        }
    }
}

/// Whether no message from m_zones arrives. With `automatic`, the silence of a zone without known
/// hosts does not count, since nobody there could send one.
bool zone_isolation::isSilent(part_mode mode, monotonic_time now) const
{
    monotonic_time lastHeardAt{};
    for (const std::string &zone : m_zones) {
        const peer_roster::zone_contact contact = m_roster.contactWith(zone);
        if (mode == part_mode::automatic && contact.hosts == 0) {
            return false;
        }
        lastHeardAt = std::max(lastHeardAt, contact.lastHeardAt);
    }
    return lastHeardAt == monotonic_time{} || now - lastHeardAt > silenceLimit(lastHeardAt);
}

milliseconds zone_isolation::silenceLimit(monotonic_time silentSince) const
{
    if (!m_roster.isLargeFleet() || hasTimeoutSince(silentSince)) {
        return minSilenceLimit;
    }
    // Each host sends one report per interval to the hosts of all other zones, in turn.
    const auto fleetSize = static_cast<double>(m_roster.peers().size() + 1);
    double reportsPerInterval = 0;
    for (const std::string &zone : m_zones) {
        const auto hosts = static_cast<double>(m_roster.contactWith(zone).hosts);
        reportsPerInterval += hosts / (fleetSize - hosts);
    }
    if (reportsPerInterval <= 0) {
        return minSilenceLimit;
    }
    const std::chrono::duration<double, std::milli> interval = m_roster.reportInterval();
    return std::max(
        minSilenceLimit,
        std::chrono::duration_cast<milliseconds>(interval * idleSilenceLimit / reportsPerInterval));
}

/// Whether one of m_upstreams recently answered a request through this host, which shows that it is
/// reachable although no host of its zone is heard. Keeps a host in the rotation only: to a host
/// outside it, packets come from callers whose routers have not changed yet, or that were answered
/// through another zone.
bool zone_isolation::hasRecentAnswer(monotonic_time now) const
{
    if (m_phase != phase::in) {
        return false;
    }
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](upstream_index upstream) {
        const monotonic_time servedAt = m_loads.lastServedAt(upstream);
        return servedAt != monotonic_time{} && servedAt >= m_roster.resumedAt()
            && now - servedAt <= minSilenceLimit;
    });
}

bool zone_isolation::hasTimeoutSince(monotonic_time time) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](upstream_index upstream) {
        return m_health.lastTimeoutTime(upstream) >= time;
    });
}

} // namespace figstair
