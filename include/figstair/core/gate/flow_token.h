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

/// Routing data of a flow, which lets any host route its packets without a flow table. The caller
/// sends it in every later packet. Minted by the gate that accepts the flow, and again by a gate
/// that renews it. A receiver that is not the gate mints one to bind the flow to a new caller
/// address; the gate, the time of issue and the nonce stay.
struct flow_token
{
    std::uint32_t serviceId = 0;
    std::uint32_t upstreamId = 0;
    std::uint64_t gateIncarnation = 0; ///< the process that keeps the flow's order records
    wall_time issuedAt{}; ///< encoded in whole seconds
    std::uint64_t nonce = 0; ///< identifies the flow; kept when the token is renewed
    std::uint64_t callerHash = 0; ///< addressHash() of the caller
};

constexpr std::size_t flowTokenBytes = 60;
using flow_token_bytes = std::array<std::uint8_t, flowTokenBytes>;

/// Reports why a token is rejected.
struct token_error
{
    enum class problem { size, version, unknownKey, forged } reason = problem::size;
};

/// Decrypts the sealed, that is encrypted, token keys of the table. Mints tokens with one key and
/// verifies them with any.
class token_keys
{
public:
    /// @p sealingKey decrypts the keys in the table. Keys younger than @p activationDelay are not
    /// used to mint, so that all hosts have a key before they must verify with it. When every key
    /// is younger, the one with the lowest id is used.
    token_keys(const peer_key &sealingKey, milliseconds activationDelay);

    /// Replaces all keys with those of @p current. Keys that cannot be decrypted are left out;
    /// returns their number.
    std::size_t update(const table &current);

    bool empty() const { return m_keys.empty(); }

    /// Mints with the key of the highest id that is older than the activation delay, or with the
    /// key of the lowest id when none is. There must be a key.
    flow_token_bytes mint(const flow_token &token, wall_time now) const;

    /// Checks the size, version, key and MAC of a token. Fails with token_error. Does not check its
    /// age.
    boost::leaf::result<flow_token> verify(byte_view bytes) const;

private:
    struct decrypted_key
    {
        wall_time createdAt{};
        peer_key secret{};
    };

    peer_key m_sealingKey;
    milliseconds m_activationDelay;
    std::map<std::uint32_t, decrypted_key> m_keys;
};

/// A new random token key encrypted with @p sealingKey, as hexadecimal text for the table.
std::string makeSealedKey(const peer_key &sealingKey);

/// Parses 32 hexadecimal digits. Returns nothing when the text is not of that form.
std::optional<peer_key> parsePeerKey(std::string_view text);

} // namespace figstair
