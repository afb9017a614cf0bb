#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/fair_queue.h"
#include "figstair/core/gate/host_output.h"
#include "figstair/core/gate/order_ledger.h"
#include "figstair/core/gate/retry_budget.h"
#include "figstair/core/gate/warm_up.h"
#include "figstair/core/state_chart.h"
#include "figstair/table/table.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Limits and timeouts of an upstream_gate.
struct upstream_gate_settings
{
    milliseconds probeInterval{500};
    int probesMissedUntilDown = 3;
    milliseconds flowIdleTimeout{60000};
    milliseconds cancelGracePeriod{5000}; ///< a cancelled request holds its slot this long
    std::size_t queueCapacityPerSlot = 8;
    double resendRatio = 0.1; ///< resends allowed per answered request
    milliseconds resendDelay{500}; ///< age at which an unanswered request may be resent
    milliseconds foreignLoadHoldTime{1000}; ///< the peak load of other gates counts this long
    milliseconds partTimeout{200}; ///< longest pause between two parts of an answer
};

/// One request on its way to an upstream.
struct work_request
{
    request_kind kind = request_kind::idempotent;
    endpoint caller;
    std::uint64_t callerHash = 0;
    order_key key;
    std::string service;
    std::uint32_t firstPart = 0; ///< first requested part of the answer
    std::uint32_t partCount = 0; ///< 0 for all parts from firstPart on
    milliseconds budget{0}; ///< time left until the caller's deadline
    std::uint64_t traceId = 0;
    std::uint64_t parentSpan = 0;
    byte_buffer payload;
    /// The caller's token names another gate or is older than half its lifetime.
    bool renewToken = false;
};

/// Sends to callers and upstreams on behalf of a gate.
class gate_sender
{
public:
    virtual ~gate_sender() = default;

    virtual void sendToUpstream(const upstream_entry &upstream, const datagram &message) = 0;
    virtual void sendToCaller(const endpoint &caller, const datagram &message) = 0;

    /// A token for the request's flow that names this host as gate; empty when none can be minted.
    virtual byte_buffer renewedToken(const work_request &request, std::uint32_t upstreamId) = 0;
};

/// Sends one host's requests to one upstream. Does admission control, queueing, dispatch, matching
/// of answers to requests, and tracking of the upstream's phase from its reports and behaviour.
/// Other gates may send to the same upstream while hosts disagree about its gate; their load is
/// estimated from the reports. Does no I/O itself: messages leave through gate_sender.
class upstream_gate
{
public:
    /// The references must outlive the gate. Correlation ids ascend from @p firstCorrelation.
    upstream_gate(upstream_entry upstream, const upstream_gate_settings &settings,
                  const clock_source &clock, order_ledger &ledger, gate_sender &sender,
                  host_output &output, std::uint64_t firstCorrelation);

    const upstream_entry &upstream() const { return m_upstream; }

    /// Applies a changed table entry (weight, limits, state) of the same upstream. The capacity of
    /// the queue stays as it was, also when the number of slots changes.
    void update(const upstream_entry &upstream);

    /// Queues a request and dispatches it as soon as a slot is free. A duplicate of a waiting or
    /// running request, with the same key and range of parts, is merged into it; answers then go
    /// to the duplicate's caller address. The request is refused when the upstream is down or the
    /// deadline cannot be met. When the queue is full, either this request is refused or the newest
    /// one of the caller with the most waiting requests, see fair_queue. An order must have a
    /// pending record in the ledger.
    void submit(work_request request);

    /// True when a new flow may be placed on the upstream.
    bool admitsFlow() const;

    /// True in the initial state, before a report has arrived or enough probes were missed.
    bool isUnknown() const { return m_phase.is("unknown"); }

    /// Load in per mille: requests relative to concurrencyLimit() plus flows relative to the
    /// upstream's connections. Can exceed 1000.
    std::uint16_t load() const;

    /// Counts a flow until it is removed or has been idle for flowIdleTimeout; restarts the idle
    /// timeout of a known flow.
    void addFlow(std::uint64_t nonce);
    void removeFlow(std::uint64_t nonce);

    void onAnswer(const datagram &message);
    void onRefusal(const datagram &message);
    void onReport(const upstream_report &report);

    void tick();

