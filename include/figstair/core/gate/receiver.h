#pragma once

#include "figstair/core/gate/gate_role.h"
#include "figstair/core/gate/host_context.h"
#include "figstair/core/gate/placement.h"

namespace figstair {

/// The role of a host that receives datagrams from callers through the network fabric and forwards
/// each to the gate of its flow's upstream. Keeps no state per flow.
class receiver
{
public:
    receiver(host_context &context, gate_role &gateRole);

    // Each handles one datagram of a caller. An invalid token is refused. A request with a valid
    // token of another caller address gets a new token bound to the caller's address, and is not
    // forwarded. Orders go to the gate that their token names while its host is present and
    // reachable, even when it is no longer the gate of the upstream. Everything else goes to the
    // current gate.
    void onOpen(const endpoint &caller, const datagram &message);
    void onRequest(const endpoint &caller, const datagram &message);
    void onClose(const endpoint &caller, const datagram &message);

private:
    void openFlow(const endpoint &caller, const datagram &message);
    void forward(const endpoint &caller, const datagram &message, datagram_type type,
                 const member *target);
    void refuseToken(const endpoint &caller, const datagram &message, const token_error &error);
    void rebind(const endpoint &caller, const datagram &message, flow_token token);
    bool flowHasEnded(const flow_token &token, const upstream_entry *upstream) const;
    const member *targetOf(const datagram &message, const flow_token &token,
                           const upstream_entry *upstream) const;
    std::uint64_t traceIdOf(const datagram &message);

    host_context &m_context;
    gate_role &m_gateRole;
    placement m_placement;
};

} // namespace figstair
