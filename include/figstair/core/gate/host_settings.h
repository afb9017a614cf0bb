#pragma once

#include <vector>

#include "figstair/core/gate/member.h"
#include "figstair/core/gate/membership.h"
#include "figstair/core/gate/upstream_gate.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Settings of host_core. The settings of the host process are in process_settings.h.
struct host_settings
{
    member self;
    std::vector<endpoint> seeds;
    /// The key that all hosts share. Authenticates messages between hosts and also encrypts the
    /// token keys in the table.
    peer_key peerSecret{};
    membership_settings membership;
    upstream_gate_settings gate;

    milliseconds keyActivationDelay{10000}; ///< a key mints only after this; all hosts know it then
    milliseconds tokenLifetime{12 * 3600 * 1000};

    /// A host whose table has not been confirmed for this long stops forwarding: an upstream's
    /// address may have been reassigned to another service.
    milliseconds maxTableAge{24 * 3600 * 1000};
    milliseconds orderWindow{300000}; ///< new orders are accepted until the token has this age
    milliseconds orderRecordMargin{120000}; ///< time records are kept after the window
    std::size_t maxOrderRecords = 60000;
    std::size_t maxOrderAnswerBytes = std::size_t{8} << 20U;
    std::uint32_t maxBudgetMs = 60000; ///< longest time for an answer; longer ones are cut
    /// Upstreams drawn for a new flow; at most 8, because gates drop opens with more candidates.
    std::size_t candidatesPerOpen = 4;
    std::uint16_t lowLoadPerMille = 200; ///< below it no other candidate is asked
    milliseconds freezeThreshold{1500}; ///< gap in activity that counts as a freeze
    milliseconds gateIdleTimeout{60000}; ///< an unused gate is removed after this
    milliseconds firstReportTimeout{1000}; ///< longest wait of an open for the first report
    milliseconds recordHandoverTimeout{3000}; ///< wait of a new gate for former gates' records
    double openRetryRatio = 0.2; ///< open retries allowed per accepted flow
    double openRetryBurst = 50.0; ///< most open retries saved up
};

} // namespace figstair
