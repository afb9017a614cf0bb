#pragma once

#include <random>

#include "figstair/core/clock_source.h"
#include "figstair/core/gate/flow_token.h"
#include "figstair/core/gate/gate_map.h"
#include "figstair/core/gate/host_output.h"
#include "figstair/core/gate/host_settings.h"
#include "figstair/core/gate/membership.h"
#include "figstair/table/table.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// State and interfaces that the roles of one host share. host_core owns the context and outlives
/// the roles.
struct host_context
{
    const host_settings &settings;
    const clock_source &clock;
    std::mt19937_64 &random;
    table &currentTable; ///< the configuration: services, upstreams, zones, hosts
    token_keys &keys;
    membership &members;
    gate_map &gateMap;
    host_output &output;

    /// Sends a datagram to a caller.
    void send(const endpoint &to, const datagram &message) const;

    /// Sends a message over the stream to an upstream.
    void sendToUpstream(const endpoint &upstream, const datagram &message) const;

    /// Sends a datagram with an authentication code to another host.
    void sendToHost(const member &to, const datagram &message) const;

    /// Sends a refusal of @p requestId to @p caller and counts it.
    void refuse(const endpoint &caller, std::uint64_t requestId, refusal_status status,
                milliseconds retryAfter = milliseconds(0)) const;
};

} // namespace figstair
