#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/fair_queue.h"
#include "figstair/core/host_output.h"
#include "figstair/core/order_ledger.h"
#include "figstair/core/retry_budget.h"
#include "figstair/core/state_chart.h"
#include "figstair/core/warm_up.h"
#include "figstair/table/table.h"
#include "figstair/wire/datagram.h"

namespace figstair {

struct upstream_gate_settings
{
    milliseconds probeInterval{500};
    int probesMissedUntilDown = 3;
    milliseconds flowIdleTimeout{60000};
    milliseconds cancelGracePeriod{5000}; ///< an unanswered request counts for its slot as long
    std::size_t queueCapacityPerSlot = 8;
    double retryRatio = 0.1;
    milliseconds resendDelay{500};
    milliseconds foreignLoadHoldTime{1000}; ///< another gate's greatest load counts for this time
    milliseconds partTimeout{200}; ///< longest pause between parts of one answer
};

/// One request on its way to an upstream.
struct work_request
{
    request_kind kind = request_kind::idempotent;
    endpoint caller;
    std::uint64_t callerHash = 0;
    order_key key;
    std::string service;
    std::uint32_t firstPart = 0;
    std::uint32_t partCount = 0;
    milliseconds budget{0};
    std::uint64_t traceId = 0;
    std::uint64_t parentSpan = 0;
    byte_buffer payload;
    bool renewToken = false; ///< the caller's token names another gate
};

/// Sends to callers and upstreams on behalf of a gate.
class gate_sender
{
public:
    virtual ~gate_sender() = default;

    virtual void sendToUpstream(const upstream_entry &upstream, const datagram &message) = 0;
    virtual void sendToCaller(const endpoint &caller, const datagram &message) = 0;

    /// A token for the request's flow that names this host as gate; empty when none can be made.
    virtual byte_buffer renewedToken(const work_request &request, std::uint32_t upstreamId) = 0;
};

/// The only speaker to one upstream: admits, queues, sends, matches answers, and judges the
/// upstream's health from its reports and from what it does. A state machine without I/O.
class upstream_gate
{
public:
    upstream_gate(upstream_entry upstream, const upstream_gate_settings &settings,
                  const clock_source &clock, order_ledger &ledger, gate_sender &sender,
                  host_output &output, std::uint64_t firstCorrelation);

    const upstream_entry &upstream() const { return m_upstream; }

    /// Takes changed weights, limits and state of the same upstream.
    void update(const upstream_entry &upstream);

    /// Queues a request. Duplicates of one that waits or runs are joined to it. An order has to
    /// have a pending record.
    void submit(work_request request);

    /// True when a new flow may be placed here.
    bool admitsFlow() const;

    /// True until the first report has told the upstream's state.
    bool isUnknown() const { return m_phase.is("unknown"); }

    /// Load in per mille of what the upstream bears now.
    std::uint16_t load() const;

    void addFlow(std::uint64_t nonce);
    void removeFlow(std::uint64_t nonce);

    void onAnswer(const datagram &message);
    void onRefusal(const datagram &message);
    void onReport(const upstream_report &report);

    void tick();

    /// Ends everything without another packet to the upstream: operators took it out.
    void failAllRequests();

    /// Forgets what is believed of the upstream; work that was sent stays.
    void resetHealth();

    bool hasWork() const { return !m_running.empty() || m_queue.size() > 0; }
    bool hasOrders() const;
    monotonic_time lastActivity() const { return m_lastActivity; }
    std::size_t runningCount() const { return m_running.size(); }
    std::size_t waitingCount() const { return m_queue.size(); }
    std::size_t flowCount() const { return m_flows.size(); }
    const std::string &phase() const { return m_phase.state(); }

    /// Requests that may be at the upstream at one time now.
    std::uint32_t concurrencyLimit() const;

private:
    struct work_item
    {
        work_request request;
        monotonic_time arrivedAt{};
        monotonic_time deadline{};
        monotonic_time sentAt{};
        bool sent = false;
        bool cancelled = false; ///< the caller has been told; only the slot is still counted
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
    retry_budget m_retryBudget;
    work_map m_waiting;
    work_map m_running;
    std::uint64_t m_nextCorrelation;
    std::unordered_map<std::uint64_t, monotonic_time> m_flows;
    std::uint64_t m_startId = 0;
    std::uint64_t m_previousStartId = 0;
    upstream_phase m_reportedPhase = upstream_phase::ready;
    std::uint32_t m_reportedInUse = 0;
    std::uint32_t m_foreignLoad = 0;
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
