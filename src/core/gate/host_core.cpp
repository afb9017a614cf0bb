#include "figstair/core/gate/host_core.h"

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

/// A host that hears from no other host serves after this time.
constexpr milliseconds viewTimeout{3000};
constexpr milliseconds handoverInterval{1000}; ///< repeats until acknowledged

/// Minimum time between entering "leaving" and the first handover, and between the last handover
/// and the stop.
constexpr milliseconds leavingDelay{1000};
constexpr std::size_t gossipDigestLength = 16; ///< characters of the table digest sent in gossip

} // namespace

host_core::host_core(const host_settings &settings, const clock_source &clock, std::uint64_t seed,
                     host_output &output)
    : m_settings(settings)
    , m_clock(clock)
    , m_output(output)
    , m_random(seed)
    , m_keys(settings.peerSecret, settings.keyActivationDelay)
    , m_members(settings.self, settings.membership, clock, m_random(), *this)
    , m_gateMap(m_members, m_table)
    , m_context{m_settings, clock, m_random, m_table, m_keys, m_members, m_gateMap, output}
    , m_gateRole(m_context)
    , m_receiver(m_context, m_gateRole)
    , m_tableKeeper(m_table, m_keys, m_members, clock, output)
    , m_lifecycle(hostChart())
    , m_lastActivity(clock.monotonic())
    , m_stateEnteredAt(clock.monotonic())
{
    for (const endpoint &seedAddress : settings.seeds) {
        m_members.addSeed(seedAddress);
    }
}

void host_core::tick()
{
    detectFreeze();
    m_members.tick();
    updateLifecycle();
    m_gateRole.tick();
    if (m_lifecycle.is("leaving")) {
        continueLeaving();
    } else {
        handOverImportedRecords();
    }
}

void host_core::detectFreeze()
{
    const monotonic_time now = m_clock.monotonic();
    const milliseconds gap = now - m_lastActivity;
    m_lastActivity = now;
    if (gap < m_settings.freezeThreshold || !m_lifecycle.fire("freeze")) {
        return;
    }
    m_stateEnteredAt = now;
    m_output.count(counter::freezes, 1);
    m_output.logEvent("host_thawed", {{"gap_ms", std::to_string(gap.count())}});
    m_gateRole.setAdmitting(false);
    m_gateRole.onFreeze();
    m_members.setOwnState(member_state::joining);
}

/// Whether opens and requests may be forwarded: the host is serving or leaving, and its table has
/// been confirmed recently enough.
bool host_core::mayForward()
{
    const bool isTooOld = m_tableKeeper.confirmedAge() > m_settings.maxTableAge;
    if (isTooOld != m_isTableTooOld) {
        m_isTableTooOld = isTooOld;
        m_output.logEvent(isTooOld ? "table_too_old" : "table_confirmed_again", {});
    }
    return !isTooOld && (m_lifecycle.is("serving") || m_lifecycle.is("leaving"));
}

/// Whether another host has answered a ping in the current state, or the wait for one has timed
/// out.
bool host_core::hasFreshView() const
{
    const bool hasHeardFromPeer = m_members.lastAck() > m_stateEnteredAt;
    const bool hasTimedOut = m_clock.monotonic() - m_stateEnteredAt >= viewTimeout;
    return hasHeardFromPeer || hasTimedOut;
}

void host_core::updateLifecycle()
{
    const bool canServe = m_table.revision() > 0 && !m_keys.empty() && hasFreshView();
    if (canServe && m_lifecycle.fire("ready")) {
        m_stateEnteredAt = m_clock.monotonic();
        m_gateRole.setAdmitting(true);
        m_members.setOwnState(member_state::alive);
        m_output.logEvent("host_serving", {{"revision", std::to_string(m_table.revision())}});
    }
}

void host_core::stop()
{
    if (!m_lifecycle.fire("stop")) {
        return;
    }
    m_stateEnteredAt = m_clock.monotonic();
    m_gateRole.setLeaving();
    m_members.setOwnState(member_state::leaving);
    m_output.logEvent("host_leaving", {});
}

