#include "figstair/core/flow/entry_core.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>

#include "figstair/core/hex_text.h"

namespace figstair {
namespace {

/// A request of a flow that is idle for this many times the expected answer time is no longer
/// counted as open at its upstream: the caller has given up, or the flow continues through another
/// host.
constexpr int idleTimeoutFactor = 8;
constexpr milliseconds minIdleTimeout{400};
constexpr milliseconds maxIdleTimeout{4000};

/// The same while packets are rerouted between hosts: most flows that are idle here continue
/// through another host, which counts them too.
constexpr int idleTimeoutFactorUnstable = 3;
constexpr milliseconds minIdleTimeoutUnstable{60};

/// Closed flows are kept this long for late packets of either end. Also the idle time after which a
/// flow that was never established is removed.
constexpr milliseconds closedFlowLifetime{3000};

/// Flows checked by one sweep, and the interval between sweeps.
constexpr std::size_t flowsPerSweep = 256;
constexpr milliseconds sweepInterval{40};

/// After a freeze of at least this length SYNs are dropped until the view of the store is confirmed
/// again, for at most maxResumeTime: callers have retransmitted their SYNs, the routers no longer
/// send packets to this host, and upstreams may have restarted cold or been unlisted.
constexpr milliseconds longFreezeThreshold{1000};

/// Longest wait for a current view of the store after a long freeze: the age that a view may have
/// at any time, and less than the time until the routers send packets to this host again.
constexpr milliseconds maxResumeTime{500};

/// An upstream's entry in the store expires after three heartbeats without a write; one more covers
/// the delay of the removal.
constexpr int entryLifeHeartbeats = 4;

/// An upstream states that it is cold with its next heartbeat; one more covers the way to this
/// host.
constexpr int returnColdHeartbeats = 2;

/// Interval between checks of the other hosts. A host counts as silent only after several of these.
constexpr milliseconds rosterSweepInterval{100};

/// Load reports older than this are dropped: requests last only a fraction of it.
constexpr milliseconds maxReportAge{1200};

/// An upstream that immediately answers with errors looks idle and fast, and would attract all
/// flows. A short answer therefore counts as one that took this many times the expected time.
constexpr double shortAnswerPenaltyRatio = 8.0;

/// An answer that takes at least this many times the expected time is logged.
constexpr double slowAnswerLogRatio = 4.0;

/// Answers of an upstream whose slowness ratio before them is at least this do not count for the
/// work of requests: their time shows the upstream, not the work. Neither do those of requests that
/// found no free slot: equal work that waits looks like varying work.
constexpr double maxSlownessForWork = 2.0;

std::string toText(milliseconds value)
{
    return std::to_string(value.count());
}

} // namespace

entry_core::entry_core(const entry_settings &settings, const clock_source &clock,
                       std::uint64_t seed, entry_output &output)
    : m_settings(settings)
    , m_clock(clock)
    , m_output(output)
    , m_directory(settings.flowLife)
    , m_loads(m_directory)
    , m_roster(settings.self)
    , m_reports(m_directory, m_loads, m_health, m_roster)
    , m_flows(settings.maxFlows)
    , m_costs(settings.placementByWork)
    , m_openWork(m_costs)
    , m_context{m_settings,  m_clock,        m_output, m_routes,   m_configCurrency,
                m_directory, m_loads,        m_health, m_roster,   m_reports,
                m_flows,     m_serviceTimes, m_costs,  m_openWork, clock.monotonic()}
    , m_silence(m_context)
    , m_deadFlows(m_context)
    , m_isolation(m_routes, m_directory, m_roster, m_loads, m_health)
    , m_opener(m_context, m_silence, m_deadFlows, seed)
{
    m_directory.setReturnColdTime(settings.heartbeat * returnColdHeartbeats);
}

void entry_core::updateSettings(const entry_settings &settings)
{
    m_settings = settings;
    m_deadFlows.updateSettings();
    m_costs.setMode(settings.placementByWork);
    m_directory.setReturnColdTime(settings.heartbeat * returnColdHeartbeats);
}

void entry_core::onPacket(const flow_packet &packet, byte_view bytes)
{
    m_lastPacketAt = m_clock.monotonic();
    m_output.count(entry_counter::packetsReceived, 1);
    if (packet.isSyn && packet.isAck) {
        // Only upstreams send SYN-ACKs; one from the callers' side is forged or reflected.
        m_output.count(entry_counter::packetsReflected, 1);
        return;
    }
    if (!packet.isSyn) {
        onSubsequentPacket(packet, bytes);
    } else if (!m_routes.isLoaded()) {
        m_output.count(entry_counter::packetsBeforeConfig, 1);
    } else if (isResuming()) {
        m_output.count(entry_counter::packetsStale, 1);
    } else {
        m_opener.onOpening(packet, bytes);
    }
}

bool entry_core::wasRouteDropped(const flow_packet &packet)
{
    const flow_record *record = m_flows.find(packet.flow);
    if (record == nullptr || !record->contains(packet)) {
        return false; // first seen now, so the configuration may be older
    }
    if (record->wasForwarded) {
        return true; // this host placed the flow, not by a newer configuration than its own
    }
    const bool isEstablished =
        record->phase == flow_phase::open || record->phase == flow_phase::closed;
    return isEstablished && m_configCurrency.isCurrentFor(record->openingSentAt);
}

void entry_core::endFlowWithoutRoute(const flow_packet &packet)
{
    m_output.count(entry_counter::packetsWithoutRoute, 1);
    m_output.count(entry_counter::flowsReset, 1);
    if (flow_record *record = m_flows.find(packet.flow)) {
        m_context.stopAwaitingAnswer(*record);
        m_flows.erase(packet.flow);
    }
    if (!packet.isRst) {
        m_output.logEvent("flow_reset",
                          {{"flow", toText(packet.flow)},
                           {"reason", "route_dropped"},
                           {"config", std::to_string(configVersion())}});
        m_output.reset(packet.flow, packet.acknowledged);
    }
}

upstream_index entry_core::upstreamOf(const flow_packet &packet, const flow_record *record) const
{
    const upstream_index tagged = m_directory.findTag(packet.upstreamTag);
    if (record == nullptr || record->phase == flow_phase::held
        || record->phase == flow_phase::dropped) {
        return tagged;
    }
    if (record->phase == flow_phase::opening && tagged != noUpstream) {
        // The upstream that answered first, if the SYN was sent to several.
        return tagged;
    }
    // The tag may be that of a second upstream which answered the SYN too late.
    return m_directory.findTag(record->upstreamTag) == record->upstream ? record->upstream : tagged;
}

void entry_core::onSubsequentPacket(const flow_packet &packet, byte_view bytes)
{
    if (m_routes.isLoaded() && m_routes.find(packet.flow) == nullptr) {
        if (wasRouteDropped(packet)) {
            endFlowWithoutRoute(packet);
            return;
        }
        m_output.count(entry_counter::packetsAwaitingConfig, 1);
    }
    flow_record *record = m_flows.find(packet.flow);
    const bool isOtherFlow = record != nullptr && !record->contains(packet);
    const upstream_index upstream = upstreamOf(packet, isOtherFlow ? nullptr : record);
    if (upstream == noUpstream) {
        m_output.count(entry_counter::packetsWithUnknownTag, 1);
        m_output.logEvent("packet_dropped",
                          {{"flow", toText(packet.flow)},
                           {"reason", "unknown_tag"},
                           {"tag", toHex(packet.upstreamTag)}});
        return;
    }
    if (isOtherFlow && packet.payloadBytes == 0) {
        // A late packet of an earlier flow does not change the record of a later one. Only data
        // shows that the caller uses this flow now.
        forward(bytes, upstream);
        return;
    }
    if (record == nullptr || isOtherFlow || record->phase == flow_phase::held
        || record->phase == flow_phase::dropped) {
        record = &m_context.insertFlow(packet.flow);
        m_context.stopAwaitingAnswer(*record);
        adoptFlow(packet, *record, upstream);
    } else if (record->phase == flow_phase::opening) {
        onHandshakeCompleted(packet, *record, upstream);
    }
    recordAnswer(packet, *record);
    const std::optional<monotonic_time> repeatedFrom = recordRequest(packet, *record);
    record->lastSequence = packet.sequence;
    record->lastAcknowledged = packet.isAck ? packet.acknowledged : record->lastAcknowledged;
    record->lastPacketAt = m_clock.monotonic();
    if (m_deadFlows.onPacket(packet, *record, repeatedFrom)) {
        return;
    }
    forward(bytes, record->upstream);
    if (packet.isFin || packet.isRst) {
        m_context.stopAwaitingAnswer(*record);
        record->phase = flow_phase::closed;
    }
    m_opener.retryHeld();
}

void entry_core::forward(byte_view bytes, upstream_index upstream)
{
    m_output.count(entry_counter::packetsForwarded, 1);
    m_output.forward(bytes, m_directory.at(upstream));
}

void entry_core::onHandshakeCompleted(const flow_packet &packet, flow_record &record,
                                      upstream_index upstream)
{
    const monotonic_time now = m_clock.monotonic();
    if (upstream != record.upstream) {
        m_context.stopAwaitingAnswer(record);
        record.upstream = upstream;
        record.upstreamTag = m_directory.at(upstream).tag;
        m_context.startAwaitingAnswer(packet.flow, record);
    }
    record.phase = flow_phase::open;
    record.acknowledgedAtRequest = packet.acknowledged;
    m_health.onAnswered(record.upstream, now);
    if (!record.wasRetried) {
        m_serviceTimes.onHandshake(now - record.openingSentAt);
        m_output.observe(entry_distribution::handshake, now - record.openingSentAt);
    }
}

void entry_core::adoptFlow(const flow_packet &packet, flow_record &record, upstream_index upstream)
{
    const monotonic_time now = m_clock.monotonic();
    record = flow_record{};
    record.phase = flow_phase::open;
    record.upstream = upstream;
    record.upstreamTag = m_directory.at(upstream).tag;
    record.acknowledgedAtRequest = packet.acknowledged;
    record.openingSentAt = now;
    record.requestSentAt = now;
    record.openingSequence = packet.sequence - 1;
    if (!packet.isFin && !packet.isRst) {
        m_context.startAwaitingAnswer(packet.flow, record);
    }
    m_health.onFlowMoved(upstream, now);
    m_output.count(entry_counter::flowsAdopted, 1);
}

void entry_core::recordAnswer(const flow_packet &packet, flow_record &record)
{
    if (!packet.isAck || !record.awaitsAnswer || !record.hasSentData
        || packet.acknowledged == record.acknowledgedAtRequest) {
        return;
    }
    const monotonic_time now = m_clock.monotonic();
    const milliseconds answerTime = now - record.requestSentAt;
    m_health.onAnswered(record.upstream, now);
    m_deadFlows.onAnswered(record.requestSentAt);
    const answer_verdict verdict = m_serviceTimes.onAnswer(
        packet.flow, answerTime, m_context.latencyTargetOf(packet.flow), record.requestsPerSlot,
        packet.acknowledged - record.acknowledgedAtRequest);
    if (!verdict.isShort) {
        recordWork(packet, record, answerTime);
    }
    m_loads.onServed(record.upstream, verdict.isShort ? shortAnswerPenaltyRatio : verdict.ratio,
                     now);
    m_output.observe(entry_distribution::firstAnswer, answerTime);
    if (verdict.isShort) {
        m_output.count(entry_counter::shortAnswers, 1);
        m_output.logEvent("answer_short",
                          {{"flow", toText(packet.flow)},
                           {"upstream", toHex(m_directory.at(record.upstream).entry.id)},
                           {"ms", toText(answerTime)},
                           {"expected_ms", toText(m_context.expectedTime(packet.flow))}});
    } else if (verdict.ratio >= slowAnswerLogRatio) {
        m_output.logEvent("answer_slow",
                          {{"flow", toText(packet.flow)},
                           {"upstream", toHex(m_directory.at(record.upstream).entry.id)},
                           {"ms", toText(answerTime)},
                           {"expected_ms", toText(m_context.expectedTime(packet.flow))}});
    }
    m_context.stopAwaitingAnswer(record);
}

void entry_core::recordWork(const flow_packet &packet, const flow_record &record,
                            milliseconds answerTime)
{
    const monotonic_time now = m_clock.monotonic();
    const double requestsPerSlot =
        m_openWork.requestsPerSlot(record.openWork, record.requestsPerSlot);
    if (requestsPerSlot > 1 || m_loads.slownessRatio(record.upstream, now) >= maxSlownessForWork) {
        return;
    }
    const auto workMs = static_cast<double>((answerTime - m_serviceTimes.handshakeTime()).count());
    const auto change = m_costs.onAnswer(
        routeKeyOf(packet.flow), m_directory.at(record.upstream).entry.service, workMs, now);
    if (change) {
        std::array<char, 32> spread{};
        std::snprintf(spread.data(), spread.size(), "%.2f", change->spread);
        m_output.logEvent("placement_by_work",
                          {{"service", std::string(change->service)},
                           {"acting", change->isActing ? "1" : "0"},
                           {"reason", std::string(change->reason)},
                           {"spread", spread.data()}});
    }
}

std::optional<monotonic_time> entry_core::recordRequest(const flow_packet &packet,
                                                        flow_record &record)
{
    if (packet.payloadBytes == 0) {
        return std::nullopt;
    }
    const monotonic_time now = m_clock.monotonic();
    if (record.hasSentData && packet.sequence == record.lastDataSequence) {
        if (record.awaitsAnswer) {
            m_silence.onRequestRepeated(packet.flow, record);
        }
        const monotonic_time previousAt = std::exchange(record.dataSentAt, now);
        return packet.acknowledged == record.acknowledgedAtRequest ? std::make_optional(previousAt)
                                                                   : std::nullopt;
    }
    if (!record.hasSentData || packet.acknowledged != record.acknowledgedAtRequest) {
        m_deadFlows.onRequest(packet.flow);
    }
    record.hasSentData = true;
    record.lastDataSequence = packet.sequence;
    record.acknowledgedAtRequest = packet.acknowledged;
    record.requestSentAt = now;
    record.dataSentAt = now;
    if (record.awaitsAnswer) {
        m_context.restartRequest(record);
    } else if (record.phase == flow_phase::open) {
        m_context.startAwaitingAnswer(packet.flow, record);
    }
    return std::nullopt;
}

void entry_core::tick()
{
    const monotonic_time now = m_clock.monotonic();
    for (const unanswered_opening &opening : m_silence.takeUnanswered()) {
        m_opener.repeat(opening);
    }
    m_opener.retryHeld();
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        sweepFlows();
        m_directory.advance(now);
        if (now >= m_nextRosterSweep) {
            m_nextRosterSweep = now + rosterSweepInterval;
            sweepRoster();
            m_deadFlows.advance();
        }
    }
}

