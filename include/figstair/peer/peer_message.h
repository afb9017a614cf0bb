#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/host_output.h"
#include "figstair/core/member.h"
#include "figstair/core/table_keeper.h"
#include "figstair/wire/datagram.h"

namespace figstair {

// Messages between hosts over peer links.

struct members_request
{
    member_slice slice;
};
struct members_reply
{
    std::vector<member> members;
};
struct table_request
{
    std::uint64_t revision = 0;
};
struct handover_taken
{
    std::uint32_t upstreamId = 0;
    std::uint64_t gateIncarnation = 0; ///< of the process that has taken it
};

using peer_message = std::variant<members_request, members_reply, table_request, table_reply,
                                  order_handover, handover_taken>;

/// Reports bytes that are no authentic peer message.
struct peer_message_error
{
    std::string problem;
};

/// CBOR bytes with an authentication code at the end.
std::string encodePeerMessage(const peer_key &key, const peer_message &message);

/// Fails with peer_message_error; never throws.
boost::leaf::result<peer_message> decodePeerMessage(const peer_key &key, const std::string &bytes);

} // namespace figstair
