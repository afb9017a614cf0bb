#pragma once

#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/health/dead_upstreams.h"
#include "figstair/core/state_chart.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// Whether and how new flows may be placed on an upstream.
enum class placement_eligibility : std::uint8_t {
    unrestricted,
    lastResort, ///< only when no other upstream can take the flow
    /// In the states "trial" and "probation": one flow per fixed interval, whether or not the last
    /// one was answered, and only from the host that owns the upstream's trials.
    trial,
    none
};

/// Passive health checks: judges upstreams by the packets of callers. A handshake or request
/// without an answer counts against an upstream, an acknowledgement counts for it. Keeps a dead
/// upstream, which has no open requests and so looks least loaded, from attracting every new flow.
class upstream_health
{
public:
    upstream_health();

    /// A caller acknowledged new data from the upstream.
    void onAnswered(upstream_index upstream, monotonic_time now);

    /// An open flow of the upstream continues at this host. Most likely its handshake has just been
    /// acknowledged, but it may also be a request that the caller repeats. Does not end a suspicion
    /// or an ejection.
    void onFlowMoved(upstream_index upstream, monotonic_time now);

    /// The upstream answered through another host at about @p when.
    void onAnsweredAtPeer(upstream_index upstream, monotonic_time when);

    /// Time of the last known answer of the upstream through any host; zero: none.
    monotonic_time lastAnswerTime(upstream_index upstream) const;

    /// Time of the last answer of the upstream through this host; zero: none.
    monotonic_time lastLocalAnswerTime(upstream_index upstream) const;

    /// Time of the last answer of the upstream that a caller acknowledged, through any host or
    /// through this one; zero: none. Unlike the times above, flows that moved here do not count.
    monotonic_time lastAcknowledgedTime(upstream_index upstream) const;
    monotonic_time lastLocalAcknowledgedTime(upstream_index upstream) const;

    /// A flow or request got no answer from the upstream in time.
    void onTimeout(upstream_index upstream, monotonic_time now);

    /// Time of the last onTimeout(); zero: none.
    monotonic_time lastTimeoutTime(upstream_index upstream) const;

    /// Another host suspects the upstream. Ejects the upstream if this host suspects it too.
    /// Ignored shortly after an answer.
    void onSuspectedByPeer(upstream_index upstream, monotonic_time now);

    /// Another host ejected the upstream. Ejects it here if this host owns its trials
    /// (@p ownsTrials), otherwise suspects it. Ignored shortly after an answer.
    void onEjectedByPeer(upstream_index upstream, bool ownsTrials, monotonic_time now);

    /// The host that owns the trials of the upstream ejected it. Ejects it here too. Ignored
    /// shortly after an answer.
    void onEjectedByOwner(upstream_index upstream, monotonic_time now);

    /// Whether the upstream first answered through this host so long ago that its entry would say
    /// if it had come back cold just before. Without that, its answers here may be those of an
    /// upstream that the other hosts ejected for good reason.
    bool hasLocalHistory(upstream_index upstream, monotonic_time now) const;

    /// Takes over an ejection by another host, whatever the upstream answered here.
    /// @p isFollowing: the other host owns the trials, so this host has no evidence to report.
    void adoptEjection(upstream_index upstream, bool isFollowing, monotonic_time now);

    /// Whether the upstream is ejected here only because the owner of its trials ejected it. Not
    /// to be reported: the owner would take its own ejection for another host's.
    bool isFollowingOwner(upstream_index upstream) const;

    /// The host that owns the trials of the upstream does not eject it. Ignored shortly after a
    /// change of state here, of which the owner may not know yet.
    void onClearedByOwner(upstream_index upstream, monotonic_time now);

    /// Forgets the state: the upstream restarted, or its index now names another upstream.
    void reset(upstream_index upstream);

    /// Eligibility of the upstream for a new flow at @p now; none between two trials.
    placement_eligibility eligibilityOf(upstream_index upstream, monotonic_time now);

    /// A trial flow was sent. The next is allowed after a fixed interval, answered or not, or at
    /// once if the answer starts the probation.
    void onTrialSent(upstream_index upstream, monotonic_time now);

    /// Whether the upstream is ejected at this host; trials and probation are part of an ejection.
    bool isEjected(upstream_index upstream) const;

    /// Time of the last change of state; zero: never changed.
    monotonic_time stateSince(upstream_index upstream) const;

    /// Whether a flow sent by this host timed out recently, with no answer from the upstream since.
    bool isLocallySuspected(upstream_index upstream, monotonic_time now) const;

    /// Upstreams for which isLocallySuspected() holds, latest timeouts first, at most @p maxCount.
    std::vector<upstream_index> locallySuspected(monotonic_time now, std::size_t maxCount) const;

    /// Evidence that upstreams are dead, which answers and reports passed to this object affect.
    dead_upstreams &deadUpstreams() { return m_deadUpstreams; }
    const dead_upstreams &deadUpstreams() const { return m_deadUpstreams; }

    /// Name of the state in the chart, for logs.
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
        bool isGood = true; ///< in the state "good", which has no deadline
        bool isFollowingOwner = false; ///< ejected by adoptEjection(), no timeout here since
        monotonic_time stateDeadline{};
        monotonic_time stateSince{};
        monotonic_time lastAnswerAt{};
        monotonic_time lastLocalAnswerAt{};
        monotonic_time firstLocalAnswerAt{};
        monotonic_time lastAcknowledgedAt{};
        monotonic_time lastLocalAcknowledgedAt{};
        monotonic_time lastTimeoutAt{};
        monotonic_time nextTrialAt{};
        milliseconds backoff{0};
    };

    record &at(upstream_index upstream);
    /// Takes the transition for @p event, if any, and sets what follows from the new state.
    void fire(record &item, const char *event, monotonic_time now);
    /// Ends the state if its deadline has passed.
    void expireState(record &item, monotonic_time now);

    std::vector<record> m_records;
    dead_upstreams m_deadUpstreams;
};

} // namespace figstair
