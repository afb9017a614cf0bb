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

    milliseconds keySettleTime{10000}; ///< a key is minted with only after this
    milliseconds tokenLife{12 * 3600 * 1000};

    /// A host whose table was not confirmed for this time sends nothing on: an address may have
    /// been given to another service meanwhile.
    milliseconds longestStaleness{24 * 3600 * 1000};
    milliseconds orderWindow{300000}; ///< a token admits new orders for this time
    milliseconds orderMargin{120000}; ///< records outlive the window by this
    std::size_t maxOrderRecords = 60000;
    std::size_t maxOrderAnswerBytes = std::size_t{8} << 20U;
    std::uint32_t maxBudgetMs = 60000;
    std::size_t candidates = 4;
    std::uint16_t lowLoad = 200; ///< per mille; below it the first candidate takes a flow
    milliseconds freezeTime{1500};
    milliseconds gateIdleTime{60000};
    milliseconds takeoverPatience{1000}; ///< an open waits so long for the first report
    milliseconds inheritancePatience{3000}; ///< a new gate waits so long for others' records
    double openRetryShare = 0.2;
    double openRetriesKept = 50.0;
};

} // namespace figstair
