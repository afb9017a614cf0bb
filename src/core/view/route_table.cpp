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

/// The configuration that @p patch turns @p base into.
route_config patched(const route_config &base, const config_patch &patch)
{
    route_config next = patch.changed;
    std::unordered_set<std::string> replacedOrRemoved(patch.removedRoutes.begin(),
                                                      patch.removedRoutes.end());
    for (const route &item : patch.changed.routes) {
        replacedOrRemoved.insert(item.name);
    }
    for (const route &item : base.routes) {
        if (replacedOrRemoved.count(item.name) == 0) {
            next.routes.push_back(item);
        }
    }
    return next;
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
    replace(config);
    return true;
}

void route_table::replace(route_config config)
{
    m_config = std::move(config);
    m_isLoaded = true;
    m_isAmbiguous = false;
    m_byAddress.clear();
    m_byName.clear();
    m_priorities.clear();
    m_byAddress.reserve(m_config.routes.size());
    m_byName.reserve(m_config.routes.size());
    for (std::size_t index = 0; index < m_config.routes.size(); ++index) {
        addToIndex(index);
    }
}

void route_table::addToIndex(std::size_t index)
{
    const route &entry = m_config.routes[index];
    const bool isNewName = m_byName.emplace(entry.name, index).second;
    const bool isNewAddress =
        m_byAddress.emplace(addressKey(entry.address, entry.port), index).second;
    m_isAmbiguous = m_isAmbiguous || !isNewName || !isNewAddress;
    for (const weighted_service &choice : entry.services) {
        ++m_priorities[choice.service][entry.priority];
    }
}

void route_table::removeFromIndex(std::size_t index)
{
    const route &entry = m_config.routes[index];
    m_byName.erase(entry.name);
    m_byAddress.erase(addressKey(entry.address, entry.port));
    for (const weighted_service &choice : entry.services) {
        const auto counts = m_priorities.find(choice.service);
        const auto count = counts->second.find(entry.priority);
        if (--count->second == 0) {
            counts->second.erase(count);
        }
        if (counts->second.empty()) {
            m_priorities.erase(counts);
        }
    }
}

void route_table::add(const route &entry)
{
    m_config.routes.push_back(entry);
    addToIndex(m_config.routes.size() - 1);
}

void route_table::remove(const std::string &name)
{
    const auto found = m_byName.find(name);
    if (found == m_byName.end()) {
        return;
    }
    const std::size_t index = found->second;
    removeFromIndex(index);
    if (index + 1 < m_config.routes.size()) {
        route &last = m_config.routes.back();
        m_byName[last.name] = index;
        m_byAddress[addressKey(last.address, last.port)] = index;
        m_config.routes[index] = std::move(last);
    }
    m_config.routes.pop_back();
}

bool route_table::accept(const config_patch &patch)
{
    if (!m_isLoaded || patch.baseVersion != m_config.version
        || patch.changed.version <= m_config.version) {
        return false;
    }
    if (m_isAmbiguous) {
        replace(patched(m_config, patch));
        return true;
    }
    for (const std::string &name : patch.removedRoutes) {
        remove(name);
    }
    for (const route &item : patch.changed.routes) {
        remove(item.name);
    }
    for (const route &item : patch.changed.routes) {
        add(item);
    }
    m_config.version = patch.changed.version;
    m_config.services = patch.changed.services;
    m_config.idleTimeout = patch.changed.idleTimeout;
    return true;
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
    const auto found = m_priorities.find(service);
    return found == m_priorities.end() ? 0 : found->second.begin()->first;
}

service_limits route_table::limitsOf(const std::string &service) const
{
    const auto found =
        std::find_if(m_config.services.begin(), m_config.services.end(),
                     [&](const service_limits &limits) { return limits.name == service; });
    return found == m_config.services.end() ? service_limits{} : *found;
}

} // namespace figstair