void entry_core::sweepRoster()
{
    const monotonic_time now = m_clock.monotonic();
    m_roster.advance(now);
    for (const auto &[name, peer] : m_roster.peers()) {
        if (!m_roster.isAlive(peer, now) || now - peer.lastHeardAt > maxReportAge) {
            m_loads.dropReport(name);
        }
    }
    updateRotation();
}

void entry_core::updateRotation()
{
    if (!m_hasView || !m_routes.isLoaded()) {
        return;
    }
    const auto change = m_isolation.update(m_settings.leaveWhenIsolated, m_clock.monotonic());
    if (!change) {
        return;
    }
    m_output.count(entry_counter::rotationLeaves, change->isInRotation ? 0 : 1);
    m_output.logEvent(change->isInRotation ? "rotation_joined" : "rotation_left",
                      {{"reason", std::string(toText(change->reason))}});
}

void entry_core::sweepFlows()
{
    const monotonic_time now = m_clock.monotonic();
    const bool isStable = m_context.isRotationStable();
    const int factor = isStable ? idleTimeoutFactor : idleTimeoutFactorUnstable;
    const milliseconds minTimeout = isStable ? minIdleTimeout : minIdleTimeoutUnstable;
    m_flows.sweep(flowsPerSweep, [&](const flow_id &flow, flow_record &record) {
        const milliseconds idle = now - record.lastPacketAt;
        m_deadFlows.onSweep(flow, record);
        if (record.awaitsAnswer
            && idle
                > std::clamp(m_context.expectedTime(flow) * factor, minTimeout, maxIdleTimeout)) {
            m_context.stopAwaitingAnswer(record);
        }
        if (record.phase != flow_phase::open && record.phase != flow_phase::held) {
            if (idle > closedFlowLifetime) {
                m_context.stopAwaitingAnswer(record);
                return true;
            }
            return false;
        }
        if (idle > m_settings.flowLife) {
            m_context.stopAwaitingAnswer(record);
            return true;
        }
        return false;
    });
}

