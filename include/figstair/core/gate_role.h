#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/candidate_list.h"
#include "figstair/core/host_context.h"
#include "figstair/core/order_ledger.h"
#include "figstair/core/retry_budget.h"
#include "figstair/core/upstream_gate.h"

namespace figstair {

/// The part of a host that speaks to upstreams: keeps a gate for each upstream that this host is
/// chosen for, admits flows and requests, and keeps the order records.
class gate_role : public gate_sender
{
public:
    explicit gate_role(host_context &context);

    /// Whether flows and requests are admitted; a host that has just thawed or is joining does
    /// not.
    void setAdmitting(bool admitting) { m_admitting = admitting; }

    /// A leaving host finishes what it has and refuses new orders.
    void setLeaving() { m_leaving = true; }

    /// Handles an open whose candidates list names at least one upstream to ask.
    void onOpen(const datagram &message);

    /// Sends an open to the next candidate to ask, or to the least loaded one that answered.
    /// Refuses it when there is neither, or when the retry budget is spent.
    void passOpenOn(const datagram &message, const candidate_list &candidates);

    void onRequest(const datagram &message);
    void onClose(const datagram &message);

    /// Handles a datagram that came from an upstream's address.
    void onUpstream(const endpoint &from, const datagram &message);

    void tick();

    /// Follows a changed table or changed members.
    void review();

    /// Drops what was believed before a freeze.
    void onFreeze();

    /// True when no request waits or runs here.
    bool isIdle() const;

    /// Order records that a leaving host has to hand on, one batch an upstream.
    std::vector<order_handover> handovers() const;

    /// Records taken over from others, for upstreams that have another gate now.
    std::vector<order_handover> misplacedInheritance() const;

    /// Notes that @p gate holds what misplacedInheritance() gave for @p upstreamId.
    void onInheritancePassed(std::uint32_t upstreamId, std::uint64_t gateIncarnation);

    /// Takes over another gate's records. Returns false when they do not fit.
    bool inherit(const order_handover &batch);

    const std::map<std::uint32_t, std::unique_ptr<upstream_gate>> &gates() const { return m_gates; }
    const order_ledger &ledger() const { return m_ledger; }

private:
    struct waiting_open
    {
        byte_buffer message; ///< encoded forwardOpen
        std::uint32_t upstreamId = 0;
        monotonic_time until{};
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
    void waitForReport(const datagram &message, std::uint32_t upstreamId);
    void retryWaitingOpens();
    void onIdempotent(const datagram &message, const flow_token &token,
                      const upstream_entry &upstream);
    void onOrder(const datagram &message, const flow_token &token);
    void answerRecordedOrder(const datagram &message, order_record &record);
    void settleForeignOrder(const datagram &message, const flow_token &token);
    bool mayInheritSoon(const flow_token &token) const;
    void refuseNewOrder(const datagram &message, const flow_token &token);
    work_request makeWork(const datagram &message, const flow_token &token) const;
    bool passToGate(const datagram &message, const upstream_entry &upstream);
    wall_time recordExpiry(const flow_token &token) const;
    milliseconds recordLife() const;
    flow_token_bytes mintToken(const upstream_entry &upstream, std::uint64_t nonce,
                               std::uint64_t callerHash);
    void forgetOldTokens();

    host_context &m_context;
    order_ledger m_ledger;
    retry_budget m_openRetries;
    std::map<std::uint32_t, std::unique_ptr<upstream_gate>> m_gates;
    std::unordered_map<endpoint, std::uint32_t> m_upstreamAt;
    std::map<std::uint32_t, wall_time> m_lastToken; ///< by upstream: when one was minted here
    std::vector<waiting_open> m_waitingOpens;
    std::map<std::uint32_t, std::uint64_t> m_inheritancePassedTo; ///< incarnation by upstream
    std::map<std::uint32_t, monotonic_time> m_gateSince;
    monotonic_time m_nextReview{};
    std::uint64_t m_reviewedMembers = 0;
    std::uint64_t m_reviewedRevision = 0;
    bool m_admitting = false;
    bool m_leaving = false;
};

} // namespace figstair
