#include "figstair/core/gate/host_context.h"

namespace figstair {

void host_context::send(const endpoint &to, const datagram &message) const
{
    byte_buffer bytes;
    encodeDatagram(message, bytes);
    output.sendDatagram(to, bytes);
}

void host_context::sendToUpstream(const endpoint &upstream, const datagram &message) const
{
    byte_buffer bytes;
    encodeDatagram(message, bytes);
    output.sendToUpstream(upstream, bytes);
}

void host_context::sendToHost(const member &to, const datagram &message) const
{
    byte_buffer bytes;
    encodeDatagram(message, bytes);
    signPeerDatagram(settings.peerSecret, bytes);
    output.sendDatagram(to.address, bytes);
}

void host_context::refuse(const endpoint &caller, std::uint64_t requestId, refusal_status status,
                          milliseconds retryAfter) const
{
    datagram refusal;
    refusal.type = datagram_type::refusal;
    refusal.requestId = requestId;
    refusal.status = status;
    refusal.retryAfterMs = static_cast<std::uint32_t>(retryAfter.count());
    send(caller, refusal);
    output.count(refusalCounter(status), 1);
}

} // namespace figstair
