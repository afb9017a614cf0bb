#pragma once

#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/state_chart.h"
#include "figstair/core/upstream_directory.h"

namespace figstair {

/// How freely new flows may go to an upstream.
enum class placement_eligibility : std::uint8_t {
    unrestricted, ///< like any other
    lastResort, ///< only when no other can take the flow
    trial, ///< one flow at a time, from the host that owns its trials
    none
};

/// Judges upstreams by what callers' packets show: a handshake or request without an answer counts
/// against an upstream, an acknowledgement for it. Answers the load pattern in which a dead
/// upstream has no open requests and so attracts every new flow.
class upstream_health
{
public:
    upstream_health();

    /// A caller acknowledged something new from the upstream.
    void onAnswered(upstream_index upstream, monotonic_time now);

    /// Another host had an answer from the upstream at about @p when.
    void onAnsweredAtPeer(upstream_index upstream, monotonic_time when);

    /// When anything was last known to come from the upstream.
    monotonic_time lastAnswerTime(upstream_index upstream) const;

    /// The same, counting only what came by way of this host.
    monotonic_time lastLocalAnswerTime(upstream_index upstream) const;

    /// A flow got no answer in time.
    void onTimeout(upstream_index upstream, monotonic_time now);

    /// Another host suspects the upstream. Together with a silence seen here that ejects it.
    void onSuspectedByPeer(upstream_index upstream, monotonic_time now);

    /// Another host ejected the upstream. @p ownsTrials: it is on this host to try it.
    void onEjectedByPeer(upstream_index upstream, bool ownsTrials, monotonic_time now);

    /// The host that owns the trials of the upstream has ejected it.
    void onEjectedByOwner(upstream_index upstream, monotonic_time now);

    /// The host that owns the trials of the upstream takes it for good.
    void onClearedByOwner(upstream_index upstream, monotonic_time now);

    /// Forgets what is known: the upstream started anew or its position names another one.
    void reset(upstream_index upstream);

    placement_eligibility eligibilityOf(upstream_index upstream, monotonic_time now);

    /// A trial flow was sent; the next one waits for its outcome.
    void onTrialSent(upstream_index upstream, monotonic_time now);

    /// Whether this host has ejected the upstream.
    bool isEjected(upstream_index upstream) const;

    /// When its state changed last; zero: never.
    monotonic_time stateSince(upstream_index upstream) const;

    /// Whether a flow sent by this host got no answer a moment ago.
    bool isLocallySuspected(upstream_index upstream, monotonic_time now) const;

    /// Upstreams for which isLocallySuspected() holds, at most @p maxCount: the latest silences
    /// first.
    std::vector<upstream_index> locallySuspected(monotonic_time now, std::size_t maxCount) const;

    /// Name of the state, for logs.
    std::string_view stateName(upstream_index upstream) const;

private:
    struct record
    {
        explicit record(const state_chart &chart)
            : state(chart)
        {
        }

        chart_position state;
        placement_eligibility eligibility = placement_eligibility::unrestricted;
        bool isGood = true; ///< in the state "good", which needs no time
        monotonic_time stateDeadline{};
        monotonic_time stateSince{};
        monotonic_time lastAnswerAt{};
        monotonic_time lastLocalAnswerAt{};
        monotonic_time lastTimeoutAt{};
        monotonic_time nextTrialAt{};
        milliseconds backoff{0};
    };

    record &at(upstream_index upstream);
    void fire(record &item, const char *event, monotonic_time now);
    void expireState(record &item, monotonic_time now);

    std::vector<record> m_records;
};

} // namespace figstair
