#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figstair/core/endpoint.h"

namespace figstair {

/// States of a host as seen by other hosts. Of two records with equal incarnation and refutation,
/// the one with the later state in this list supersedes the other.
enum class member_state : std::uint8_t { joining, alive, suspect, leaving, left, dead };

/// The record of one host, as exchanged between hosts.
struct member
{
    std::string name;
    std::string zone;
    endpoint address; ///< UDP address
    std::uint16_t peerPort = 0; ///< for peer links, at the same IP address
    std::uint16_t statusPort = 0; ///< for the status page, at the same IP address
    std::uint64_t incarnation = 0; ///< one run of the process; greater for later runs
    /// Version of the record within one run, which SWIM calls the incarnation number. Only the host
    /// itself raises it: to override others' records of it and when it changes its own state.
    std::uint32_t refutation = 0;
    member_state state = member_state::joining;
};

/// True when @p candidate is a newer record of the same host than @p known.
bool supersedes(const member &candidate, const member &known);

/// Whether a host is believed to run: it has neither left nor been declared dead.
bool isPresent(member_state state);

/// Whether a host may be chosen as a bridge: it is present and not suspect.
bool mayBeBridge(member_state state);

/// Whether a host may be chosen as a gate: it is alive or suspect.
bool mayBeGate(member_state state);

std::string_view toText(member_state state);

/// A partition of the member records by the hash of their names, with the requester's digest of it.
struct member_slice
{
    std::uint32_t index = 0;
    std::uint32_t count = 1; ///< number of slices
    std::uint64_t digest = 0;
};

/// Whether a zone can be reached from the sender's zone. Used only by hosts of the sender's zone.
struct zone_reach
{
    std::string zone;
    std::uint32_t version = 0;
    bool reachable = true;
};

/// Time since a bridge last received a message from a zone.
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
    std::uint32_t confirmedAgeMs = 0; ///< time since the platform last confirmed the table
    std::string target; ///< pingRequest: name of the host to ping
    std::vector<member> updates;
    std::vector<zone_reach> reach;
    std::vector<zone_contact> contacts; ///< between bridges of one zone
};

} // namespace figstair
