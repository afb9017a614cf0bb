#pragma once

#include "figstair/core/flow/entry_output.h"
#include "figstair/core/flow/entry_settings.h"
#include "figstair/core/flow/flow_table.h"
#include "figstair/core/health/upstream_health.h"
#include "figstair/core/load/load_board.h"
#include "figstair/core/load/outstanding_work.h"
#include "figstair/core/load/request_cost.h"
#include "figstair/core/load/service_times.h"
#include "figstair/core/view/config_currency.h"
#include "figstair/core/view/peer_roster.h"
#include "figstair/core/view/report_exchange.h"
#include "figstair/core/view/route_table.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// State that the parts of the packet path share. entry_core owns it and outlives the parts.
struct flow_context
{
    const entry_settings &settings;
    const clock_source &clock;
    entry_output &output;
    route_table &routes;
    const config_currency &configCurrency;
    upstream_directory &directory;
    load_board &loads;
    upstream_health &health;
    peer_roster &roster;
    report_exchange &reports;
    flow_table &flows;
    service_times &serviceTimes;
    request_cost &costs;
    outstanding_work &openWork;
    monotonic_time startedAt{}; ///< of this host

    std::uint64_t configVersion() const { return routes.config().version; }

    /// Latency target of the route of @p flow, or a default.
    milliseconds latencyTargetOf(const flow_id &flow) const;

    /// Expected time until the first answer on the route of @p flow at an upstream with a free
    /// slot.
    milliseconds expectedTime(const flow_id &flow) const;

    /// Returns the record of @p flow, inserting one if there is none.
    flow_record &insertFlow(const flow_id &flow) const;

    /// Counts a request of @p flow, which has the record @p record, as open at its upstream.
    void startAwaitingAnswer(const flow_id &flow, flow_record &record) const;

    /// The unanswered request was sent now, after the flow was placed.
    void restartRequest(const flow_record &record) const;

    /// No longer counts the flow's request as open at its upstream.
    void stopAwaitingAnswer(flow_record &record) const;

    /// Whether the set of hosts to which the platform's routers send packets has been the same long
    /// enough for all packets of a flow to come to the same host.
    bool isRotationStable() const;
};

} // namespace figstair
