#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "figstair/core/gate_role.h"
#include "figstair/core/host_context.h"
#include "figstair/core/receiver.h"
#include "figstair/core/state_chart.h"
#include "figstair/core/table_keeper.h"
#include "figstair/wire/gossip_codec.h"

namespace figstair {

/// All decisions of one host. Events and time go in, actions come out through host_output. It opens
/// no socket, starts no thread and reads no clock but the one passed in.
class host_core : private membership_output
{
public:
    host_core(const host_settings &settings, const clock_source &clock, std::uint64_t seed,
              host_output &output);
    host_core(const host_core &) = delete;
    host_core &operator=(const host_core &) = delete;

    /// To be called at least every 100 ms. A longer gap counts as a freeze once it exceeds the
    /// settings' freezeThreshold.
    void tick();

    void onDatagram(const endpoint &from, byte_view bytes);
    void onMembers(const std::vector<member> &members);
    void onTableReply(const table_reply &reply);
    void onPlatformHead(std::uint64_t revision, const std::string &digest);

    /// Returns true when the records are held here now.
    bool onHandover(const order_handover &batch);

    /// Notes that the process @p gateIncarnation holds the records handed to it.
    void onHandoverTaken(std::uint32_t upstreamId, std::uint64_t gateIncarnation);

    /// Begins a planned stop.
    void stop();
    bool isStopped() const { return m_lifecycle.is("stopped"); }

    /// Whether this host is one of the few of its zone that read the platform.
    bool watchesPlatform() const;

    const std::string &lifecycleState() const { return m_lifecycle.state(); }
    const table &currentTable() const { return m_table; }
    const table_keeper &tableKeeper() const { return m_tableKeeper; }
    const membership &members() const { return m_members; }
    const gate_role &gates() const { return m_gateRole; }
    const gate_map &gateMap() const { return m_gates; }
    std::vector<member> memberRecords() const;

private:
    void sendGossip(datagram_type type, std::uint64_t sequence, const endpoint &to,
                    gossip_message &message) override;
    void requestMembers(const member &from, const member_slice &slice) override;

    void detectFreeze();
    bool mayForward();
    void updateLifecycle();
    bool hasFreshView() const;
    void continueLeaving();
    void sendHandovers();
    void transferMisplacedRecords();
    void dispatchPeer(const endpoint &from, const datagram &message);
    void dispatchExternal(const endpoint &from, const datagram &message);
    void onGossip(const endpoint &from, const datagram &message);
    bool isAuthentic(byte_view bytes, std::size_t consumed, datagram_type type) const;

    host_settings m_settings;
    const clock_source &m_clock;
    host_output &m_output;
    std::mt19937_64 m_random;
    table m_table;
    token_keys m_keys;
    membership m_members;
    gate_map m_gates;
    host_context m_context;
    gate_role m_gateRole;
    receiver m_receiver;
    table_keeper m_tableKeeper;
    chart_position m_lifecycle;
    monotonic_time m_lastActivity;
    monotonic_time m_stateEnteredAt;
    monotonic_time m_nextHandover{};
    monotonic_time m_nextTransfer{};
    monotonic_time m_lastHandoverAt{};
    bool m_handoverStarted = false;
    bool m_isTableTooOld = false;
    std::map<std::uint32_t, order_handover> m_pendingHandovers;
};

} // namespace figstair