monotonic_time entry_core::nextDeadline() const
{
    return std::min({m_nextSweep, m_silence.nextDeadline(), m_opener.nextDeadline()});
}

void entry_core::onFreeze(milliseconds gap)
{
    m_output.count(entry_counter::freezes, 1);
    const monotonic_time now = m_clock.monotonic();
    m_silence.onFreeze();
    m_deadFlows.onFreeze(now);
    m_roster.onResumed(now);
    m_isolation.onResumed();
    if (gap >= longFreezeThreshold) {
        m_isResuming = true;
        m_resumedAt = now;
    }
}

void entry_core::onViewConfirmed(monotonic_time asOf)
{
    m_configCurrency.onViewConfirmed(asOf);
    if (asOf >= m_resumedAt) {
        m_isResuming = false;
    }
}

bool entry_core::isResuming() const
{
    return m_isResuming && m_clock.monotonic() - m_resumedAt < maxResumeTime;
}

void entry_core::onRecordChange(const record_change &change)
{
    const monotonic_time now = m_clock.monotonic();
    if (const auto *unreadable = std::get_if<record_change::unreadable>(&change.content)) {
        m_output.count(entry_counter::unreadableRecords, 1);
        m_output.logEvent("record_unreadable",
                          {{"name", change.name},
                           {"upstream", toHex(change.upstreamId)},
                           {"revision", std::to_string(change.revision)},
                           {"problem", unreadable->problem}});
    }
    if (change.kind == record_kind::config) {
        acceptConfig(change);
        return;
    }
    if (change.kind == record_kind::host) {
        m_roster.apply(change, now);
        return;
    }
    if (const auto *entry = std::get_if<upstream_record>(&change.content)) {
        const upstream_index previousIndex = m_directory.findTag(upstreamTag(entry->id));
        const std::optional<std::int64_t> previousStart = previousIndex == noUpstream
            ? std::nullopt
            : std::make_optional(m_directory.at(previousIndex).entry.startedAtMs);
        m_directory.apply(change, now);
        const upstream_index index = m_directory.findTag(upstreamTag(entry->id));
        // Not what the change says: the directory ignores changes that are older than its record.
        const bool isNewIncarnation =
            index != noUpstream && m_directory.at(index).entry.startedAtMs != previousStart;
        if (isNewIncarnation) {
            m_loads.reset(index);
            m_openWork.reset(index);
            m_health.reset(index);
        }
        m_output.logEvent("upstream_entry",
                          {{"upstream", toHex(entry->id)},
                           {"zone", entry->zone},
                           {"service", entry->service},
                           {"draining", entry->isDraining ? "1" : "0"},
                           {"cold_ms", toText(entry->coldFor)},
                           {"new_life", isNewIncarnation ? "1" : "0"},
                           {"revision", std::to_string(change.revision)}});
        return;
    }
    m_directory.apply(change, now);
    const auto logChange = [&](std::string_view event) {
        const bool isRemoved = std::holds_alternative<record_change::removed>(change.content);
        m_output.logEvent(event,
                          {{"zone", change.name},
                           {"upstream", toHex(change.upstreamId)},
                           {"removed", isRemoved ? "1" : "0"},
                           {"revision", std::to_string(change.revision)}});
    };
    if (change.kind == record_kind::evacuation) {
        logChange("evacuation");
    } else if (change.kind == record_kind::evacuationMark) {
        logChange("evacuation_mark");
    } else if (change.kind == record_kind::upstream) {
        logChange("upstream_gone");
    }
}

