#include "figstair/core/upstream_gate.h"

#include <algorithm>
#include <cassert>

namespace figstair {
namespace {

constexpr std::size_t minQueueCapacity = 16;
constexpr double retriesKept = 10.0;
constexpr milliseconds minRetryTime{50};
constexpr milliseconds maxRetryTime{2000};
constexpr double usualServiceGain = 0.05;
constexpr double slowFactor = 5.0;
constexpr double slowFloorMs = 20.0;
constexpr int slowAnswersUntilFallBack = 3;
constexpr milliseconds flowCheckInterval{1000};
constexpr std::uint32_t permille = 1000;
constexpr std::uint32_t maxParts = 65536;

std::size_t queueCapacity(const upstream_entry &upstream, const upstream_gate_settings &settings)
{
    return std::max(minQueueCapacity, settings.queuePerSlot * upstream.slots);
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
    , m_retries(settings.retryShare, retriesKept)
    , m_nextCorrelation(firstCorrelation)
    , m_nextProbe(clock.monotonic())
    , m_lastUse(clock.monotonic())
{
}

void upstream_gate::update(const upstream_entry &upstream)
{
    m_upstream = upstream;
}

void upstream_gate::accept(work_request request)
{
    m_lastUse = m_clock.monotonic();
    addFlow(request.key.flowNonce);
    if (joinDuplicate(request)) {
        return;
    }
    work_item item;
    item.arrivedAt = m_clock.monotonic();
    item.deadline = item.arrivedAt + request.budget;
    item.gateSpan = ++m_nextCorrelation;
    const std::uint64_t correlation = ++m_nextCorrelation;
    item.request = std::move(request);
    if (m_phase.is("down")) {
        settleOrder(item, order_state::notRun);
        refuse(item, refusal_status::placeAgain, milliseconds(0));
        return;
    }
    const std::uint64_t caller = item.request.callerHash;
    if (!canEndInTime(item, m_queue.aheadOf(caller))) {
        settleOrder(item, order_state::notRun);
        refuse(item, refusal_status::overloaded, retryTime());
        return;
    }
    m_waiting.emplace(correlation, std::move(item));
    const auto dropped = m_queue.push(caller, correlation);
    if (dropped) {
        dropUnsent(*dropped, refusal_status::overloaded);
    }
    pump();
}

bool upstream_gate::admitsFlow() const
{
    if (m_upstream.state != row_state::in || !(m_phase.is("ready") || m_phase.is("warming"))) {
        return false;
    }
    const std::uint64_t flowLimit =
        std::uint64_t{m_upstream.connections} * baseLimit() / m_upstream.slots;
    return m_flows.size() < flowLimit && m_queue.size() < m_queue.capacity() / 2 && limit() > 0;
}

std::uint16_t upstream_gate::load() const
{
    const std::size_t bears = std::max<std::size_t>(1, limit());
    const std::size_t work = (m_running.size() + m_queue.size()) * permille / bears;
    const std::size_t flows = m_flows.size() * permille / m_upstream.connections;
    return static_cast<std::uint16_t>(std::min<std::size_t>(work + flows, 60000));
}

void upstream_gate::addFlow(std::uint64_t nonce)
{
    m_lastUse = m_clock.monotonic();
    m_flows[nonce] = m_lastUse + m_settings.flowIdleTime;
}

void upstream_gate::removeFlow(std::uint64_t nonce)
{
    m_flows.erase(nonce);
}

bool upstream_gate::joinDuplicate(const work_request &request)
{
    for (work_map *items : {&m_waiting, &m_running}) {
        for (auto &[correlation, item] : *items) {
            const bool same = item.request.key == request.key
                && item.request.firstPart == request.firstPart
                && item.request.partCount == request.partCount && !item.cancelled;
            if (same) {
                item.request.caller = request.caller;
                return true;
            }
        }
    }
    return false;
}

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

std::uint32_t upstream_gate::limit() const
{
    const std::uint32_t base = baseLimit();
    return base - std::min(base, m_foreign);
}

void upstream_gate::pump()
{
    while (m_running.size() < limit()) {
        const auto next = m_queue.pop();
        if (!next) {
            return;
        }
        const auto found = m_waiting.find(*next);
        assert(found != m_waiting.end());
        if (!canEndInTime(found->second, 0)) {
            dropUnsent(*next, refusal_status::overloaded);
            continue;
        }
        work_item item = std::move(found->second);
        m_waiting.erase(found);
        send(*next, m_running.emplace(*next, std::move(item)).first->second);
    }
}

/// Whether a request with @p ahead others before it is likely to be answered by its deadline. While
/// the upstream's state is not known, it is given the benefit of the doubt.
bool upstream_gate::canEndInTime(const work_item &item, std::size_t ahead) const
{
    const double perSlot = m_usualServiceMs / std::max<double>(1.0, limit());
    const double expectedMs = m_usualServiceMs + perSlot * static_cast<double>(ahead);
    const auto leftMs = static_cast<double>((item.deadline - m_clock.monotonic()).count());
    return leftMs > 0 && (limit() == 0 || expectedMs <= leftMs);
}

void upstream_gate::send(std::uint64_t correlation, work_item &item)
{
    item.sent = true;
    item.sentAt = m_clock.monotonic();
    m_output.count(counter::requestsSent, 1);
    m_output.observe(distribution::queueWait, item.sentAt - item.arrivedAt);
    recordSpan("gate", item, item.gateSpan, item.request.parentSpan, item.sentAt - item.arrivedAt);
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
    m_sender.toUpstream(m_upstream, work);
}

void upstream_gate::onAnswer(const datagram &message)
{
    const auto item = m_running.find(message.requestId);
    if (item == m_running.end() || message.partTotal == 0 || message.partTotal > maxParts
        || message.part >= message.partTotal) {
        m_output.count(counter::lateAnswers, 1);
    } else if (relayPart(item->second, message)) {
        completeAnswer(item);
    }
    if (message.hasReport) {
        onReport(message.report);
    }
    pump();
}

bool upstream_gate::relayPart(work_item &item, const datagram &message)
{
    const work_request &request = item.request;
    if (item.partsSeen.empty()) {
        const std::uint32_t first = std::min(request.firstPart, message.partTotal);
        const std::uint32_t rest = message.partTotal - first;
        item.partsMissing = request.partCount == 0 ? rest : std::min(rest, request.partCount);
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
        m_ledger.keepPart(*record, message.part, message.payload);
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
    m_sender.toCaller(request.caller, answer);
    m_output.count(counter::answersRelayed, 1);
    return item.partsMissing == 0;
}

void upstream_gate::completeAnswer(work_map::iterator item)
{
    const milliseconds duration = m_clock.monotonic() - item->second.sentAt;
    settleOrder(item->second, order_state::answered);
    m_output.count(counter::requestsAnswered, 1);
    m_output.observe(distribution::upstreamTime, duration);
    m_retries.onSuccess();
    m_warmUp.onCompletion();
    noteServiceTime(duration);
    forget(item);
}

void upstream_gate::forget(work_map::iterator item)
{
    const work_item &work = item->second;
    recordSpan("upstream", work, item->first, work.gateSpan, m_clock.monotonic() - work.sentAt);
    m_running.erase(item);
}

/// Records a step that ends now.
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
    const bool wasShed = message.status == refusal_status::overloaded;
    settleOrder(item->second, order_state::notRun);
    if (!item->second.cancelled) {
        refuse(item->second, refusal_status::overloaded, milliseconds(message.retryAfterMs));
    }
    forget(item);
    if (wasShed && m_phase.fire("shed")) {
        enterWarming(static_cast<std::uint32_t>(std::max<std::size_t>(1, m_running.size() / 2)));
    }
    if (message.hasReport) {
        onReport(message.report);
    }
    pump();
}

void upstream_gate::settleOrder(const work_item &item, order_state state)
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
    m_sender.toCaller(item.request.caller, refusal);
    m_output.count(refusalCounter(refusal.status), 1);
}

/// Refuses a request that was never sent.
void upstream_gate::dropUnsent(std::uint64_t correlation, refusal_status idempotentStatus)
{
    const auto found = m_waiting.find(correlation);
    assert(found != m_waiting.end());
    settleOrder(found->second, order_state::notRun);
    refuse(found->second, idempotentStatus, retryTime());
    m_waiting.erase(found);
}

/// Ends a request that was sent and will get no answer.
void upstream_gate::failSent(work_map::iterator item, refusal_status idempotentStatus)
{
    const bool isOrder = item->second.request.kind == request_kind::order;
    if (!item->second.cancelled) {
        settleOrder(item->second, order_state::unknown);
        refuse(item->second, isOrder ? refusal_status::unknown : idempotentStatus, retryTime());
    }
    forget(item);
}

/// Tells the caller of a request past its deadline and asks the upstream to stop. The slot counts
/// until the upstream answers or some time has passed.
void upstream_gate::cancelLate(work_map::iterator item)
{
    const bool isOrder = item->second.request.kind == request_kind::order;
    settleOrder(item->second, order_state::unknown);
    refuse(item->second, isOrder ? refusal_status::unknown : refusal_status::overloaded,
           retryTime());
    item->second.cancelled = true;
    datagram cancel;
    cancel.type = datagram_type::cancel;
    cancel.requestId = item->first;
    m_sender.toUpstream(m_upstream, cancel);
}

void upstream_gate::onReport(const upstream_report &report)
{
    if (report.startId == m_previousStartId && report.startId != m_startId) {
        return; // a late report from before the last start
    }
    m_reportAt = m_clock.monotonic();
    m_probesUnanswered = 0;
    m_reportedPhase = report.phase;
    m_reportedInUse = report.slotsInUse;
    noteStart(report);
    noteForeignLoad(report);
    const bool wasBlind = m_phase.is("unknown") || m_phase.is("down");
    std::string event = "reportReady";
    if (report.phase == upstream_phase::cold) {
        event = "reportCold";
    } else if (report.phase == upstream_phase::draining) {
        event = "reportDraining";
    }
    if (m_phase.fire(event) && (wasBlind || m_phase.is("warming"))) {
        const bool isReady = report.phase != upstream_phase::cold;
        const std::uint32_t inUse = wasBlind && isReady ? report.slotsInUse : 0;
        enterWarming(std::clamp(inUse, m_upstream.coldLimit, m_upstream.slots));
    }
    pump();
}

void upstream_gate::noteStart(const upstream_report &report)
{
    if (m_startId != 0 && report.startId != m_startId) {
        m_previousStartId = m_startId;
        onUpstreamRestart();
    }
    m_startId = report.startId;
}

void upstream_gate::onUpstreamRestart()
{
    m_output.count(counter::upstreamStarts, 1);
    m_output.logEvent("upstream_started", {{"upstream", m_upstream.name}});
    m_phase.fire("startChanged");
    enterWarming(m_upstream.coldLimit);
    while (!m_running.empty()) {
        failSent(m_running.begin(), refusal_status::overloaded);
    }
}

/// Another gate may be sending too: what the upstream has in use beyond the own requests is taken
/// off the own limit.
void upstream_gate::noteForeignLoad(const upstream_report &report)
{
    const auto own = static_cast<std::uint32_t>(m_running.size());
    const std::uint32_t foreign = report.slotsInUse - std::min(report.slotsInUse, own);
    const monotonic_time now = m_clock.monotonic();
    if (foreign >= m_foreign || now >= m_foreignUntil) {
        m_foreign = foreign;
        m_foreignUntil = now + m_settings.foreignMemory;
    }
}

void upstream_gate::noteServiceTime(milliseconds duration)
{
    const auto value = static_cast<double>(duration.count());
    if (m_usualServiceMs > 0 && value > slowFactor * m_usualServiceMs && value > slowFloorMs) {
        ++m_slowAnswers;
    } else {
        m_slowAnswers = 0;
    }
    m_usualServiceMs = m_usualServiceMs == 0
        ? std::max(1.0, value)
        : m_usualServiceMs + usualServiceGain * (value - m_usualServiceMs);
    if (m_slowAnswers >= slowAnswersUntilFallBack && m_phase.fire("shed")) {
        m_slowAnswers = 0;
        enterWarming(m_upstream.coldLimit);
    }
}

void upstream_gate::enterWarming(std::uint32_t base)
{
    m_warmUp.start(m_clock.monotonic(), base);
    m_output.logEvent("upstream_phase",
                      {{"upstream", m_upstream.name},
                       {"phase", m_phase.state()},
                       {"limit", std::to_string(limit())}});
}

void upstream_gate::tick()
{
    if (m_phase.is("warming") && m_reportedPhase != upstream_phase::cold
        && m_warmUp.done(m_clock.monotonic(), m_upstream.slots, m_upstream.warmup)) {
        m_phase.fire("warm");
    }
    checkProbe();
    checkRunning();
    checkQueue();
    expireFlows();
    pump();
}

void upstream_gate::checkProbe()
{
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + m_settings.probeInterval;
    if (m_probesUnanswered >= m_settings.probesMissedUntilDown && m_phase.fire("probesMissed")) {
        m_output.logEvent("upstream_down", {{"upstream", m_upstream.name}});
        while (!m_running.empty()) {
            failSent(m_running.begin(), refusal_status::placeAgain);
        }
        while (const auto waiting = m_queue.pop()) {
            dropUnsent(*waiting, refusal_status::placeAgain);
        }
    }
    ++m_probesUnanswered;
    datagram probe;
    probe.type = datagram_type::probe;
    probe.sequence = ++m_probeSequence;
    m_sender.toUpstream(m_upstream, probe);
}

void upstream_gate::checkRunning()
{
    const monotonic_time now = m_clock.monotonic();
    for (auto item = m_running.begin(); item != m_running.end();) {
        const auto current = item++;
        work_item &work = current->second;
        if (work.cancelled) {
            if (now >= work.deadline + m_settings.slotHoldAfterCancel) {
                forget(current);
            }
        } else if (now >= work.deadline) {
            cancelLate(current);
        } else if (lostParts(work)) {
            forget(current);
        } else {
            maybeResend(current->first, work);
        }
    }
}

void upstream_gate::checkQueue()
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
        dropUnsent(correlation, refusal_status::overloaded);
    }
}

