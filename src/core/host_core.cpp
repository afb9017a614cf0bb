#include "figstair/core/host_core.h"

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr milliseconds viewPatience{3000};
constexpr milliseconds handoverInterval{1000};
constexpr milliseconds leaveLinger{1000};
constexpr std::size_t gossipDigestLength = 16;

} // namespace

host_core::host_core(const host_settings &settings, const clock_source &clock, std::uint64_t seed,
                     host_output &output)
    : m_settings(settings)
    , m_clock(clock)
    , m_output(output)
    , m_random(seed)
    , m_keys(settings.peerSecret, settings.keySettleTime)
    , m_members(settings.self, settings.membership, clock, m_random(), *this)
    , m_gates(m_members, m_table)
    , m_context{m_settings, clock, m_random, m_table, m_keys, m_members, m_gates, output}
    , m_gateRole(m_context)
    , m_receiver(m_context, m_gateRole)
    , m_keeper(m_table, m_keys, m_members, clock, output)
    , m_life(hostChart())
    , m_lastActivity(clock.monotonic())
    , m_lifeSince(clock.monotonic())
{
    for (const endpoint &seedAddress : settings.seeds) {
        m_members.addSeed(seedAddress);
    }
}

void host_core::tick()
{
    noticeFreeze();
    m_members.tick();
    followLife();
    m_gateRole.tick();
    if (m_life.is("leaving")) {
        continueLeaving();
    } else {
        passInheritanceOn();
    }
}

void host_core::noticeFreeze()
{
    const monotonic_time now = m_clock.monotonic();
    const milliseconds gap = now - m_lastActivity;
    m_lastActivity = now;
    if (gap < m_settings.freezeTime || !m_life.fire("freeze")) {
        return;
    }
    m_lifeSince = now;
    m_output.count(counter::freezes, 1);
    m_output.logEvent("host_thawed", {{"gap_ms", std::to_string(gap.count())}});
    m_gateRole.setAdmitting(false);
    m_gateRole.onFreeze();
    m_members.setOwnState(member_state::joining);
}

/// Whether packets may be sent on: the host serves or leaves, and its table is not too old.
bool host_core::mayWork()
{
    const bool isTooOld = m_keeper.confirmedAge() > m_settings.longestStaleness;
    if (isTooOld != m_isTableTooOld) {
        m_isTableTooOld = isTooOld;
        m_output.logEvent(isTooOld ? "table_too_old" : "table_confirmed_again", {});
    }
    return !isTooOld && (m_life.is("serving") || m_life.is("leaving"));
}

bool host_core::hasFreshView() const
{
    const bool isHeard = m_members.lastAck() > m_lifeSince;
    const bool isAlone = m_clock.monotonic() - m_lifeSince >= viewPatience;
    return isHeard || isAlone;
}

void host_core::followLife()
{
    const bool mayServe = m_table.revision() > 0 && !m_keys.empty() && hasFreshView();
    if (mayServe && m_life.fire("ready")) {
        m_lifeSince = m_clock.monotonic();
        m_gateRole.setAdmitting(true);
        m_members.setOwnState(member_state::alive);
        m_output.logEvent("host_serving", {{"revision", std::to_string(m_table.revision())}});
    }
}

void host_core::stop()
{
    if (!m_life.fire("stop")) {
        return;
    }
    m_lifeSince = m_clock.monotonic();
    m_gateRole.setLeaving();
    m_members.setOwnState(member_state::leaving);
    m_output.logEvent("host_leaving", {});
}

