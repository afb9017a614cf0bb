#pragma once

#include <string>

#include "figstair/core/gate/host_core.h"
#include "figstair/host/metrics.h"
#include "figstair/host/span_log.h"
#include "figstair/host/status_server.h"

namespace figstair {

/// Renders the status pages of a host: /metrics, /status, /trace?id=HEX and /table. The arguments
/// of the constructor must outlive this object.
class status_pages
{
public:
    status_pages(const host_core &core, const metrics &hostMetrics, const span_log &spans);

    /// Returns the page for an HTTP request target, or an error page.
    status_page page(const std::string &target) const;

private:
    std::string statusJson() const;
    std::string traceJson(std::uint64_t traceId) const;

    const host_core &m_core;
    const metrics &m_metrics;
    const span_log &m_spans;
};

} // namespace figstair