/// Waits until no request is pending, hands over the order records, and stops once they are
/// acknowledged.
void host_core::continueLeaving()
{
    const monotonic_time now = m_clock.monotonic();
    if (!m_gateRole.isIdle() || now - m_stateEnteredAt < leavingDelay) {
        return;
    }
    if (!m_handoverStarted) {
        m_handoverStarted = true;
        m_lastHandoverAt = now;
        for (order_handover &batch : m_gateRole.handovers()) {
            m_pendingHandovers.emplace(batch.upstreamId, std::move(batch));
        }
    }
    if (m_pendingHandovers.empty()) {
        if (now - m_lastHandoverAt >= leavingDelay) {
            m_lifecycle.fire("drained");
            m_members.setOwnState(member_state::left);
            m_output.logEvent("host_stopped", {});
        }
        return;
    }
    if (now < m_nextHandover) {
        return;
    }
    m_nextHandover = now + handoverInterval;
    sendHandovers();
    m_lastHandoverAt = now;
}

/// Sends each pending batch to the current gate of its upstream. Discards a batch whose upstream
/// has no other gate.
void host_core::sendHandovers()
{
    for (auto item = m_pendingHandovers.begin(); item != m_pendingHandovers.end();) {
        const upstream_entry *upstream = m_table.upstream(item->first);
        const member *successor = upstream == nullptr ? nullptr : m_gateMap.gateOf(*upstream);
        if (successor == nullptr || successor->name == m_settings.self.name) {
            m_output.logEvent("handover_without_heir",
                              {{"upstream_id", std::to_string(item->first)},
                               {"records", std::to_string(item->second.records.size())}});
            item = m_pendingHandovers.erase(item);
            continue;
        }
        m_output.sendHandover(*successor, item->second);
        ++item;
    }
}

/// Hands over the records of upstreams with imported records to their current gates.
void host_core::handOverImportedRecords()
{
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextImportedHandover) {
        return;
    }
    m_nextImportedHandover = now + handoverInterval;
    for (const order_handover &batch : m_gateRole.handoversToCurrentGates()) {
        const member *gate = m_gateMap.gateOf(*m_table.upstream(batch.upstreamId));
        m_output.sendHandover(*gate, batch);
    }
}

void host_core::onDatagram(const endpoint &from, byte_view bytes)
{
    detectFreeze();
    m_output.count(counter::datagramsReceived, 1);
    std::size_t consumed = 0;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDatagram(bytes, consumed));
            if (!hasValidTrailer(bytes, consumed, message.type)) {
                m_output.count(counter::unauthenticDatagrams, 1);
                m_output.logEvent("unauthentic_datagram", {{"from", toString(from)}});
                return {};
            }
            if (isHostToHost(message.type)) {
                dispatchPeer(from, message);
            } else {
                dispatchExternal(from, message);
            }
            return {};
        },
        [&](const datagram_error &error) {
            m_output.count(counter::malformedDatagrams, 1);
            m_output.logEvent("malformed_datagram",
                              {{"from", toString(from)}, {"problem", error.problem}});
        },
        [] {});
}

bool host_core::hasValidTrailer(byte_view bytes, std::size_t consumed, datagram_type type) const
{
    if (!isHostToHost(type)) {
        return consumed == bytes.size();
    }
    return consumed + peerMacBytes == bytes.size()
        && verifyPeerDatagram(m_settings.peerSecret, bytes);
}

void host_core::dispatchPeer(const endpoint &from, const datagram &message)
{
    switch (message.type) {
    case datagram_type::ping:
    case datagram_type::ack:
    case datagram_type::pingRequest:
        onGossip(from, message);
        break;
    case datagram_type::forwardOpen:
        if (mayForward()) {
            m_gateRole.onOpen(message);
        }
        break;
    case datagram_type::forwardRequest:
        if (mayForward()) {
            m_gateRole.onRequest(message);
        }
        break;
    case datagram_type::forwardClose:
        m_gateRole.onClose(message);
        break;
    default:
        break;
    }
}

