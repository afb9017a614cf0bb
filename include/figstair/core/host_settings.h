#pragma once

#include <vector>

#include "figstair/core/member.h"
#include "figstair/core/membership.h"
#include "figstair/core/upstream_gate.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Settings of the decisions; the process around them has more.
struct host_settings
{
    member self;
    std::vector<endpoint> seeds;
    peer_key peerSecret{};
    membership_settings membership;
    upstream_gate_settings gate;

    milliseconds keyActivationDelay{10000}; ///< a key is minted with only after this
    milliseconds tokenLifetime{12 * 3600 * 1000};

    /// A host whose table was not confirmed for this time sends nothing on: an address may have
    /// been given to another service meanwhile.
    milliseconds maxTableAge{24 * 3600 * 1000};
    milliseconds orderWindow{300000}; ///< a token admits new orders for this time
    milliseconds orderRecordMargin{120000}; ///< records outlive the window by this
    std::size_t maxOrderRecords = 60000;
    std::size_t maxOrderAnswerBytes = std::size_t{8} << 20U;
    std::uint32_t maxBudgetMs = 60000;
    std::size_t candidatesPerOpen = 4;
    std::uint16_t lowLoadPerMille = 200; ///< per mille; below it the first candidate takes a flow
    milliseconds freezeThreshold{1500};
    milliseconds gateIdleTimeout{60000};
    milliseconds firstReportTimeout{1000}; ///< an open waits so long for the first report
    milliseconds recordTransferTimeout{3000}; ///< a new gate waits so long for others' records
    double openRetryRatio = 0.2;
    double openRetryBurst = 50.0;
};

} // namespace figstair
