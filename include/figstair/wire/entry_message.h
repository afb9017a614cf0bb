#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/fleet_records.h"
#include "figstair/core/load_board.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// What one host tells the others several times a second.
struct peer_report
{
    host_record sender;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    bool isDelta = false; ///< rows add to the last report's, and say nothing of loads
    std::uint64_t viewRevision = 0; ///< revision of the store that the sender's view has reached
    milliseconds viewAge{0}; ///< time since the store itself answered the sender
    std::uint64_t configVersion = 0;
    std::vector<load_row> rows;
};

/// Changes of the store's records that one host passes on to others.
struct view_changes
{
    std::uint64_t after = 0; ///< the changes follow this revision without a gap
    std::uint64_t revision = 0; ///< the last one of them
    milliseconds age{0}; ///< time since the store itself answered the sender
    milliseconds grace{0}; ///< for how long missing entries may still come back
    std::vector<record_change> records;
};

/// Asks for the changes after a revision.
struct view_pull
{
    std::uint64_t after = 0;
    endpoint replyTo;
};

/// Asks a seed for its whole view. Sent without a code: the sender does not know the key yet.
struct view_request
{
    std::uint64_t nonce = 0;
    std::string hostName;
};

/// The whole view, for a host that has started while the store does not answer it.
struct view_snapshot
{
    std::uint64_t nonce = 0; ///< of the request
    peer_key key{};
    std::uint64_t revision = 0;
    milliseconds age{0}; ///< time since the store confirmed the view
    std::vector<record_change> records;
};

using unsigned_message = std::variant<view_request, view_snapshot>;
using entry_message = std::variant<peer_report, view_changes, view_pull>;

/// Reports bytes that are no message between hosts, or not from one that has the shared key.
struct entry_message_error
{
    std::string problem;
};

/// Greatest size of an encoded message between hosts, in bytes.
constexpr std::size_t maxEntryMessageBytes = 49152;

/// Changes are passed on in messages of about this size, in bytes: few enough for a zone's return
/// to pass a weak host's link in turns, small enough to lose little with one lost packet.
constexpr std::size_t viewChangesPartBytes = 16384;

/// Splits @p changes into parts that follow each other without a gap, each not much greater than
/// @p maxBytes bytes when encoded. Changes of one revision stay together.
std::vector<view_changes> splitBySize(const view_changes &changes, std::size_t maxBytes);

/// CBOR behind a mark that no signed message begins with.
byte_buffer encodeUnsigned(const unsigned_message &message);

/// Whether @p bytes claim to be an unsigned message.
bool isUnsigned(byte_view bytes);

/// Fails with entry_message_error.
boost::leaf::result<unsigned_message> decodeUnsigned(byte_view bytes);

/// CBOR, followed by an authentication code.
byte_buffer encodeEntryMessage(const peer_key &key, const entry_message &message);

/// Fails with entry_message_error.
boost::leaf::result<entry_message> decodeEntryMessage(const peer_key &key, byte_view bytes);

} // namespace figstair
