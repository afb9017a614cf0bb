#include "figstair/replay/replay_host.h"

#include <iostream>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {

replay_host::replay_host(host_settings settings, std::uint64_t seed, timeline &time,
                         replay_network &network, host_finder findHost)
    : m_settings(std::move(settings))
    , m_seed(seed)
    , m_time(time)
    , m_network(network)
    , m_findHost(std::move(findHost))
{
    network.addNode(
        name(), zone(), address(),
        [this](const endpoint &from, const byte_buffer &bytes) { onDatagram(from, bytes); });
}

void replay_host::start()
{
    m_settings.self.incarnation =
        static_cast<std::uint64_t>(m_time.wall().time_since_epoch().count()) << 20 | m_seed;
    m_isFrozen = false;
    m_hasStopped = false;
    m_deferredActions.clear();
    m_core = std::make_unique<host_core>(m_settings, m_time, ++m_seed, *this);
}

void replay_host::kill()
{
    m_core.reset();
    m_deferredActions.clear();
}

void replay_host::thaw()
{
    m_isFrozen = false;
    std::vector<std::function<void()>> deferred = std::move(m_deferredActions);
    m_deferredActions.clear();
    for (const auto &action : deferred) {
        action();
    }
}

void replay_host::stop()
{
    if (m_core != nullptr) {
        m_core->stop();
    }
}

void replay_host::tick()
{
    if (m_core == nullptr || m_isFrozen) {
        return;
    }
    m_core->tick();
    if (m_core->isStopped()) {
        m_hasStopped = true;
        m_core.reset();
    }
}

void replay_host::onDatagram(const endpoint &from, const byte_buffer &bytes)
{
    if (m_core == nullptr) {
        return;
    }
    if (m_isFrozen) {
        m_deferredActions.push_back([this, from, bytes] { onDatagram(from, bytes); });
        return;
    }
    m_core->onDatagram(from, bytes);
}

void replay_host::onPeerMessage(replay_host &from, const std::string &bytes)
{
    if (m_core == nullptr) {
        return;
    }
    if (m_isFrozen) {
        m_deferredActions.push_back([this, &from, bytes] { onPeerMessage(from, bytes); });
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodePeerMessage(m_settings.peerSecret, bytes));
            handlePeerMessage(from, message);
            return {};
        },
        [] {});
}

void replay_host::handlePeerMessage(replay_host &from, const peer_message &message)
{
    if (const auto *membersRequest = std::get_if<members_request>(&message)) {
        sendPeer(from.address(), members_reply{m_core->members().recordsOf(membersRequest->slice)});
    } else if (const auto *members = std::get_if<members_reply>(&message)) {
        m_core->onMembers(members->members);
    } else if (const auto *request = std::get_if<table_request>(&message)) {
        sendPeer(from.address(), m_core->tableKeeper().replyFor(request->revision));
    } else if (const auto *reply = std::get_if<table_reply>(&message)) {
        m_core->onTableReply(*reply);
    } else if (const auto *handover = std::get_if<order_handover>(&message)) {
        if (m_core->onHandover(*handover)) {
            sendPeer(from.address(),
                     handover_taken{handover->upstreamId, m_core->members().self().incarnation});
        }
    } else if (const auto *acknowledgement = std::get_if<handover_taken>(&message)) {
        m_core->onHandoverTaken(acknowledgement->upstreamId, acknowledgement->gateIncarnation);
    }
}

void replay_host::sendPeer(const endpoint &to, const peer_message &message)
{
    const std::string bytes = encodePeerMessage(m_settings.peerSecret, message);
    count(counter::controlBytesSent, bytes.size());
    m_network.deliver(address(), to, [this, to, bytes] {
        replay_host *target = m_findHost(to);
        if (target != nullptr) {
            target->onPeerMessage(*this, bytes);
        }
    });
}

void replay_host::sendDatagram(const endpoint &to, byte_view bytes)
{
    m_network.send(address(), to, bytes);
}

void replay_host::sendToUpstream(const endpoint &upstream, byte_view bytes)
{
    m_network.sendOverStream(address(), upstream, bytes);
}

void replay_host::requestMembers(const member &from, const member_slice &slice)
{
    sendPeer(from.address, members_request{slice});
}

void replay_host::requestTable(const member &from, std::uint64_t revision)
{
    sendPeer(from.address, table_request{revision});
}

void replay_host::sendHandover(const member &to, const order_handover &batch)
{
    sendPeer(to.address, batch);
}

void replay_host::logEvent(std::string_view name, event_fields fields)
{
    if (!m_printsEvents) {
        return;
    }
    std::cerr << "at_ms=" << m_time.monotonic().time_since_epoch().count()
              << " host=" << m_settings.self.name << " event=" << name;
    for (const auto &[key, value] : fields) {
        std::cerr << " " << key << "=" << value;
    }
    std::cerr << "\n";
}

void replay_host::count(counter which, std::uint64_t amount)
{
    m_counters[static_cast<std::size_t>(which)] += amount;
}

} // namespace figstair
