#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "figstair/core/gate/host_core.h"
#include "figstair/peer/peer_message.h"
#include "figstair/replay/replay_network.h"

namespace figstair {

/// A simulated host: the host_core of production, connected to the replay's network and clock. It
/// can be killed, restarted, frozen and thawed.
class replay_host : public host_output
{
public:
    /// Returns the host at an address, for peer links; null when there is none.
    using host_finder = std::function<replay_host *(const endpoint &address)>;

    replay_host(host_settings settings, std::uint64_t seed, timeline &time, replay_network &network,
                host_finder findHost);

    const std::string &name() const { return m_settings.self.name; }
    const std::string &zone() const { return m_settings.self.zone; }
    const endpoint &address() const { return m_settings.self.address; }

    /// Starts the host with a new incarnation and no state.
    void start();

    /// Ends the host at once, as a crash does.
    void kill();

    /// Suspends the host: messages are kept until thaw() and handled then.
    void freeze() { m_isFrozen = true; }
    void thaw();

    /// Begins a planned stop; the host ends in a later tick().
    void stop();

    bool isRunning() const { return m_core != nullptr; }
    bool isFrozen() const { return m_isFrozen; }

    /// Whether the last planned stop has completed.
    bool hasStopped() const { return m_hasStopped; }

    /// The production core; requires isRunning().
    host_core &core() { return *m_core; }
    const host_core &core() const { return *m_core; }

    /// Advances the core's timers unless the host is down or frozen.
    void tick();

    /// Value of a counter, summed over all starts of the host.
    std::uint64_t counterValue(counter which) const
    {
        return m_counters[static_cast<std::size_t>(which)];
    }

    /// Handles an encoded message that @p from sent over a peer link.
    void onPeerMessage(replay_host &from, const std::string &bytes);

    /// Enables printing of log events to standard error.
    void setPrintsEvents(bool printsEvents) { m_printsEvents = printsEvents; }

private:
    void onDatagram(const endpoint &from, const byte_buffer &bytes);
    void handlePeerMessage(replay_host &from, const peer_message &message);
    void sendPeer(const endpoint &to, const peer_message &message);

    void sendDatagram(const endpoint &to, byte_view bytes) override;
    void sendToUpstream(const endpoint &upstream, byte_view bytes) override;
    void requestMembers(const member &from, const member_slice &slice) override;
    void requestTable(const member &from, std::uint64_t revision) override;
    void sendHandover(const member &to, const order_handover &batch) override;
    void logEvent(std::string_view name, event_fields fields) override;
    void count(counter which, std::uint64_t amount) override;
    void observe(distribution, milliseconds) override { }
    void recordSpan(const span_record &) override { }

    host_settings m_settings;
    std::uint64_t m_seed;
    timeline &m_time;
    replay_network &m_network;
    host_finder m_findHost;
    std::unique_ptr<host_core> m_core;
    bool m_isFrozen = false;
    bool m_hasStopped = false;
    bool m_printsEvents = false;
    std::vector<std::function<void()>> m_deferredActions;
    std::array<std::uint64_t, static_cast<std::size_t>(counter::count)> m_counters{};
};

} // namespace figstair
