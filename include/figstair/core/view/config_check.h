#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "figstair/core/view/fleet_records.h"

namespace figstair {

/// error: hosts reject the configuration, or misapply the entry. warning: hosts accept the entry,
/// which has no effect or contradicts itself.
enum class finding_severity : std::uint8_t { error, warning, difference };

std::string_view toText(finding_severity severity);

/// Something that the operators should know about a configuration.
struct config_finding
{
    finding_severity severity = finding_severity::error;
    std::string place; ///< such as "routes/NAME", "services/NAME" or "version"
    std::string text;

    bool operator==(const config_finding &other) const
    {
        return severity == other.severity && place == other.place && text == other.text;
    }
};

/// Error: a configuration cannot be decoded.
struct undecodable_config
{
    std::vector<config_finding> findings; ///< at least one
};

/// Finds entries that can never match, limits that contradict each other, and names that are not
/// unique. In the order of the entries, routes first.
std::vector<config_finding> checkConfig(const route_config &config);

/// Finds the differences of @p after from @p before, and whether its version is high enough for
/// hosts to replace @p before. Routes and services are matched by name; if several have the same
/// name, the first in @p before is compared.
std::vector<config_finding> compareConfigs(const route_config &before, const route_config &after);

} // namespace figstair
