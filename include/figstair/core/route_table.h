#pragma once

#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/fleet_records.h"
#include "figstair/core/flow_packet.h"

namespace figstair {

/// The newest configuration that this process has accepted. Versions only grow.
class route_table
{
public:
    /// Takes @p config into force when its version is greater. Returns whether it did.
    bool accept(const route_config &config);

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
