#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/gate/host_output.h"
#include "figstair/core/gate/member.h"
#include "figstair/core/gate/table_keeper.h"
#include "figstair/wire/datagram.h"

namespace figstair {

// Messages between hosts over peer links. The index in peer_message is the type on the wire.

/// Requests the member records of a slice. The reply is empty when the digests are equal.
struct members_request
{
    member_slice slice;
};
/// Reply to members_request.
struct members_reply
{
    std::vector<member> members;
};
/// Requests the table edits after a revision.
struct table_request
{
    std::uint64_t revision = 0;
};
/// Confirms an order_handover.
struct handover_taken
{
    std::uint32_t upstreamId = 0;
    std::uint64_t gateIncarnation = 0; ///< of the process that accepted the handover
};

using peer_message = std::variant<members_request, members_reply, table_request, table_reply,
                                  order_handover, handover_taken>;

/// Error: the bytes are not a peer message, or their MAC is wrong.
struct peer_message_error
{
    std::string problem;
};

/// Encodes @p message as CBOR, followed by a MAC.
std::string encodePeerMessage(const peer_key &key, const peer_message &message);

/// Verifies the MAC and decodes the message. Fails with peer_message_error; never throws.
boost::leaf::result<peer_message> decodePeerMessage(const peer_key &key, const std::string &bytes);

} // namespace figstair
