#include "figstair/core/health/silence_watch.h"

#include <algorithm>

#include "figstair/core/hex_text.h"

namespace figstair {
namespace {

/// Data repeated sooner than this is a packet duplicated by the network, not a retransmission.
constexpr milliseconds minRetransmissionDelay{100};

/// Missing answers are not held against upstreams for this long after a freeze of the process:
/// answers may have passed unseen, or through another host.
constexpr milliseconds graceAfterFreeze{400};

/// While packets are rerouted, a handshake without an answer may have been acknowledged through
/// another host. The check is repeated after this delay, when the other hosts' next reports have
/// arrived.
constexpr milliseconds recheckDelay{115};

} // namespace

silence_watch::silence_watch(const flow_context &context)
    : m_context(context)
{
}

void silence_watch::expectAnswer(const flow_id &flow, byte_view packet)
{
    const monotonic_time now = m_context.clock.monotonic();
    m_pending.push_back(pending_answer{now + m_context.serviceTimes.handshakeTimeout(),
                                       now,
                                       {flow, {packet.begin(), packet.end()}}});
}

void silence_watch::onFreeze()
{
    m_ignoreUntil = m_context.clock.monotonic() + graceAfterFreeze;
}

void silence_watch::onRequestRepeated(const flow_id &flow, const flow_record &record)
{
    const monotonic_time now = m_context.clock.monotonic();
    if (now - record.requestSentAt >= minRetransmissionDelay && now >= m_ignoreUntil) {
        recordSilence(record.upstream, flow, "request_repeated");
    }
}

void silence_watch::recordSilence(upstream_index upstream, const flow_id &flow,
                                  std::string_view evidence)
{
    const bool wasEjected = m_context.health.isEjected(upstream);
    m_context.health.onTimeout(upstream, m_context.clock.monotonic());
    const bool isEjected = m_context.health.isEjected(upstream);
    m_context.output.logEvent("upstream_silent",
                              {{"flow", toText(flow)},
                               {"upstream", toHex(m_context.directory.at(upstream).entry.id)},
                               {"evidence", std::string(evidence)},
                               {"state", std::string(m_context.health.stateName(upstream))}});
    if (isEjected && !wasEjected) {
        m_context.output.count(entry_counter::ejections, 1);
    }
    m_context.reports.noteNews();
}

/// Whether to look for a second upstream. A pending answer that is to be checked again is moved to
/// the rechecks.
bool silence_watch::isUnanswered(pending_answer &pending)
{
    const flow_id &flow = pending.opening.flow;
    flow_record *record = m_context.flows.find(flow);
    const monotonic_time now = m_context.clock.monotonic();
    if (record == nullptr || record->phase != flow_phase::opening
        || record->openingSentAt != pending.sentAt || now < m_ignoreUntil) {
        return false;
    }
    if (!m_context.isRotationStable()) {
        if (m_context.health.lastAnswerTime(record->upstream) >= pending.sentAt) {
            // The upstream answers, so the flow most likely continues through another host, which
            // counts it from now on.
            m_context.stopAwaitingAnswer(*record);
            return false;
        }
        if (!pending.isRechecked) {
            pending.isRechecked = true;
            pending.deadline = now + recheckDelay;
            m_rechecks.push_back(std::move(pending));
            return false;
        }
    }
    recordSilence(record->upstream, flow, "opening_unanswered");
    m_context.stopAwaitingAnswer(*record);
    // Later attempts are the caller's own retransmissions.
    return !record->wasRetried;
}

void silence_watch::takeDue(std::deque<pending_answer> &queue,
                            std::vector<unanswered_opening> &unanswered)
{
    const monotonic_time now = m_context.clock.monotonic();
    while (!queue.empty() && queue.front().deadline <= now) {
        pending_answer pending = std::move(queue.front());
        queue.pop_front();
        if (isUnanswered(pending)) {
            unanswered.push_back(std::move(pending.opening));
        }
    }
}

std::vector<unanswered_opening> silence_watch::takeUnanswered()
{
    std::vector<unanswered_opening> unanswered;
    takeDue(m_pending, unanswered);
    takeDue(m_rechecks, unanswered);
    return unanswered;
}

monotonic_time silence_watch::nextDeadline() const
{
    monotonic_time next = monotonic_time::max();
    if (!m_pending.empty()) {
        next = std::min(next, m_pending.front().deadline);
    }
    if (!m_rechecks.empty()) {
        next = std::min(next, m_rechecks.front().deadline);
    }
    return next;
}

} // namespace figstair
