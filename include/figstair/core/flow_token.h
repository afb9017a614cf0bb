#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"
#include "figstair/table/table.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// What a host needs to route any packet of a flow without a table of flows. Minted by the gate
/// that placed the flow, echoed by the caller in every later packet.
struct flow_token
{
    std::uint32_t serviceId = 0;
    std::uint32_t upstreamId = 0;
    std::uint64_t gateIncarnation = 0; ///< the process that keeps the flow's order records
    wall_time issuedAt{}; ///< whole seconds
    std::uint64_t nonce = 0; ///< names the flow; kept when a token is renewed
    std::uint64_t callerHash = 0; ///< addressHash() of the caller
};

constexpr std::size_t flowTokenBytes = 60;
using flow_token_bytes = std::array<std::uint8_t, flowTokenBytes>;

/// Reports why a token is not accepted.
struct token_error
{
    enum class problem { size, version, unknownKey, forged } reason = problem::size;
};

/// Opens the sealed keys of the table, mints tokens with one of them and verifies with any.
class token_keys
{
public:
    /// @p sealingKey opens the keys held in the table. A key mints only when it is older than
    /// @p settleTime, so that all hosts know it by then.
    token_keys(const peer_key &sealingKey, milliseconds settleTime);

    /// Takes the keys of @p current in place of the earlier ones. Keys that cannot be opened are
    /// left out; their number is returned.
    std::size_t update(const table &current);

    bool empty() const { return m_keys.empty(); }

    /// Mints with the newest settled key, or with the oldest when none is settled. There has to be
    /// a key.
    flow_token_bytes mint(const flow_token &token, wall_time now) const;

    /// Fails with token_error.
    boost::leaf::result<flow_token> verify(byte_view bytes) const;

private:
    struct open_key
    {
        wall_time createdAt{};
        peer_key secret{};
    };

    peer_key m_sealingKey;
    milliseconds m_settleTime;
    std::map<std::uint32_t, open_key> m_keys;
};

/// A fresh random key sealed with @p sealingKey, as hexadecimal text for the table.
std::string makeSealedKey(const peer_key &sealingKey);

/// Reads 32 hexadecimal digits.
std::optional<peer_key> parsePeerKey(std::string_view text);

} // namespace figstair
