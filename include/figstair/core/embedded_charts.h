#pragma once

#include <string_view>

namespace figstair {

/// Content of charts/host.scxml, embedded in the binary.
std::string_view hostChartText();

/// Content of charts/upstream.scxml, embedded in the binary.
std::string_view upstreamChartText();

/// Content of charts/upstream_health.scxml, embedded in the binary.
std::string_view upstreamHealthChartText();

} // namespace figstair