/// Waits for the own work to end, hands the order records on, and stops when they are taken.
void host_core::continueLeaving()
{
    const monotonic_time now = m_clock.monotonic();
    if (!m_gateRole.isIdle() || now - m_lifeSince < leaveLinger) {
        return;
    }
    if (!m_handoverStarted) {
        m_handoverStarted = true;
        m_handedOverAt = now;
        for (order_handover &batch : m_gateRole.handovers()) {
            m_handovers.emplace(batch.upstreamId, std::move(batch));
        }
    }
    if (m_handovers.empty()) {
        if (now - m_handedOverAt >= leaveLinger) {
            m_life.fire("drained");
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
    m_handedOverAt = now;
}

void host_core::sendHandovers()
{
    for (auto item = m_handovers.begin(); item != m_handovers.end();) {
        const upstream_entry *upstream = m_table.upstream(item->first);
        const member *heir = upstream == nullptr ? nullptr : m_gates.gateOf(*upstream);
        if (heir == nullptr || heir->name == m_settings.self.name) {
            m_output.logEvent("handover_without_heir",
                              {{"upstream_id", std::to_string(item->first)},
                               {"records", std::to_string(item->second.records.size())}});
            item = m_handovers.erase(item);
            continue;
        }
        m_output.sendHandover(*heir, item->second);
        ++item;
    }
}

/// Sends records taken over from others to the hosts that are gates of their upstreams now.
void host_core::passInheritanceOn()
{
    const monotonic_time now = m_clock.monotonic();
    if (now < m_nextInheritance) {
        return;
    }
    m_nextInheritance = now + handoverInterval;
    for (const order_handover &batch : m_gateRole.misplacedInheritance()) {
        const member *gate = m_gates.gateOf(*m_table.upstream(batch.upstreamId));
        m_output.sendHandover(*gate, batch);
    }
}

void host_core::onDatagram(const endpoint &from, byte_view bytes)
{
    noticeFreeze();
    m_output.count(counter::datagramsReceived, 1);
    std::size_t consumed = 0;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDatagram(bytes, consumed));
            if (!isAuthentic(bytes, consumed, message.type)) {
                m_output.count(counter::unauthenticDatagrams, 1);
                m_output.logEvent("unauthentic_datagram", {{"from", toString(from)}});
                return {};
            }
            if (isHostToHost(message.type)) {
                dispatchPeer(from, message);
            } else {
                dispatchOther(from, message);
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

bool host_core::isAuthentic(byte_view bytes, std::size_t consumed, datagram_type type) const
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
        if (mayWork()) {
            m_gateRole.onOpen(message);
        }
        break;
    case datagram_type::forwardRequest:
        if (mayWork()) {
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

void host_core::dispatchOther(const endpoint &from, const datagram &message)
{
    switch (message.type) {
    case datagram_type::open:
        if (mayWork()) {
            m_receiver.onOpen(from, message);
        }
        break;
    case datagram_type::request:
        if (mayWork()) {
            m_receiver.onRequest(from, message);
        }
        break;
    case datagram_type::close:
        m_receiver.onClose(from, message);
        break;
    case datagram_type::answer:
    case datagram_type::refusal:
    case datagram_type::report:
        m_gateRole.onUpstream(from, message);
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
                m_keeper.onPeerRevision(*sender, gossip.tableRevision, gossip.tableDigest,
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
    m_keeper.onReply(reply);
}

void host_core::onPlatformHead(std::uint64_t revision, const std::string &digest)
{
    m_keeper.onPlatformHead(revision, digest);
}

bool host_core::onHandover(const order_handover &batch)
{
    const bool isTaken = m_gateRole.inherit(batch);
    m_output.logEvent("handover_received",
                      {{"upstream_id", std::to_string(batch.upstreamId)},
                       {"records", std::to_string(batch.records.size())},
                       {"taken", isTaken ? "yes" : "no"}});
    return isTaken;
}

void host_core::onHandoverTaken(std::uint32_t upstreamId, std::uint64_t gateIncarnation)
{
    m_gateRole.onInheritancePassed(upstreamId, gateIncarnation);
    m_handovers.erase(upstreamId);
    m_handedOverAt = m_clock.monotonic();
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
    message.confirmedAgeMs = static_cast<std::uint32_t>(m_keeper.confirmedAge().count());
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
