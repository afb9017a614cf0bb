#pragma once

#include <cstdint>
#include <string_view>

#include "figstair/core/flow/flow_packet.h"
#include "figstair/core/gate/host_output.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// Counters of the packet path; toText() returns their metric names.
enum class entry_counter : std::uint8_t {
    packetsReceived,
    packetsMalformed,
    packetsReflected, ///< SYN-ACKs from the callers' side, dropped
    packetsWithoutRoute,
    packetsAwaitingConfig, ///< on a route that this host may not know yet
    packetsWithUnknownTag,
    packetsBeforeConfig, ///< SYNs dropped because no configuration is loaded
    packetsStale, ///< SYNs dropped after a long freeze
    packetsForwarded, ///< without SYNs
    flowsPlaced, ///< SYNs forwarded, repetitions included
    flowsPlacedByWork, ///< those whose upstream was chosen by outstanding work
    flowsRepeated, ///< unanswered SYNs sent to a second upstream
    flowsAdopted, ///< flows first seen at this host by a packet with a known tag, not by their SYN
    flowsHeld,
    flowsHeldTooLong, ///< held flows for which no upstream had room within their latency target
    flowsReset, ///< refused or ended for lack of a route
    flowsRefused, ///< refused because upstreams were saturated, or there was none
    flowsDropped, ///< as flowsRefused, but without a reset, since an upstream might open them
    /// Refused or dropped although an upstream had a free slot by the latest reports.
    flowsRefusedWithFreeSlot,
    flowsResetUpstreamDead,
    trialsSent,
    coldFlowsSent,
    ejections,
    shortAnswers, ///< so fast and small that they are most likely errors
    freezes,
    rotationLeaves, ///< this host left the rotation: it reached no upstream
    peerMessagesReceived,
    peerMessagesRejected,
    configsAccepted,
    unreadableRecords,
    storeCalls,
    storeFailures,
    storeBytesDiscarded, ///< received of answers of the store that did not arrive as a whole
    storeRestorations, ///< new epochs of the store: it was restored from an older copy
    logLinesDropped,
    reportBytesSent, ///< periodic load and health reports, to other hosts
    newsBytesSent, ///< reports sent before they were due
    viewBytesSent, ///< store records, to other hosts
    peerBytesReceived,
    relaysOversized, ///< messages with store records that are too large for other hosts to accept
    relaysWithGap, ///< relayed changes that do not follow this host's view
    relaysOfOtherEpoch, ///< relayed changes of another epoch of the store
    count
};

std::string_view toText(entry_counter which);

/// Histograms of the packet path, in milliseconds; toText() returns their metric names.
enum class entry_distribution : std::uint8_t {
    handshake,
    firstAnswer,
    held,
    peerMessageDelay, ///< upper bounds of how long messages from other hosts waited to be read
    viewBehind, ///< how long this host lacked changes that another host had
    count
};

std::string_view toText(entry_distribution which);

/// Interface through which entry_core sends packets, logs and counts.
class entry_output
{
public:
    virtual ~entry_output() = default;

    /// Forwards a caller's packet to @p upstream, which it names by its tag.
    virtual void forward(byte_view packet, const known_upstream &upstream) = 0;

    /// Sends a TCP reset with sequence number @p sequence to the caller of @p flow.
    virtual void reset(const flow_id &flow, std::uint32_t sequence) = 0;

    virtual void logEvent(std::string_view name, event_fields fields) = 0;
    virtual void count(entry_counter which, std::uint64_t amount) = 0;
    virtual void observe(entry_distribution which, milliseconds value) = 0;
};

} // namespace figstair
