#pragma once

#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/fleet_records.h"
#include "figstair/core/flow_packet.h"

namespace figstair {

/// What turns @p before into @p after; routes are told apart by their names.
config_patch patchBetween(const route_config &before, const route_config &after);

/// The newest configuration that this process has accepted. Versions only grow.
class route_table
{
public:
    /// Takes @p config into force when its version is greater. Returns whether it did.
    bool accept(const route_config &config);

    /// Applies @p patch when it follows the version in force. Returns whether it did.
    bool accept(const config_patch &patch);

    bool isLoaded() const { return m_isLoaded; }
    const route_config &config() const { return m_config; }

    /// The route whose address @p flow calls, or null.
    const route *find(const flow_id &flow) const;

    /// The service that @p flow belongs to: the same on every host with this configuration.
    const std::string &serviceFor(const route &route, const flow_id &flow) const;

    /// Limits of @p service; defaults when the configuration does not name it.
    service_limits limitsOf(const std::string &service) const;

private:
    route_config m_config;
    boost::unordered_flat_map<std::uint64_t, std::size_t> m_byAddress;
    bool m_isLoaded = false;
};

} // namespace figstair