void host_core::dispatchExternal(const endpoint &from, const datagram &message)
{
    switch (message.type) {
    case datagram_type::open:
        if (mayForward()) {
            m_receiver.onOpen(from, message);
        }
        break;
    case datagram_type::request:
        if (mayForward()) {
            m_receiver.onRequest(from, message);
        }
        break;
    case datagram_type::close:
        m_receiver.onClose(from, message);
        break;
    case datagram_type::answer:
    case datagram_type::refusal:
    case datagram_type::report:
        m_gateRole.onUpstreamDatagram(from, message);
        break;
    default:
        m_output.count(counter::malformedDatagrams, 1);
        break;
    }
}

void host_core::onGossip(const endpoint &from, const datagram &message)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(gossip, decodeGossip(message.payload));
            m_members.onGossip(message.type, message.sequence, from, gossip);
            const member *sender = m_members.find(gossip.sender);
            if (sender != nullptr) {
                m_tableKeeper.onPeerRevision(*sender, gossip.tableRevision, gossip.tableDigest,
                                             milliseconds(gossip.confirmedAgeMs));
            }
            return {};
        },
        [&](const gossip_error &error) {
            m_output.count(counter::malformedDatagrams, 1);
            m_output.logEvent("malformed_gossip",
                              {{"from", toString(from)}, {"problem", error.problem}});
        },
        [] {});
}

void host_core::onMembers(const std::vector<member> &members)
{
    m_members.mergeMembers(members);
}

void host_core::onTableReply(const table_reply &reply)
{
    m_tableKeeper.onReply(reply);
}

void host_core::onPlatformHead(std::uint64_t revision, const std::string &digest)
{
    m_tableKeeper.onPlatformHead(revision, digest);
}

bool host_core::onHandover(const order_handover &batch)
{
    const bool isAccepted = m_gateRole.importHandover(batch);
    m_output.logEvent("handover_received",
                      {{"upstream_id", std::to_string(batch.upstreamId)},
                       {"records", std::to_string(batch.records.size())},
                       {"taken", isAccepted ? "yes" : "no"}});
    return isAccepted;
}

void host_core::onHandoverTaken(std::uint32_t upstreamId, std::uint64_t gateIncarnation)
{
    m_gateRole.onRecordsHandedOver(upstreamId, gateIncarnation);
    m_pendingHandovers.erase(upstreamId);
    m_lastHandoverAt = m_clock.monotonic();
}

bool host_core::watchesPlatform() const
{
    return m_members.isBridge() || m_table.revision() == 0;
}

std::vector<member> host_core::memberRecords() const
{
    std::vector<member> records;
    for (const auto &[name, host] : m_members.members()) {
        records.push_back(host);
    }
    return records;
}

void host_core::sendGossip(datagram_type type, std::uint64_t sequence, const endpoint &to,
                           gossip_message &message)
{
    message.tableRevision = m_table.revision();
    message.tableDigest = m_table.digest().substr(0, gossipDigestLength);
    message.confirmedAgeMs = static_cast<std::uint32_t>(m_tableKeeper.confirmedAge().count());
    const byte_buffer payload = encodeGossip(message);
    datagram gossip;
    gossip.type = type;
    gossip.sequence = sequence;
    gossip.payload = payload;
    byte_buffer bytes;
    encodeDatagram(gossip, bytes);
    signPeerDatagram(m_settings.peerSecret, bytes);
    m_output.count(counter::controlBytesSent, bytes.size());
    m_output.sendDatagram(to, bytes);
}

void host_core::requestMembers(const member &from, const member_slice &slice)
{
    m_output.count(counter::memberSyncs, 1);
    m_output.requestMembers(from, slice);
}

} // namespace figstair
