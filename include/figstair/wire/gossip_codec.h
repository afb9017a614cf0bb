#pragma once

#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/gate/member.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Error: the bytes are not a gossip message or a member list.
struct gossip_error
{
    std::string problem;
};

/// Encodes @p message as CBOR.
byte_buffer encodeGossip(const gossip_message &message);

/// Fails with gossip_error; never throws.
boost::leaf::result<gossip_message> decodeGossip(byte_view bytes);

/// Encodes @p members as CBOR.
byte_buffer encodeMembers(const std::vector<member> &members);

/// Fails with gossip_error; never throws.
boost::leaf::result<std::vector<member>> decodeMembers(byte_view bytes);

} // namespace figstair
