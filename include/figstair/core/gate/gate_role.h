#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/gate/candidate_list.h"
#include "figstair/core/gate/host_context.h"
#include "figstair/core/gate/order_ledger.h"
#include "figstair/core/gate/retry_budget.h"
#include "figstair/core/gate/upstream_gate.h"

namespace figstair {

/// The role of a host that sends to upstreams. Keeps an upstream_gate for each upstream whose gate
/// this host is, admits flows and requests, and stores the order records.
class gate_role : public gate_sender
{
public:
    explicit gate_role(host_context &context);

    /// Sets whether flows and requests are admitted. They are not while the host is joining, or
    /// rejoining after a freeze.
    void setAdmitting(bool admitting) { m_admitting = admitting; }

    /// Starts leaving: accepted work is completed and new orders are refused. Opens and idempotent
    /// requests are not refused for this: they are treated as on any host that is not the gate,
    /// which this host is not once its own member record says that it leaves.
    void setLeaving() { m_leaving = true; }

    /// Handles an open forwarded to the gate of message.upstreamId. With a token it renews that
    /// flow. An open with an invalid token or candidate list is dropped without a count or answer.
    void onOpen(const datagram &message);

    /// Forwards an open to the gate of the next candidate to ask, or of the least loaded one that
    /// answered. Refuses it when there is neither, no hop is left or the retry budget is used up.
    void forwardOpen(const datagram &message, const candidate_list &candidates);

    /// Handles a request forwarded to this host as gate. A request with an invalid token is counted
    /// in counter::badTokens and dropped without an answer.
    void onRequest(const datagram &message);

    /// Ends the flow that the token of @p message names. A close with an invalid token is dropped
    /// without a count or answer.
    void onClose(const datagram &message);

    /// Handles an answer, refusal or report from an upstream.
    void onUpstreamDatagram(const endpoint &from, const datagram &message);

    void tick();

    /// Updates and removes gates to match the current table and members.
    void reconcileGates();

    /// Discards state that may be outdated after a freeze.
    void onFreeze();

    /// True when no open is waiting and no gate has work.
    bool isIdle() const;

    /// Order records that a leaving host must hand over, one batch per upstream.
    std::vector<order_handover> handovers() const;

    /// Order records to hand over to the current gate, one batch per upstream that has imported
    /// records here and another host as gate. A batch holds all settled records of the upstream,
    /// own ones included. Upstreams already handed over to that gate's process are left out.
    std::vector<order_handover> handoversToCurrentGates() const;

    /// Notes that the process @p gateIncarnation has stored the records of @p upstreamId.
    void onRecordsHandedOver(std::uint32_t upstreamId, std::uint64_t gateIncarnation);

    /// Imports another gate's records. Returns false, storing none, when the ledger has no room.
    bool importHandover(const order_handover &batch);

    const std::map<std::uint32_t, std::unique_ptr<upstream_gate>> &upstreamGates() const
    {
        return m_upstreamGates;
    }
    const order_ledger &ledger() const { return m_ledger; }

private:
    struct waiting_open
    {
        byte_buffer message; ///< encoded forwardOpen
        std::uint32_t upstreamId = 0;
        monotonic_time deadline{};
    };

    void sendToUpstream(const upstream_entry &upstream, const datagram &message) override;
    void sendToCaller(const endpoint &caller, const datagram &message) override;
    byte_buffer renewedToken(const work_request &request, std::uint32_t upstreamId) override;

    bool isGateOf(const upstream_entry &upstream) const;
    upstream_gate *gateFor(const upstream_entry &upstream);
    bool mayReceivePackets(const upstream_entry &upstream) const;
    void decideOpen(const datagram &message, candidate_list candidates,
                    const upstream_entry &upstream);
    void acceptFlow(const datagram &message, const upstream_entry &upstream, std::uint64_t nonce);
    void renewFlow(const datagram &message, const flow_token &token);
    void queueOpen(const datagram &message, std::uint32_t upstreamId);
    void retryWaitingOpens();
    void onIdempotent(const datagram &message, const flow_token &token,
                      const upstream_entry &upstream);
    void onOrder(const datagram &message, const flow_token &token);
    void answerRecordedOrder(const datagram &message, order_record &record);
    void resolveOrderWithoutRunning(const datagram &message, const flow_token &token);
    bool mayReceiveRecords(const flow_token &token) const;
    void refuseNewOrder(const datagram &message, const flow_token &token);
    work_request makeWorkRequest(const datagram &message, const flow_token &token) const;
    bool forwardToGate(const datagram &message, const upstream_entry &upstream);
    wall_time recordExpiry(const flow_token &token) const;
    milliseconds recordLifetime() const;
    flow_token_bytes mintToken(const upstream_entry &upstream, std::uint64_t nonce,
                               std::uint64_t callerHash);
    void expireTokenTimes();

    host_context &m_context;
    order_ledger m_ledger;
    retry_budget m_openRetries;
    std::map<std::uint32_t, std::unique_ptr<upstream_gate>> m_upstreamGates;
    std::unordered_map<endpoint, std::uint32_t> m_upstreamIdByAddress;
    std::map<std::uint32_t, wall_time> m_lastTokenIssuedAt; ///< by upstream
    std::vector<waiting_open> m_waitingOpens;
    std::map<std::uint32_t, std::uint64_t> m_recordsHandedOverTo; ///< incarnation by upstream
    std::map<std::uint32_t, monotonic_time> m_gateSince; ///< by upstream: first order as its gate
    monotonic_time m_nextReconcile{};
    std::uint64_t m_reconciledMembersVersion = 0;
    std::uint64_t m_reconciledRevision = 0;
    bool m_admitting = false;
    bool m_leaving = false;
};

} // namespace figstair
