#include "figstair/core/view/route_table.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace figstair {
namespace {

std::uint64_t addressKey(std::uint32_t address, std::uint16_t port)
{
    return std::uint64_t{address} << 16U | port;
}

} // namespace

config_patch patchBetween(const route_config &before, const route_config &after)
{
    std::unordered_map<std::string, const route *> removed;
    for (const route &item : before.routes) {
        removed.emplace(item.name, &item);
    }
    config_patch patch;
    patch.baseVersion = before.version;
    patch.changed = after;
    patch.changed.routes.clear();
    for (const route &item : after.routes) {
        const auto found = removed.find(item.name);
        if (found == removed.end() || !(*found->second == item)) {
            patch.changed.routes.push_back(item);
        }
        if (found != removed.end()) {
            removed.erase(found);
        }
    }
    for (const auto &[name, item] : removed) {
        patch.removedRoutes.push_back(name);
    }
    return patch;
}

bool route_table::accept(const route_config &config)
{
    if (m_isLoaded && config.version <= m_config.version) {
        return false;
    }
    m_config = config;
    m_isLoaded = true;
    m_byAddress.clear();
    m_mostUrgentPriorities.clear();
    m_byAddress.reserve(m_config.routes.size());
    for (std::size_t index = 0; index < m_config.routes.size(); ++index) {
        const route &entry = m_config.routes[index];
        m_byAddress.emplace(addressKey(entry.address, entry.port), index);
        for (const weighted_service &choice : entry.services) {
            const auto [position, isNew] =
                m_mostUrgentPriorities.try_emplace(choice.service, entry.priority);
            position->second = std::min(position->second, entry.priority);
        }
    }
    return true;
}

bool route_table::accept(const config_patch &patch)
{
    if (!m_isLoaded || patch.baseVersion != m_config.version) {
        return false;
    }
    route_config next = patch.changed;
    std::unordered_set<std::string> replacedOrRemoved(patch.removedRoutes.begin(),
                                                      patch.removedRoutes.end());
    for (const route &item : patch.changed.routes) {
        replacedOrRemoved.insert(item.name);
    }
    for (const route &item : m_config.routes) {
        if (replacedOrRemoved.count(item.name) == 0) {
            next.routes.push_back(item);
        }
    }
    return accept(next);
}

const route *route_table::find(const flow_id &flow) const
{
    const auto found = m_byAddress.find(addressKey(flow.routeAddress, flow.routePort));
    return found == m_byAddress.end() ? nullptr : &m_config.routes[found->second];
}

const std::string &route_table::serviceFor(const route &route, const flow_id &flow) const
{
    static const std::string noService;
    std::uint64_t total = 0;
    for (const weighted_service &choice : route.services) {
        total += choice.weight;
    }
    if (total == 0) {
        return noService;
    }
    std::uint64_t remainder = hashOf(flow) % total;
    for (const weighted_service &choice : route.services) {
        if (remainder < choice.weight) {
            return choice.service;
        }
        remainder -= choice.weight;
    }
    return noService;
}

unsigned route_table::mostUrgentPriority(const std::string &service) const
{
    const auto found = m_mostUrgentPriorities.find(service);
    return found == m_mostUrgentPriorities.end() ? 0 : found->second;
}

service_limits route_table::limitsOf(const std::string &service) const
{
    const auto found =
        std::find_if(m_config.services.begin(), m_config.services.end(),
                     [&](const service_limits &limits) { return limits.name == service; });
    return found == m_config.services.end() ? service_limits{} : *found;
}

} // namespace figstair
