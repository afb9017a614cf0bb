#pragma once

#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/member.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Reports bytes that are no gossip or member list.
struct gossip_error
{
    std::string problem;
};

byte_buffer encodeGossip(const gossip_message &message);

/// Fails with gossip_error; never throws.
boost::leaf::result<gossip_message> decodeGossip(byte_view bytes);

byte_buffer encodeMembers(const std::vector<member> &members);

/// Fails with gossip_error; never throws.
boost::leaf::result<std::vector<member>> decodeMembers(byte_view bytes);

} // namespace figstair