/// Sends an idempotent request once more when a newer report shows that the upstream lacks some of
/// what was sent, and the retry budget allows it.
void upstream_gate::maybeResend(std::uint64_t correlation, work_item &item)
{
    const monotonic_time now = m_clock.monotonic();
    const bool isLate = now - item.sentAt >= m_settings.resendAfter;
    if (item.request.kind == request_kind::idempotent && isLate && !item.resent
        && upstreamLacksSome(item.sentAt) && item.partsSeen.empty() && m_retries.take()) {
        item.resent = true;
        sendWork(correlation, item);
    }
}

/// Whether a report from after @p since shows that the upstream works on less than was sent.
bool upstream_gate::upstreamLacksSome(monotonic_time since) const
{
    return m_reportAt > since + milliseconds(1) && m_reportedInUse < m_running.size();
}

/// Whether the upstream has sent what it had of an answer and the rest was lost on its way. The
/// caller asks for the missing parts by itself.
bool upstream_gate::lostParts(const work_item &item) const
{
    return item.request.kind == request_kind::idempotent && !item.partsSeen.empty()
        && m_clock.monotonic() - item.lastPartAt >= m_settings.partGap
        && upstreamLacksSome(item.lastPartAt);
}

void upstream_gate::expireFlows()
{
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextFlowCheck) {
        return;
    }
    m_nextFlowCheck = now + flowCheckInterval;
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
        flow = flow->second <= now ? m_flows.erase(flow) : std::next(flow);
    }
}

void upstream_gate::abandon()
{
    while (!m_running.empty()) {
        failSent(m_running.begin(), refusal_status::placeAgain);
    }
    while (const auto waiting = m_queue.pop()) {
        dropUnsent(*waiting, refusal_status::placeAgain);
    }
}

void upstream_gate::distrust()
{
    m_phase = chart_position(upstreamChart());
    m_probesUnanswered = 0;
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

milliseconds upstream_gate::retryTime() const
{
    const double perSlot = m_usualServiceMs / std::max<double>(1, limit());
    const milliseconds wait(
        static_cast<std::int64_t>(perSlot * static_cast<double>(m_queue.size())));
    return std::clamp(wait, minRetryTime, maxRetryTime);
}

} // namespace figstair
