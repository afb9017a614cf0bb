#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figstair/core/flow/dead_flow_resetter.h"
#include "figstair/core/flow/flow_context.h"
#include "figstair/core/flow/flow_opener.h"
#include "figstair/core/health/silence_watch.h"
#include "figstair/core/view/zone_isolation.h"

namespace figstair {

/// Summary of a host's current view, for the state lines of its log.
struct entry_state
{
    std::uint64_t configVersion = 0;
    std::size_t hostsAlive = 0; ///< without this host
    std::size_t upstreams = 0; ///< see upstream_directory::size()
    std::size_t ejected = 0;
    std::size_t flowsHeld = 0;
};

/// Makes all decisions of the packet path of the command `figstair entry`. The command
/// `figstair host` has a separate data path, host_core; a process runs one of them. Its inputs are
/// packets, store records, reports of other hosts and time; it acts through entry_output only. It
/// uses no sockets, no threads and no clock but the one passed in. The clock and the output must
/// outlive it.
class entry_core
{
public:
    entry_core(const entry_settings &settings, const clock_source &clock, std::uint64_t seed,
               entry_output &output);
    entry_core(const entry_core &) = delete;
    entry_core &operator=(const entry_core &) = delete;

    /// Handles one packet of a caller. @p bytes is the unmodified packet.
    void onPacket(const flow_packet &packet, byte_view bytes);

    /// The socket for callers' packets was found empty: later packets have arrived since.
    void onInputDrained() { m_deadFlows.onInputDrained(m_clock.monotonic()); }

    /// The host sends a datagram with @p payloadBytes, for whatever purpose.
    void onDatagramSent(std::size_t payloadBytes)
    {
        m_deadFlows.onDatagramSent(payloadBytes, m_clock.monotonic());
    }

    /// Applies one change of a store record.
    void onRecordChange(const record_change &change);

    /// The store was restored from an older copy, and a listing of it follows; see
    /// upstream_directory::onStoreRestored().
    void onStoreRestored();

    /// Applies a full listing of the store as of @p revision. Upstreams, hosts and evacuations that
    /// it lacks count as removed from the store.
    void onListing(const std::vector<record_change> &listing, std::uint64_t revision);

    /// See upstream_directory::keepLapsedUntil().
    void keepLapsedUntil(monotonic_time until) { m_directory.keepLapsedUntil(until); }

    /// Applies a load and health report of another host. @p ownView: position of this host's view
    /// of the store.
    void onPeerReport(const peer_report &report, const store_position &ownView = {});

    /// All store records known to this host, as changes.
    std::vector<record_change> snapshot() const;

    /// Runs all timers that are due. Must be called no later than nextDeadline().
    void tick();

    /// Notes that the process was frozen for @p gap. Missing answers are not held against upstreams
    /// for the next 400 ms. After a gap of 1 s or more SYNs are also dropped, until the view of the
    /// store is confirmed as of a time after the freeze, for at most 500 ms: the view is out of
    /// date, and the SYNs that queued up meanwhile have been retransmitted through other hosts or
    /// given up by their callers.
    void onFreeze(milliseconds gap);

    /// Notes that the view of the store was current and complete at @p asOf.
    void onViewConfirmed(monotonic_time asOf);

    /// Whether SYNs are dropped because the view of the store is not yet confirmed after a long
    /// freeze.
    bool isResuming() const;

    /// Whether readiness checks may pass: this host reaches an upstream, or leaving would have no
    /// benefit; see zone_isolation. False until a configuration is loaded and the first listing was
    /// applied.
    bool isInRotation() const { return m_isolation.isInRotation(); }

    /// Returns the report to other hosts that is due now, if any; the next is due at nextReport().
    std::optional<outgoing_report> takeDueReport();
    monotonic_time nextReport() const { return m_reports.nextDeadline(); }

    /// Starts to announce, in reports and to readiness checks, that this host leaves.
    void leave() { m_reports.leave(); }
    bool isLeaving() const { return m_reports.isLeaving(); }

    const route_config &config() const { return m_routes.config(); }

    /// Time at which tick() must be called next.
    monotonic_time nextDeadline() const;

    entry_state state() const;

    bool hasConfig() const { return m_routes.isLoaded(); }
    std::uint64_t configVersion() const { return m_routes.config().version; }
    const peer_roster &roster() const { return m_roster; }
    peer_roster &roster() { return m_roster; }
    upstream_directory &directory() { return m_directory; }
    const load_board &loads() const { return m_loads; }
    monotonic_time lastPacketAt() const { return m_lastPacketAt; }

    /// Replaces the settings. The capacity of the flow table, the flow life of the directory and
    /// the host's own record keep their initial values.
    void updateSettings(const entry_settings &settings);

private:
    void acceptConfig(const record_change &change);
    void onSubsequentPacket(const flow_packet &packet, byte_view bytes);
    /// Whether a configuration dropped the route of the flow of @p packet, for which this host has
    /// none: it may also be one that this host does not know yet.
    bool wasRouteDropped(const flow_packet &packet);
    void endFlowWithoutRoute(const flow_packet &packet);
    /// The upstream of the flow that @p packet is part of, or noUpstream. @p record is the record
    /// of that flow, or nullptr.
    upstream_index upstreamOf(const flow_packet &packet, const flow_record *record) const;
    void forward(byte_view bytes, upstream_index upstream);
    void onHandshakeCompleted(const flow_packet &packet, flow_record &record,
                              upstream_index upstream);
    void adoptFlow(const flow_packet &packet, flow_record &record, upstream_index upstream);
    void recordWork(const flow_packet &packet, const flow_record &record, milliseconds answerTime);
    void recordAnswer(const flow_packet &packet, flow_record &record);
    /// Returns when the latest request was last forwarded, if the packet repeats it and
    /// acknowledges nothing new.
    std::optional<monotonic_time> recordRequest(const flow_packet &packet, flow_record &record);
    void sweepFlows();
    void sweepRoster();
    void updateRotation();

    entry_settings m_settings;
    const clock_source &m_clock;
    entry_output &m_output;
    route_table m_routes;
    config_currency m_configCurrency;
    upstream_directory m_directory;
    load_board m_loads;
    upstream_health m_health;
    peer_roster m_roster;
    report_exchange m_reports;
    flow_table m_flows;
    service_times m_serviceTimes;
    request_cost m_costs;
    outstanding_work m_openWork;
    flow_context m_context; ///< refers to the members above
    silence_watch m_silence;
    dead_flow_resetter m_deadFlows;
    zone_isolation m_isolation;
    flow_opener m_opener;
    monotonic_time m_nextSweep{};
    monotonic_time m_nextRosterSweep{};
    monotonic_time m_lastPacketAt{};
    monotonic_time m_resumedAt{};
    bool m_isResuming = false;
    bool m_hasView = false; ///< onListing() was called
};

} // namespace figstair
