#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "figstair/core/gate/gate_role.h"
#include "figstair/core/gate/host_context.h"
#include "figstair/core/gate/receiver.h"
#include "figstair/core/gate/table_keeper.h"
#include "figstair/core/state_chart.h"
#include "figstair/wire/gossip_codec.h"

namespace figstair {

/// The decision logic of the command `figstair host`. The command `figstair entry` has a separate
/// data path, entry_core; a process runs one of them. Takes events and time as input and performs
/// actions through host_output. Opens no socket, starts no thread and reads only the clock passed
/// in, so that it can be replayed deterministically.
class host_core : private membership_output
{
public:
    /// @p clock and @p output must outlive the object. @p seed seeds all random choices.
    host_core(const host_settings &settings, const clock_source &clock, std::uint64_t seed,
              host_output &output);
    host_core(const host_core &) = delete;
    host_core &operator=(const host_core &) = delete;

    /// Must be called at least every 100 ms. A gap of host_settings::freezeThreshold or more
    /// without a tick or a datagram is treated as a freeze of the process.
    void tick();

    /// Handles one datagram from a caller, an upstream or another host.
    void onDatagram(const endpoint &from, byte_view bytes);

    /// Merges member records received from another host.
    void onMembers(const std::vector<member> &members);

    /// Applies edits or a snapshot received from another host or the platform.
    void onTableReply(const table_reply &reply);

    /// Handles the newest table revision and digest stored on the platform.
    void onPlatformHead(std::uint64_t revision, const std::string &digest);

    /// Imports order records from another host. Returns true when they are stored on this host.
    bool onHandover(const order_handover &batch);

    /// Handles the acknowledgement that the process @p gateIncarnation has stored the records of
    /// @p upstreamId.
    void onHandoverTaken(std::uint32_t upstreamId, std::uint64_t gateIncarnation);

    /// Starts a graceful shutdown. isStopped() becomes true when no request is pending and every
    /// batch of order records has been acknowledged or discarded. A batch is discarded when its
    /// upstream has no other gate. There is no time limit: a host keeps leaving while a successor
    /// does not acknowledge.
    void stop();
    bool isStopped() const { return m_lifecycle.is("stopped"); }

    /// Whether this host reads the table from the platform: it is a bridge of its zone or has no
    /// table yet.
    bool watchesPlatform() const;

    /// The state of charts/host.scxml.
    const std::string &lifecycleState() const { return m_lifecycle.state(); }
    const table &currentTable() const { return m_table; }
    const table_keeper &tableKeeper() const { return m_tableKeeper; }
    const membership &members() const { return m_members; }
    const gate_role &gateRole() const { return m_gateRole; }
    const gate_map &gateMap() const { return m_gateMap; }

    /// Copies of all member records, including the host's own.
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
    void handOverImportedRecords();
    void dispatchPeer(const endpoint &from, const datagram &message);
    void dispatchExternal(const endpoint &from, const datagram &message);
    void onGossip(const endpoint &from, const datagram &message);
    /// Whether exactly the expected bytes follow the @p consumed ones: a valid authentication code
    /// for datagrams between hosts, nothing for all others, which are not authenticated.
    bool hasValidTrailer(byte_view bytes, std::size_t consumed, datagram_type type) const;

    host_settings m_settings;
    const clock_source &m_clock;
    host_output &m_output;
    std::mt19937_64 m_random;
    table m_table;
    token_keys m_keys;
    membership m_members;
    gate_map m_gateMap;
    host_context m_context;
    gate_role m_gateRole;
    receiver m_receiver;
    table_keeper m_tableKeeper;
    chart_position m_lifecycle;
    monotonic_time m_lastActivity;
    monotonic_time m_stateEnteredAt;
    monotonic_time m_nextHandover{};
    monotonic_time m_nextImportedHandover{};
    monotonic_time m_lastHandoverAt{};
    bool m_handoverStarted = false;
    bool m_isTableTooOld = false;
    std::map<std::uint32_t, order_handover> m_pendingHandovers;
};

} // namespace figstair
