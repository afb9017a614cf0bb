#pragma once

#include <cstdint>
#include <map>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/flow/flow_packet.h"
#include "figstair/core/view/fleet_records.h"

namespace figstair {

/// The patch that turns @p before into @p after. Routes are matched by name.
config_patch patchBetween(const route_config &before, const route_config &after);

/// The newest configuration that this process accepted. Its version only increases.
class route_table
{
public:
    /// Replaces the configuration if none is loaded or the version of @p config is greater. Returns
    /// whether it did.
    bool accept(const route_config &config);

    /// Applies @p patch if its base is the current version and its own version is greater. Returns
    /// whether it did. The cost depends on the size of the patch, not on that of the table.
    bool accept(const config_patch &patch);

    bool isLoaded() const { return m_isLoaded; }
    const route_config &config() const { return m_config; }

    /// The route with the destination of @p flow, or null. Valid until the next accept().
    const route *find(const flow_id &flow) const;

    /// The service of @p flow, chosen by weight from a hash of the flow: the same on every host
    /// with this configuration. Empty when the weights sum to 0.
    const std::string &serviceFor(const route &route, const flow_id &flow) const;

    /// The most urgent priority of the routes to @p service; 0 if there is none.
    unsigned mostUrgentPriority(const std::string &service) const;

    /// Limits of @p service; defaults if the configuration has none for it.
    service_limits limitsOf(const std::string &service) const;

private:
    /// Number of routes by priority.
    using priority_counts = std::map<unsigned, std::size_t>;

    void replace(route_config config);
    void add(const route &entry);
    void remove(const std::string &name);
    void addToIndex(std::size_t index);
    void removeFromIndex(std::size_t index);

    route_config m_config; ///< patches change the order of the routes
    boost::unordered_flat_map<std::uint64_t, std::size_t> m_byAddress;
    boost::unordered_flat_map<std::string, std::size_t> m_byName;
    boost::unordered_flat_map<std::string, priority_counts> m_priorities; ///< by service
    /// Two routes share an address or a name, so the indexes do not have all routes.
    bool m_isAmbiguous = false;
    bool m_isLoaded = false;
};

} // namespace figstair