void entry_core::acceptConfig(const record_change &change)
{
    const std::uint64_t previousVersion = configVersion();
    bool isAccepted = false;
    if (std::holds_alternative<record_change::unreadable>(change.content)) {
        m_configCurrency.onConfigUnreadable();
        return;
    }
    if (const auto *config = std::get_if<route_config>(&change.content)) {
        isAccepted = m_routes.accept(*config);
        m_configCurrency.onConfigRead(configVersion()); // accepted or not
    } else if (const auto *patch = std::get_if<config_patch>(&change.content)) {
        isAccepted = m_routes.accept(*patch);
    }
    if (!isAccepted) {
        return;
    }
    m_configCurrency.onConfigRead(configVersion());
    m_output.count(entry_counter::configsAccepted, 1);
    m_output.logEvent("config_accepted",
                      {{"config", std::to_string(configVersion())},
                       {"before", std::to_string(previousVersion)},
                       {"revision", std::to_string(change.revision)},
                       {"routes", std::to_string(m_routes.config().routes.size())}});
}

void entry_core::onStoreRestored()
{
    m_directory.onStoreRestored(m_clock.monotonic() + m_settings.heartbeat * entryLifeHeartbeats);
}

void entry_core::onListing(const std::vector<record_change> &listing, std::uint64_t revision)
{
    const bool isFirst = !m_hasView;
    if (isFirst) {
        m_hasView = true;
        m_roster.onResumed(m_clock.monotonic());
    }
    for (const record_change &change : listing) {
        if (change.kind != record_kind::evacuationMark) {
            onRecordChange(change);
        }
    }
    m_directory.retain(listing, revision, m_clock.monotonic());
    // A mark without an evacuation applies to the upstreams of the listing.
    for (const record_change &change : listing) {
        if (change.kind == record_kind::evacuationMark) {
            onRecordChange(change);
        }
    }
    m_roster.retain(listing);
    if (isFirst) {
        // Readiness checks may arrive before the next sweep.
        updateRotation();
    }
}