    /// Fails all waiting and running requests without sending anything to the upstream, which
    /// operators took out of service.
    void failAllRequests();

    /// Returns to the initial phase and makes a probe due at once. Running requests are
    /// kept.
    void resetPhase();

    bool hasWork() const { return !m_running.empty() || m_queue.size() > 0; }
    /// Whether any waiting or running request is an order.
    bool hasOrders() const;

    /// When a request was last submitted or a flow last added.
    monotonic_time lastActivity() const { return m_lastActivity; }
    std::size_t runningCount() const { return m_running.size(); }
    std::size_t waitingCount() const { return m_queue.size(); }
    std::size_t flowCount() const { return m_flows.size(); }

    /// State in charts/upstream.scxml.
    const std::string &phase() const { return m_phase.state(); }

    /// Number of requests that may run on the upstream concurrently; 0 while its state is unknown
    /// or down.
    std::uint32_t concurrencyLimit() const;

private:
    struct work_item
    {
        work_request request;
        monotonic_time arrivedAt{};
        monotonic_time deadline{};
        monotonic_time sentAt{};
        bool sent = false;
        bool cancelled = false; ///< already refused; still holds its slot
        bool resent = false;
        monotonic_time lastPartAt{};
        std::vector<bool> partsSeen;
        std::uint32_t partsMissing = 0;
        std::uint64_t gateSpanId = 0;
    };
    using work_map = std::unordered_map<std::uint64_t, work_item>;

    bool joinDuplicate(const work_request &request);
    void dispatchWaiting();
    bool canMeetDeadline(const work_item &item, std::size_t ahead) const;
    void dispatch(std::uint64_t correlation, work_item &item);
    void sendWork(std::uint64_t correlation, const work_item &item);
    bool relayPart(work_item &item, const datagram &message);
    void completeAnswer(work_map::iterator item);
    void refuse(const work_item &item, refusal_status status, milliseconds retryAfter);
    void setOrderState(const work_item &item, order_state state);
    void rejectWaiting(std::uint64_t correlation, refusal_status idempotentStatus);
    void failRunning(work_map::iterator item, refusal_status idempotentStatus);
    void releaseSlot(work_map::iterator item);
    void recordSpan(std::string_view name, const work_item &item, std::uint64_t spanId,
                    std::uint64_t parentId, milliseconds duration);
    void cancelExpired(work_map::iterator item);
    void checkRunning();
    void rejectExpired();
    bool reportShowsLoss(monotonic_time since) const;
    void resendIfLost(std::uint64_t correlation, work_item &item);
    bool hasLostParts(const work_item &item) const;
    void probeIfDue();
    void expireFlows();
    void detectRestart(const upstream_report &report);
    void onUpstreamRestart();
    void updateForeignLoad(const upstream_report &report);
    void updateServiceTime(milliseconds duration);
    void startWarmUp(std::uint32_t initialLimit);
    milliseconds retryDelay() const;
    std::uint32_t baseLimit() const;

    upstream_entry m_upstream;
    upstream_gate_settings m_settings;
    const clock_source &m_clock;
    order_ledger &m_ledger;
    gate_sender &m_sender;
    host_output &m_output;
    chart_position m_phase;
    warm_up m_warmUp;
    fair_queue m_queue;
    retry_budget m_resendBudget;
    work_map m_waiting;
    work_map m_running;
    std::uint64_t m_nextCorrelation;
    std::unordered_map<std::uint64_t, monotonic_time> m_flows; ///< idle expiry by nonce
    std::uint64_t m_startId = 0;
    std::uint64_t m_previousStartId = 0;
    upstream_phase m_reportedPhase = upstream_phase::ready;
    std::uint32_t m_reportedInUse = 0;
    std::uint32_t m_foreignLoad = 0; ///< slots that other gates use
    monotonic_time m_foreignLoadExpiry{};
    double m_averageServiceMs = 0;
    int m_consecutiveSlowAnswers = 0;
    int m_unansweredProbes = 0;
    std::uint64_t m_probeSequence = 0;
    monotonic_time m_nextProbe{};
    monotonic_time m_nextFlowCheck{};
    monotonic_time m_lastReportAt{};
    monotonic_time m_lastActivity{};
};

} // namespace figstair
