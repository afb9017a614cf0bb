#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figstair/core/endpoint.h"

namespace figstair {

/// States of a host as other hosts see it; of two reports that are otherwise equal the later one
/// in this list wins.
enum class member_state : std::uint8_t { joining, alive, suspect, leaving, left, dead };

/// What hosts tell each other about one host.
struct member
{
    std::string name;
    std::string zone;
    endpoint address; ///< for datagrams
    std::uint16_t peerPort = 0; ///< for peer links, at the same IP address
    std::uint16_t statusPort = 0; ///< for the status page, at the same IP address
    std::uint64_t incarnation = 0; ///< one start of the process; greater for later starts
    std::uint32_t refutation = 0; ///< raised by the host itself to overrule what is said of it
    member_state state = member_state::joining;
};

/// True when @p candidate tells something newer than @p known about the same host.
bool supersedes(const member &candidate, const member &known);

/// Whether a host takes part: it answers pings and routes packets.
bool isPresent(member_state state);

/// Whether a host may be chosen as bridge: it takes part and is not suspected.
bool mayBeBridge(member_state state);

/// Whether a host may be chosen as gate.
bool mayBeGate(member_state state);

std::string_view toText(member_state state);

/// A part of the member records, by the hash of their names, and what is known of it.
struct member_slice
{
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< slices that all records are divided into
    std::uint64_t digest = 0;
};

/// Whether hosts of a zone can be reached from the sender's zone. Only hosts of the sender's zone
/// use it.
struct zone_reach
{
    std::string zone;
    std::uint32_t version = 0;
    bool reachable = true;
};

/// How long ago a bridge heard from a zone.
struct zone_contact
{
    std::string zone;
    std::uint32_t ageMs = 0;
};

/// Payload of ping, ack and pingRequest.
struct gossip_message
{
    std::string sender;
    std::uint64_t viewDigest = 0; ///< equal when both hosts hold the same member records
    std::uint64_t tableRevision = 0;
    std::string tableDigest;
    std::uint32_t confirmedAgeMs = 0; ///< since the platform last confirmed the table
    std::string target; ///< pingRequest: whom to ping
    std::vector<member> updates;
    std::vector<zone_reach> reach;
    std::vector<zone_contact> contacts; ///< between bridges of one zone
};

} // namespace figstair
