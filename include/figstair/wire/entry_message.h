#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/core/load/load_board.h"
#include "figstair/core/view/fleet_records.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// State and observed upstream loads of a host, sent to the other hosts several times a second.
struct peer_report
{
    host_record sender;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    bool isDelta = false; ///< rows add to those of the last report and carry no loads
    std::uint64_t viewRevision = 0; ///< store revision that the view of the sender has reached
    milliseconds viewAge{0}; ///< time since the store last answered the sender directly
    std::uint64_t configVersion = 0;
    std::vector<load_row> rows;
    unsigned newFlowsPerSecond = 0; ///< that callers open at the sender; 0: not known
    std::uint64_t viewEpoch = 0; ///< epoch of the store that viewRevision counts in
    /// Tags of upstreams that did not acknowledge data of the sender's callers a moment ago.
    std::vector<std::uint32_t> unacknowledging;
};

/// Place of a message in a set: the messages with the changes of one revision range, or with a
/// whole view, if those are too large for one message.
struct set_position
{
    std::uint64_t set = 0; ///< hash of all records of the set
    unsigned index = 0; ///< of this message
    unsigned count = 1; ///< of messages; 1: the message is complete by itself
};

/// Changes of store records that a host forwards to other hosts.
struct view_changes
{
    std::uint64_t after = 0; ///< revision that the changes follow without a gap
    std::uint64_t revision = 0; ///< revision of the last change
    milliseconds age{0}; ///< time since the store last answered the sender directly
    milliseconds grace{0}; ///< time for which missing entries may still return
    std::vector<record_change> records;
    std::uint64_t epoch = 0; ///< of the store that the revisions count in
    set_position part = {};
};

/// Requests the changes after a revision.
struct view_pull
{
    std::uint64_t after = 0;
    endpoint replyTo;
    std::uint64_t epoch = 0; ///< of the store that the revision counts in
};

/// Requests the complete view of a seed. Sent without a MAC, as the sender has no peer key yet.
struct view_request
{
    std::uint64_t nonce = 0;
    std::string hostName;
};

/// The complete view, for a host that starts while the store does not answer it.
struct view_snapshot
{
    std::uint64_t nonce = 0; ///< copied from the request
    peer_key key{};
    std::uint64_t revision = 0;
    milliseconds age{0}; ///< time since the store confirmed the view
    std::vector<record_change> records;
    std::uint64_t epoch = 0; ///< of the store that the revisions count in
    set_position part = {};
};

using unsigned_message = std::variant<view_request, view_snapshot>;
using entry_message = std::variant<peer_report, view_changes, view_pull>;

/// Error: the bytes are not a message between hosts, or their sender lacks the shared key.
struct entry_message_error
{
    std::string problem;
};

/// Maximum size of an encoded message between hosts, in bytes.
constexpr std::size_t maxEntryMessageBytes = 49152;

/// Approximate size of one message with forwarded changes, in bytes. It is small so that the
/// changes of a returning zone pass the link of a weak host in several turns, and a lost packet
/// loses little.
constexpr std::size_t viewChangesPartBytes = 16384;

/// Maximum number of messages in a set. At viewChangesPartBytes each they hold 8 MB, several times
/// what the largest value of the store becomes.
constexpr unsigned maxMessagesInSet = 512;

/// Encodes @p change as in a message with changes.
byte_buffer encodedBytes(const record_change &change);

/// Encodes @p message as CBOR after a prefix byte that no signed message begins with.
byte_buffer encodeUnsigned(const unsigned_message &message);

/// Returns whether @p bytes start with the prefix of unsigned messages.
bool isUnsigned(byte_view bytes);

/// Decodes the output of encodeUnsigned(). Fails with entry_message_error.
boost::leaf::result<unsigned_message> decodeUnsigned(byte_view bytes);

/// Encodes @p message as CBOR, followed by a MAC.
byte_buffer encodeEntryMessage(const peer_key &key, const entry_message &message);

/// Verifies the MAC and decodes the message. Fails with entry_message_error.
boost::leaf::result<entry_message> decodeEntryMessage(const peer_key &key, byte_view bytes);

} // namespace figstair
