#include "figstair/core/flow/dead_flow_resetter.h"

#include "figstair/core/hex_text.h"

namespace figstair {
namespace {

/// Time in which an upstream acknowledges data. Callers retransmit after 200 ms, so what is
/// repeated sooner was duplicated by the network or waited in this host's socket.
constexpr milliseconds minUnacknowledgedTime{100};

/// An answer through any host that is known from this time contradicts the evidence.
constexpr milliseconds recentAnswerTime{150};

/// Repeated requests prove nothing for this long after a freeze of the process.
constexpr milliseconds graceAfterFreeze{400};

/// A verdict holds this long after the last evidence, which other hosts report for one second after
/// they saw it: an upstream that recovered more than 4 s ago counts as undisturbed, and in a large
/// fleet a host of another zone may learn of few of its answers.
constexpr milliseconds verdictLifetime{2000};

/// Least time between two judgements of the zones, which may go through all upstreams.
constexpr milliseconds zoneJudgementInterval{10};

} // namespace

dead_flow_resetter::dead_flow_resetter(const flow_context &context)
    : m_context(context)
    , m_ownObserver(observerOf(context.roster.self().name))
    , m_link(context.settings.linkMbps)
    , m_unreachableZones(context.directory, context.health, context.roster)
{
}

void dead_flow_resetter::onFreeze(monotonic_time now)
{
    m_ignoreUntil = now + graceAfterFreeze;
    m_context.health.deadUpstreams().clear();
    m_unreachableZones.clear();
}

bool dead_flow_resetter::isEnabledFor(const flow_id &flow) const
{
    switch (m_context.settings.resetDeadFlows) {
    case part_mode::on:
        return true;
    case part_mode::off:
        return false;
    case part_mode::automatic:
        break;
    }
    return m_reuse.carriesSeveralRequests(flow);
}

/// What says, besides a request of this host's caller, that the upstream is gone; empty: nothing.
std::string_view dead_flow_resetter::secondSourceFor(upstream_index upstream) const
{
    const known_upstream &known = m_context.directory.at(upstream);
    const monotonic_time now = m_context.clock.monotonic();
    if (m_context.health.deadUpstreams().isConfirmedByPeers(upstream, m_ownObserver, now)) {
        return "other_hosts";
    }
    if (known.wasRemoved) {
        return "entry_gone";
    }
    if (m_unreachableZones.contains(known.zone)) {
        return "zone_unreachable";
    }
    return {};
}

bool dead_flow_resetter::isDead(upstream_index upstream) const
{
    const dead_upstreams &evidence = m_context.health.deadUpstreams();
    return evidence.isDead(upstream)
        || (evidence.hasUnacknowledged(upstream) && m_context.directory.at(upstream).wasRemoved);
}

/// Whether another upstream of the service may take new flows, by what this host knows.
bool dead_flow_resetter::hasAlternative(upstream_index upstream) const
{
    upstream_directory &directory = m_context.directory;
    const std::string &service = directory.at(upstream).entry.service;
    const monotonic_time now = m_context.clock.monotonic();
    for (std::size_t number = 0; number < directory.zoneCount(); ++number) {
        const auto zone = static_cast<std::uint16_t>(number);
        if (!m_context.roster.isZoneReachable(directory.zoneName(zone), now)) {
            continue;
        }
        for (const upstream_index other : directory.candidates(service, zone)) {
            if (other != upstream && !m_context.health.isEjected(other)
                && now >= directory.at(other).coldUntil) {
                return true;
            }
        }
    }
    return false;
}

/// The packet may have been lost in this host's link if the link was congested, or if no later
/// request was answered. If the upstream answered since, the network lost the packet.
bool dead_flow_resetter::isLostAt(upstream_index upstream, monotonic_time sentAt) const
{
    return m_inputDrainedAt - sentAt >= minUnacknowledgedTime && m_answeredSentAt >= sentAt
        && m_link.congestedUntil() < sentAt && m_context.clock.monotonic() >= m_ignoreUntil
        && m_context.health.lastAcknowledgedTime(upstream) < sentAt;
}

bool dead_flow_resetter::onPacket(const flow_packet &packet, flow_record &record,
                                  std::optional<monotonic_time> repeatedFrom)
{
    const bool isEvidenceKnown = m_context.health.deadUpstreams().size() > 0;
    if ((!repeatedFrom && !isEvidenceKnown) || packet.isFin || packet.isRst
        || !isEnabledFor(packet.flow)) {
        return false;
    }
    const monotonic_time now = m_context.clock.monotonic();
    const bool isUnacknowledged = repeatedFrom && isLostAt(record.upstream, *repeatedFrom);
    if (isUnacknowledged) {
        m_context.health.deadUpstreams().onUnacknowledgedHere(record.upstream, m_ownObserver,
                                                              *repeatedFrom, now);
        m_context.reports.noteNews();
        const std::uint16_t zone = m_context.directory.at(record.upstream).zone;
        if (now >= m_nextZoneJudgement && !m_unreachableZones.contains(zone)) {
            judgeZones();
        }
        const bool hasAnswered =
            now - m_context.health.lastAnswerTime(record.upstream) <= recentAnswerTime;
        const std::string_view source =
            hasAnswered ? std::string_view() : secondSourceFor(record.upstream);
        if (!source.empty() && hasAlternative(record.upstream)) {
            reset(packet.flow, record, source);
            return true;
        }
    }
    if (isDead(record.upstream) && hasAlternative(record.upstream)) {
        reset(packet.flow, record, "dead");
        return true;
    }
    return false;
}

void dead_flow_resetter::onSweep(const flow_id &flow, flow_record &record)
{
    // The index may name another upstream by now. A flow without a packet since the rotation
    // changed may have moved to another host and ended there; the sequence number is outdated then,
    // and the caller may use the port again.
    const bool isCurrent = m_context.directory.findTag(record.upstreamTag) == record.upstream
        && record.lastPacketAt > m_context.roster.changedAt();
    if (record.phase == flow_phase::open && isDead(record.upstream) && isCurrent
        && isEnabledFor(flow) && hasAlternative(record.upstream)) {
        reset(flow, record, "dead");
    }
}

void dead_flow_resetter::reset(const flow_id &flow, flow_record &record, std::string_view evidence)
{
    m_context.stopAwaitingAnswer(record);
    record.phase = flow_phase::closed;
    m_context.output.count(entry_counter::flowsResetUpstreamDead, 1);
    m_context.output.logEvent(
        "flow_reset",
        {{"flow", toText(flow)},
         {"reason", "upstream_dead"},
         {"upstream", toHex(m_context.directory.at(record.upstream).entry.id)},
         {"evidence", std::string(evidence)}});
    m_context.output.reset(flow, record.lastAcknowledged);
}

void dead_flow_resetter::advance()
{
    dead_upstreams &evidence = m_context.health.deadUpstreams();
    const monotonic_time now = m_context.clock.monotonic();
    if (now < m_ignoreUntil) {
        evidence.clear(); // from reports that may have waited in the socket
    }
    evidence.endVerdicts(now - verdictLifetime);
    for (const upstream_index upstream : evidence.advance(now)) {
        const upstream_record &entry = m_context.directory.at(upstream).entry;
        m_context.output.logEvent("upstream_dead",
                                  {{"upstream", toHex(entry.id)}, {"zone", entry.zone}});
    }
    judgeZones();
}

void dead_flow_resetter::judgeZones()
{
    const monotonic_time now = m_context.clock.monotonic();
    m_nextZoneJudgement = now + zoneJudgementInterval;
    for (const std::uint16_t zone : m_unreachableZones.advance(now)) {
        const std::string &name = m_context.directory.zoneName(zone);
        m_context.output.logEvent(
            "zone_unreachable",
            {{"zone", name}, {"hosts", std::to_string(m_context.roster.contactWith(name).hosts)}});
    }
}

} // namespace figstair
