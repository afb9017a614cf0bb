#pragma once

#include <algorithm>
#include <optional>
#include <string_view>

#include "figstair/core/flow/flow_context.h"
#include "figstair/core/health/unreachable_zones.h"
#include "figstair/core/load/flow_reuse.h"
#include "figstair/core/load/link_backlog.h"

namespace figstair {

/// Resets open flows whose upstream is dead, so that their callers try again at once instead of
/// waiting until their deadline. dead_upstreams describes the load and the evidence.
///
/// One flow is reset when its caller repeats a request that the upstream did not acknowledge, if
/// another source says as well that the upstream is gone. All flows of an upstream are reset, idle
/// ones too, when it counts as dead. Nothing is reset while no other upstream of the service could
/// take the flow: callers would spend their tries on refusals.
class dead_flow_resetter
{
public:
    /// @p context must outlive the resetter.
    explicit dead_flow_resetter(const flow_context &context);

    /// Counts the first SYN of a flow that this host sees.
    void onOpening(const flow_id &flow) { m_reuse.onOpening(flow); }

    /// Counts a request.
    void onRequest(const flow_id &flow) { m_reuse.onRequest(flow); }

    /// The socket for callers' packets was found empty: what is read later arrived after now.
    void onInputDrained(monotonic_time now) { m_inputDrainedAt = now; }

    /// An upstream answered a request that this host forwarded at @p sentAt. What the host
    /// forwarded before has left it, too.
    void onAnswered(monotonic_time sentAt)
    {
        m_answeredSentAt = std::max(m_answeredSentAt, sentAt);
    }

    /// The host sends a datagram with @p payloadBytes, for whatever purpose.
    void onDatagramSent(std::size_t payloadBytes, monotonic_time now)
    {
        m_link.onSent(payloadBytes, now);
    }

    /// The settings changed.
    void updateSettings() { m_link.setCapacity(m_context.settings.linkMbps); }

    /// The process was frozen. Repeated requests that queued up meanwhile prove nothing.
    void onFreeze(monotonic_time now);

    /// Handles a packet of an open flow, before it is forwarded. @p repeatedFrom: when the packet
    /// that it repeats was forwarded, if it does so and acknowledges nothing new. Returns whether
    /// the flow was reset; the packet must not be forwarded then.
    bool onPacket(const flow_packet &packet, flow_record &record,
                  std::optional<monotonic_time> repeatedFrom);

    /// Resets the open flow if its upstream is dead.
    void onSweep(const flow_id &flow, flow_record &record);

    /// Judges the evidence and logs which upstreams count as dead and which zones as unreachable.
    /// Call it several times a second.
    void advance();

private:
    bool isEnabledFor(const flow_id &flow) const;
    /// Whether the packet that this host forwarded at @p sentAt reached no living upstream, as far
    /// as this host can tell.
    bool isLostAt(upstream_index upstream, monotonic_time sentAt) const;
    std::string_view secondSourceFor(upstream_index upstream) const;
    bool isDead(upstream_index upstream) const;
    bool hasAlternative(upstream_index upstream) const;
    void judgeZones();
    void reset(const flow_id &flow, flow_record &record, std::string_view evidence);

    const flow_context &m_context;
    std::uint64_t m_ownObserver;
    flow_reuse m_reuse;
    link_backlog m_link;
    unreachable_zones m_unreachableZones;
    monotonic_time m_inputDrainedAt{};
    /// Latest time at which this host forwarded a request that was answered.
    monotonic_time m_answeredSentAt{};
    monotonic_time m_ignoreUntil{};
    monotonic_time m_nextZoneJudgement{};
};

} // namespace figstair
