#pragma once

#include <string_view>

namespace figstair {

/// Text of charts/host.scxml as shipped inside the binary.
std::string_view hostChartText();

/// Text of charts/upstream.scxml as shipped inside the binary.
std::string_view upstreamChartText();

/// Text of charts/upstream_health.scxml as shipped inside the binary.
std::string_view upstreamHealthChartText();

} // namespace figstair