std::vector<record_change> entry_core::snapshot() const
{
    std::vector<record_change> records;
    record_change change;
    change.kind = record_kind::config;
    change.content = m_routes.config();
    records.push_back(change);
    m_directory.appendSnapshot(m_clock.monotonic(), records);
    m_roster.appendSnapshot(records);
    return records;
}

void entry_core::onPeerReport(const peer_report &report, const store_position &ownView)
{
    m_output.count(entry_counter::peerMessagesReceived, 1);
    m_configCurrency.onPeerVersion(report.configVersion, m_clock.monotonic());
    m_reports.onReport(report, ownView, m_clock.monotonic());
}

entry_state entry_core::state() const
{
    const monotonic_time now = m_clock.monotonic();
    entry_state result;
    result.configVersion = configVersion();
    for (const auto &[name, peer] : m_roster.peers()) {
        result.hostsAlive += m_roster.isAlive(peer, now) ? 1 : 0;
    }
    result.upstreams = m_directory.size();
    for (upstream_index index = 0; index < m_directory.size(); ++index) {
        result.ejected += m_health.isEjected(index) ? 1 : 0;
    }
    result.flowsHeld = m_opener.heldCount();
    return result;
}

std::optional<outgoing_report> entry_core::takeDueReport()
{
    std::optional<outgoing_report> due = m_reports.takeDue(m_clock.monotonic());
    if (due) {
        due->report.configVersion = configVersion();
        due->report.newFlowsPerSecond = m_opener.newFlowsPerSecond();
    }
    return due;
}

} // namespace figstair
