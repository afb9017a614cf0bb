#include "figstair/core/gate/upstream_gate.h"

#include <algorithm>
#include <cassert>

namespace figstair {
namespace {

constexpr std::size_t minQueueCapacity = 16;
constexpr double maxSavedResends = 10.0;
constexpr milliseconds minRetryDelay{50};
constexpr milliseconds maxRetryDelay{2000};

/// Weight of a new sample in the moving average of service times.
constexpr double serviceTimeGain = 0.05;

/// An answer is slow when it takes longer than this multiple of the average service time, and
/// longer than minSlowAnswerMs.
constexpr double slowAnswerFactor = 5.0;
constexpr double minSlowAnswerMs = 20.0;

constexpr int slowAnswersUntilWarmUp = 3;
constexpr milliseconds flowExpiryInterval{1000};
constexpr std::uint32_t permille = 1000;
constexpr std::uint32_t maxAnswerParts = 65536;

std::size_t queueCapacity(const upstream_entry &upstream, const upstream_gate_settings &settings)
{
    return std::max(minQueueCapacity, settings.queueCapacityPerSlot * upstream.slots);
}

} // namespace

upstream_gate::upstream_gate(upstream_entry upstream, const upstream_gate_settings &settings,
                             const clock_source &clock, order_ledger &ledger, gate_sender &sender,
                             host_output &output, std::uint64_t firstCorrelation)
    : m_upstream(std::move(upstream))
    , m_settings(settings)
    , m_clock(clock)
    , m_ledger(ledger)
    , m_sender(sender)
    , m_output(output)
    , m_phase(upstreamChart())
    , m_queue(queueCapacity(m_upstream, settings))
    , m_resendBudget(settings.resendRatio, maxSavedResends)
    , m_nextCorrelation(firstCorrelation)
    , m_nextProbe(clock.monotonic())
    , m_lastActivity(clock.monotonic())
{
}

void upstream_gate::update(const upstream_entry &upstream)
{
    m_upstream = upstream;
}

void upstream_gate::submit(work_request request)
{
    m_lastActivity = m_clock.monotonic();
    addFlow(request.key.flowNonce);
    if (joinDuplicate(request)) {
        return;
    }
    work_item item;
    item.arrivedAt = m_clock.monotonic();
    item.deadline = item.arrivedAt + request.budget;
    item.gateSpanId = ++m_nextCorrelation;
    const std::uint64_t correlation = ++m_nextCorrelation;
    item.request = std::move(request);
    if (m_phase.is("down")) {
        setOrderState(item, order_state::notRun);
        refuse(item, refusal_status::placeAgain, milliseconds(0));
        return;
    }
    const std::uint64_t caller = item.request.callerHash;
    if (!canMeetDeadline(item, m_queue.aheadOf(caller))) {
        setOrderState(item, order_state::notRun);
        refuse(item, refusal_status::overloaded, retryDelay());
        return;
    }
    m_waiting.emplace(correlation, std::move(item));
    const auto dropped = m_queue.push(caller, correlation);
    if (dropped) {
        rejectWaiting(*dropped, refusal_status::overloaded);
    }
    dispatchWaiting();
}

bool upstream_gate::admitsFlow() const
{
    if (m_upstream.state != row_state::in || !(m_phase.is("ready") || m_phase.is("warming"))) {
        return false;
    }
    const std::uint64_t flowLimit =
        std::uint64_t{m_upstream.connections} * baseLimit() / m_upstream.slots;
    return m_flows.size() < flowLimit && m_queue.size() < m_queue.capacity() / 2
        && concurrencyLimit() > 0;
}

std::uint16_t upstream_gate::load() const
{
    const std::size_t capacity = std::max<std::size_t>(1, concurrencyLimit());
    const std::size_t requestLoad = (m_running.size() + m_queue.size()) * permille / capacity;
    const std::size_t flowLoad = m_flows.size() * permille / m_upstream.connections;
    return static_cast<std::uint16_t>(std::min<std::size_t>(requestLoad + flowLoad, 60000));
}

void upstream_gate::addFlow(std::uint64_t nonce)
{
    m_lastActivity = m_clock.monotonic();
    m_flows[nonce] = m_lastActivity + m_settings.flowIdleTimeout;
}

void upstream_gate::removeFlow(std::uint64_t nonce)
{
    m_flows.erase(nonce);
}

/// Merges a duplicate into the waiting or running request. Returns false when there is none.
bool upstream_gate::joinDuplicate(const work_request &request)
{
    for (work_map *items : {&m_waiting, &m_running}) {
        for (auto &[correlation, item] : *items) {
            const bool isDuplicate = item.request.key == request.key
                && item.request.firstPart == request.firstPart
                && item.request.partCount == request.partCount && !item.cancelled;
            if (isDuplicate) {
                item.request.caller = request.caller;
                return true;
            }
        }
    }
    return false;
}

/// The limit that the upstream's own state allows, before the load of other gates is subtracted.
std::uint32_t upstream_gate::baseLimit() const
{
    if (m_phase.is("ready")) {
        return m_upstream.slots;
    }
    if (m_phase.is("warming") || m_phase.is("draining")) {
        if (m_reportedPhase == upstream_phase::cold) {
            return std::min(m_upstream.coldLimit, m_upstream.slots);
        }
        return m_warmUp.limit(m_clock.monotonic(), m_upstream.slots, m_upstream.warmup);
    }
    return 0;
}

std::uint32_t upstream_gate::concurrencyLimit() const
{
    const std::uint32_t base = baseLimit();
    return base - std::min(base, m_foreignLoad);
}

void upstream_gate::dispatchWaiting()
{
    while (m_running.size() < concurrencyLimit()) {
        const auto next = m_queue.pop();
        if (!next) {
            return;
        }
        const auto found = m_waiting.find(*next);
        assert(found != m_waiting.end());
        if (!canMeetDeadline(found->second, 0)) {
            rejectWaiting(*next, refusal_status::overloaded);
            continue;
        }
        work_item item = std::move(found->second);
        m_waiting.erase(found);
        dispatch(*next, m_running.emplace(*next, std::move(item)).first->second);
    }
}

/// Whether a request with @p ahead requests queued before it is likely to be answered by its
/// deadline. While the concurrency limit is 0, as for an unknown upstream, no estimate is possible
/// and only the deadline itself is checked.
bool upstream_gate::canMeetDeadline(const work_item &item, std::size_t ahead) const
{
    const double completionIntervalMs =
        m_averageServiceMs / std::max<double>(1.0, concurrencyLimit());
    const double expectedMs =
        m_averageServiceMs + completionIntervalMs * static_cast<double>(ahead);
    const auto leftMs = static_cast<double>((item.deadline - m_clock.monotonic()).count());
    return leftMs > 0 && (concurrencyLimit() == 0 || expectedMs <= leftMs);
}

void upstream_gate::dispatch(std::uint64_t correlation, work_item &item)
{
    item.sent = true;
    item.sentAt = m_clock.monotonic();
    m_output.count(counter::requestsSent, 1);
    m_output.observe(distribution::queueWait, item.sentAt - item.arrivedAt);
    recordSpan("gate", item, item.gateSpanId, item.request.parentSpan,
               item.sentAt - item.arrivedAt);
    sendWork(correlation, item);
}

void upstream_gate::sendWork(std::uint64_t correlation, const work_item &item)
{
    datagram work;
    work.type = datagram_type::upstreamRequest;
    work.service = item.request.service;
    work.requestId = correlation;
    work.kind = item.request.kind;
    work.budgetMs = static_cast<std::uint32_t>((item.deadline - m_clock.monotonic()).count());
    work.firstPart = item.request.firstPart;
    work.partCount = item.request.partCount;
    work.traceId = item.request.traceId;
    work.spanId = correlation;
    work.payload = item.request.payload;
    m_sender.sendToUpstream(m_upstream, work);
}

void upstream_gate::onAnswer(const datagram &message)
{
    const auto item = m_running.find(message.requestId);
    if (item == m_running.end() || message.partTotal == 0 || message.partTotal > maxAnswerParts
        || message.part >= message.partTotal) {
        m_output.count(counter::lateAnswers, 1);
    } else if (relayPart(item->second, message)) {
        completeAnswer(item);
    }
    if (message.hasReport) {
        onReport(message.report);
    }
    dispatchWaiting();
}

/// Forwards one part of an answer to the caller and stores it when the request is an order. Returns
/// true when all requested parts have been forwarded.
bool upstream_gate::relayPart(work_item &item, const datagram &message)
{
    const work_request &request = item.request;
    if (item.partsSeen.empty()) {
        const std::uint32_t first = std::min(request.firstPart, message.partTotal);
        const std::uint32_t remaining = message.partTotal - first;
        item.partsMissing =
            request.partCount == 0 ? remaining : std::min(remaining, request.partCount);
        item.partsSeen.resize(item.partsMissing);
    }
    const std::uint32_t index = message.part - request.firstPart;
    if (message.part < request.firstPart || index >= item.partsSeen.size()
        || item.partsSeen[index]) {
        m_output.count(counter::lateAnswers, 1);
        return item.partsMissing == 0;
    }
    item.partsSeen[index] = true;
    item.lastPartAt = m_clock.monotonic();
    --item.partsMissing;
    if (request.kind == request_kind::order) {
        order_record *record = m_ledger.find(request.key);
        assert(record != nullptr);
        record->partTotal = message.partTotal;
        record->digest = message.digest;
        m_ledger.storePart(*record, message.part, message.payload);
    }
    datagram answer;
    answer.type = datagram_type::answer;
    answer.requestId = request.key.requestId;
    answer.part = message.part;
    answer.partTotal = message.partTotal;
    answer.digest = message.digest;
    answer.traceId = request.traceId;
    answer.payload = message.payload;
    byte_buffer token;
    if (request.renewToken) {
        token = m_sender.renewedToken(request, m_upstream.id);
        answer.token = token;
    }
    m_sender.sendToCaller(request.caller, answer);
    m_output.count(counter::answersRelayed, 1);
    return item.partsMissing == 0;
}

void upstream_gate::completeAnswer(work_map::iterator item)
{
    const milliseconds duration = m_clock.monotonic() - item->second.sentAt;
    setOrderState(item->second, order_state::answered);
    m_output.count(counter::requestsAnswered, 1);
    m_output.observe(distribution::upstreamTime, duration);
    m_resendBudget.onSuccess();
    m_warmUp.onCompletion();
    updateServiceTime(duration);
    releaseSlot(item);
}

void upstream_gate::releaseSlot(work_map::iterator item)
{
    const work_item &work = item->second;
    recordSpan("upstream", work, item->first, work.gateSpanId, m_clock.monotonic() - work.sentAt);
    m_running.erase(item);
}

/// Records a trace span that ends now.
void upstream_gate::recordSpan(std::string_view name, const work_item &item, std::uint64_t spanId,
                               std::uint64_t parentId, milliseconds duration)
{
    span_record span;
    span.traceId = item.request.traceId;
    span.spanId = spanId;
    span.parentId = parentId;
    span.name = name;
    span.start = m_clock.wall() - duration;
    span.duration = duration;
    span.upstreamId = m_upstream.id;
    m_output.recordSpan(span);
}

void upstream_gate::onRefusal(const datagram &message)
{
    const auto item = m_running.find(message.requestId);
    if (item == m_running.end()) {
        m_output.count(counter::lateAnswers, 1);
        return;
    }
    const bool wasOverloaded = message.status == refusal_status::overloaded;
    setOrderState(item->second, order_state::notRun);
    if (!item->second.cancelled) {
        refuse(item->second, refusal_status::overloaded, milliseconds(message.retryAfterMs));
    }
    releaseSlot(item);
    if (wasOverloaded && m_phase.fire("overloaded")) {
        startWarmUp(static_cast<std::uint32_t>(std::max<std::size_t>(1, m_running.size() / 2)));
    }
    if (message.hasReport) {
        onReport(message.report);
    }
    dispatchWaiting();
}

void upstream_gate::setOrderState(const work_item &item, order_state state)
{
    if (item.request.kind != request_kind::order) {
        return;
    }
    if (state == order_state::unknown) {
        m_output.logEvent("order_unknown",
                          {{"reason", "sent without an answer"}, {"upstream", m_upstream.name}});
    }
    order_record *record = m_ledger.find(item.request.key);
    assert(record != nullptr);
    record->state = state;
}

/// Sends a refusal to the caller. An order is refused as notRun unless its outcome is unknown.
void upstream_gate::refuse(const work_item &item, refusal_status status, milliseconds retryAfter)
{
    datagram refusal;
    refusal.type = datagram_type::refusal;
    refusal.requestId = item.request.key.requestId;
    refusal.status = status;
    if (item.request.kind == request_kind::order && status != refusal_status::unknown) {
        refusal.status = refusal_status::notRun;
    }
    refusal.retryAfterMs = static_cast<std::uint32_t>(retryAfter.count());
    refusal.traceId = item.request.traceId;
    m_sender.sendToCaller(item.request.caller, refusal);
    m_output.count(refusalCounter(refusal.status), 1);
}

/// Refuses a waiting request, which was never sent to the upstream.
void upstream_gate::rejectWaiting(std::uint64_t correlation, refusal_status idempotentStatus)
{
    const auto found = m_waiting.find(correlation);
    assert(found != m_waiting.end());
    setOrderState(found->second, order_state::notRun);
    refuse(found->second, idempotentStatus, retryDelay());
    m_waiting.erase(found);
}

/// Ends a running request that will get no answer. The outcome of an order is unknown then, since
/// the upstream may have run it.
void upstream_gate::failRunning(work_map::iterator item, refusal_status idempotentStatus)
{
    const bool isOrder = item->second.request.kind == request_kind::order;
    if (!item->second.cancelled) {
        setOrderState(item->second, order_state::unknown);
        refuse(item->second, isOrder ? refusal_status::unknown : idempotentStatus, retryDelay());
    }
    releaseSlot(item);
}

/// Refuses a running request that is past its deadline and asks the upstream to cancel it. The
/// request holds its slot until the upstream answers or cancelGracePeriod has passed.
void upstream_gate::cancelExpired(work_map::iterator item)
{
    const bool isOrder = item->second.request.kind == request_kind::order;
    setOrderState(item->second, order_state::unknown);
    refuse(item->second, isOrder ? refusal_status::unknown : refusal_status::overloaded,
           retryDelay());
    item->second.cancelled = true;
    datagram cancel;
    cancel.type = datagram_type::cancel;
    cancel.requestId = item->first;
    m_sender.sendToUpstream(m_upstream, cancel);
}

void upstream_gate::onReport(const upstream_report &report)
{
    if (report.startId == m_previousStartId && report.startId != m_startId) {
        return; // delayed report from before the last restart
    }
    m_lastReportAt = m_clock.monotonic();
    m_unansweredProbes = 0;
    m_reportedPhase = report.phase;
    m_reportedInUse = report.slotsInUse;
    detectRestart(report);
    updateForeignLoad(report);
    const bool wasUnavailable = m_phase.is("unknown") || m_phase.is("down");
    std::string event = "reportReady";
    if (report.phase == upstream_phase::cold) {
        event = "reportCold";
    } else if (report.phase == upstream_phase::draining) {
        event = "reportDraining";
    }
    if (m_phase.fire(event) && (wasUnavailable || m_phase.is("warming"))) {
        const bool isReady = report.phase != upstream_phase::cold;
        const std::uint32_t inUse = wasUnavailable && isReady ? report.slotsInUse : 0;
        startWarmUp(std::clamp(inUse, m_upstream.coldLimit, m_upstream.slots));
    }
    dispatchWaiting();
}

void upstream_gate::detectRestart(const upstream_report &report)
{
    if (m_startId != 0 && report.startId != m_startId) {
        m_previousStartId = m_startId;
        onUpstreamRestart();
    }
    m_startId = report.startId;
}

/// Restarts the warm-up and fails what was running, since a restarted upstream no longer has it.
void upstream_gate::onUpstreamRestart()
{
    m_output.count(counter::upstreamStarts, 1);
    m_output.logEvent("upstream_started", {{"upstream", m_upstream.name}});
    m_phase.fire("restarted");
    startWarmUp(m_upstream.coldLimit);
    while (!m_running.empty()) {
        failRunning(m_running.begin(), refusal_status::overloaded);
    }
}

/// Estimates the load that other gates put on the upstream: the slots in use beyond this gate's own
/// requests. The peak within foreignLoadHoldTime lowers concurrencyLimit().
void upstream_gate::updateForeignLoad(const upstream_report &report)
{
    const auto own = static_cast<std::uint32_t>(m_running.size());
    const std::uint32_t foreign = report.slotsInUse - std::min(report.slotsInUse, own);
    const monotonic_time now = m_clock.monotonic();
    if (foreign >= m_foreignLoad || now >= m_foreignLoadExpiry) {
        m_foreignLoad = foreign;
        m_foreignLoadExpiry = now + m_settings.foreignLoadHoldTime;
    }
}

void upstream_gate::updateServiceTime(milliseconds duration)
{
    const auto durationMs = static_cast<double>(duration.count());
    if (m_averageServiceMs > 0 && durationMs > slowAnswerFactor * m_averageServiceMs
        && durationMs > minSlowAnswerMs) {
        ++m_consecutiveSlowAnswers;
    } else {
        m_consecutiveSlowAnswers = 0;
    }
    m_averageServiceMs = m_averageServiceMs == 0
        ? std::max(1.0, durationMs)
        : m_averageServiceMs + serviceTimeGain * (durationMs - m_averageServiceMs);
    if (m_consecutiveSlowAnswers >= slowAnswersUntilWarmUp && m_phase.fire("overloaded")) {
        m_consecutiveSlowAnswers = 0;
        startWarmUp(m_upstream.coldLimit);
    }
}

void upstream_gate::startWarmUp(std::uint32_t initialLimit)
{
    m_warmUp.start(m_clock.monotonic(), initialLimit);
    m_output.logEvent("upstream_phase",
                      {{"upstream", m_upstream.name},
                       {"phase", m_phase.state()},
                       {"limit", std::to_string(concurrencyLimit())}});
}

void upstream_gate::tick()
{
    if (m_phase.is("warming") && m_reportedPhase != upstream_phase::cold
        && m_warmUp.isComplete(m_clock.monotonic(), m_upstream.slots, m_upstream.warmup)) {
        m_phase.fire("warmedUp");
    }
    probeIfDue();
    checkRunning();
    rejectExpired();
    expireFlows();
    dispatchWaiting();
}

void upstream_gate::probeIfDue()
{
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + m_settings.probeInterval;
    if (m_unansweredProbes >= m_settings.probesMissedUntilDown && m_phase.fire("probesMissed")) {
        m_output.logEvent("upstream_down", {{"upstream", m_upstream.name}});
        while (!m_running.empty()) {
            failRunning(m_running.begin(), refusal_status::placeAgain);
        }
        while (const auto waiting = m_queue.pop()) {
            rejectWaiting(*waiting, refusal_status::placeAgain);
        }
    }
    ++m_unansweredProbes;
    datagram probe;
    probe.type = datagram_type::probe;
    probe.sequence = ++m_probeSequence;
    m_sender.sendToUpstream(m_upstream, probe);
}

void upstream_gate::checkRunning()
{
    const monotonic_time now = m_clock.monotonic();
    for (auto item = m_running.begin(); item != m_running.end();) {
        const auto current = item++;
        work_item &work = current->second;
        if (work.cancelled) {
            if (now >= work.deadline + m_settings.cancelGracePeriod) {
                releaseSlot(current);
            }
        } else if (now >= work.deadline) {
            cancelExpired(current);
        } else if (hasLostParts(work)) {
            releaseSlot(current);
        } else {
            resendIfLost(current->first, work);
        }
    }
}

void upstream_gate::rejectExpired()
{
    const monotonic_time now = m_clock.monotonic();
    std::vector<std::pair<std::uint64_t, std::uint64_t>> expired;
    for (const auto &[correlation, item] : m_waiting) {
        if (now >= item.deadline) {
            expired.emplace_back(item.request.callerHash, correlation);
        }
    }
    for (const auto &[caller, correlation] : expired) {
        m_queue.remove(caller, correlation);
        rejectWaiting(correlation, refusal_status::overloaded);
    }
}

/// Resends an idempotent request once when a later report shows that requests were lost and the
/// retry budget allows it.
void upstream_gate::resendIfLost(std::uint64_t correlation, work_item &item)
{
    const monotonic_time now = m_clock.monotonic();
    const bool isLate = now - item.sentAt >= m_settings.resendDelay;
    if (item.request.kind == request_kind::idempotent && isLate && !item.resent
        && reportShowsLoss(item.sentAt) && item.partsSeen.empty() && m_resendBudget.tryAcquire()) {
        item.resent = true;
        sendWork(correlation, item);
    }
}

/// Whether a report received after @p since shows fewer requests in use than are running here.
bool upstream_gate::reportShowsLoss(monotonic_time since) const
{
    return m_lastReportAt > since + milliseconds(1) && m_reportedInUse < m_running.size();
}

/// Whether the upstream has finished an answer of which some parts were lost on the way. The slot
/// can be released, because the caller requests missing parts itself.
bool upstream_gate::hasLostParts(const work_item &item) const
{
    return item.request.kind == request_kind::idempotent && !item.partsSeen.empty()
        && m_clock.monotonic() - item.lastPartAt >= m_settings.partTimeout
        && reportShowsLoss(item.lastPartAt);
}

void upstream_gate::expireFlows()
{
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextFlowCheck) {
        return;
    }
    m_nextFlowCheck = now + flowExpiryInterval;
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
        flow = flow->second <= now ? m_flows.erase(flow) : std::next(flow);
    }
}

void upstream_gate::failAllRequests()
{
    while (!m_running.empty()) {
        failRunning(m_running.begin(), refusal_status::placeAgain);
    }
    while (const auto waiting = m_queue.pop()) {
        rejectWaiting(*waiting, refusal_status::placeAgain);
    }
}

void upstream_gate::resetPhase()
{
    m_phase = chart_position(upstreamChart());
    m_unansweredProbes = 0;
    m_nextProbe = m_clock.monotonic();
}

bool upstream_gate::hasOrders() const
{
    const auto isOrder = [](const auto &item) {
        return item.second.request.kind == request_kind::order;
    };
    return std::any_of(m_running.begin(), m_running.end(), isOrder)
        || std::any_of(m_waiting.begin(), m_waiting.end(), isOrder);
}

milliseconds upstream_gate::retryDelay() const
{
    const double completionIntervalMs =
        m_averageServiceMs / std::max<double>(1, concurrencyLimit());
    const milliseconds delay(
        static_cast<std::int64_t>(completionIntervalMs * static_cast<double>(m_queue.size())));
    return std::clamp(delay, minRetryDelay, maxRetryDelay);
}

} // namespace figstair
