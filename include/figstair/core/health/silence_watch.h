#pragma once

#include <deque>
#include <string_view>
#include <vector>

#include "figstair/core/flow/flow_context.h"

namespace figstair {

/// A forwarded SYN that its upstream did not answer.
struct unanswered_opening
{
    flow_id flow;
    std::vector<std::uint8_t> packet;
};

/// Watches for missing answers: to forwarded SYNs in time, to requests by the caller's
/// retransmission. Holds each against its upstream, unless the host could not have seen the answer.
class silence_watch
{
public:
    /// @p context must outlive the watch.
    explicit silence_watch(const flow_context &context);

    /// Expects the answer to the SYN @p packet of @p flow, which was forwarded now.
    void expectAnswer(const flow_id &flow, byte_view packet);

    /// Records the missing answers that are due. Returns the flows whose SYN should be sent to a
    /// second upstream: those for which none was looked for yet.
    std::vector<unanswered_opening> takeUnanswered();

    /// A caller repeated the data that @p record's upstream should have acknowledged.
    void onRequestRepeated(const flow_id &flow, const flow_record &record);

    /// The process was frozen: answers may have passed unseen, or through another host. Missing
    /// ones do not count for a while.
    void onFreeze();

    /// Time at which takeUnanswered() may next have a result.
    monotonic_time nextDeadline() const;

private:
    struct pending_answer
    {
        monotonic_time deadline{};
        monotonic_time sentAt{};
        unanswered_opening opening;
        bool isRechecked = false; ///< already waited for other hosts' reports
    };

    void takeDue(std::deque<pending_answer> &queue, std::vector<unanswered_opening> &unanswered);
    bool isUnanswered(pending_answer &pending);
    void recordSilence(upstream_index upstream, const flow_id &flow, std::string_view evidence);

    const flow_context &m_context;
    std::deque<pending_answer> m_pending;
    std::deque<pending_answer> m_rechecks;
    monotonic_time m_ignoreUntil{};
};

} // namespace figstair
