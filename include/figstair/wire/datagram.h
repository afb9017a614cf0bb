#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/core/span.hpp>
#include <boost/leaf/result.hpp>

#include "figstair/core/endpoint.h"

namespace figstair {

using byte_view = boost::span<const std::uint8_t>;
using byte_buffer = std::vector<std::uint8_t>;

constexpr std::uint64_t wireVersion = 1;
constexpr std::size_t maxDatagramBytes = 1452;

/// Largest answer part, in bytes, that fits in one datagram together with its header on every hop.
constexpr std::size_t maxPartBytes = 1024;

enum class datagram_type : std::uint8_t {
    // caller to host
    open = 1, ///< asks for a flow to a service
    request = 2, ///< a request on a flow
    close = 3, ///< ends a flow
    // host to caller
    opened = 4, ///< reply to open; carries the token of the flow
    answer = 5, ///< one part of an answer; also sent by upstreams to hosts
    refusal = 6, ///< the request gets no answer; also sent by upstreams to hosts
    // host to upstream
    upstreamRequest = 7, ///< a request for the upstream to run
    cancel = 8, ///< the answer to a request is no longer needed
    probe = 9, ///< asks for a report
    // upstream to host
    report = 10, ///< load and health of the upstream
    // host to host, authenticated
    forwardOpen = 11,
    forwardRequest = 12,
    forwardClose = 13,
    ping = 14,
    ack = 15,
    pingRequest = 16,
    last = pingRequest
};

/// Reason of a refusal, and what it says about whether the request was run.
enum class refusal_status : std::uint8_t {
    none = 0,
    notRun = 1, ///< the request was not run and no copy of it will be
    unknown = 2, ///< the request may or may not have been run
    placeAgain = 3, ///< the flow has ended; open a new one. Idempotent requests only
    overloaded = 4, ///< no capacity; retry after retryAfterMs. Opens and idempotent requests only
    badToken = 5, ///< the token is invalid; earlier copies may still have been run
    noService = 6, ///< no such service
    tryAgain = 7 ///< this copy was dropped, others may have been run; resend it unchanged
};

/// Idempotent requests may be run more than once; an order must not be.
enum class request_kind : std::uint8_t { idempotent = 0, order = 1 };

/// Phase of an upstream, as reported by the upstream itself.
enum class upstream_phase : std::uint8_t { ready = 0, cold = 1, draining = 2 };

/// Load and health report of an upstream about itself. It may be outdated or wrong.
struct upstream_report
{
    std::uint64_t startId = 0; ///< changes at every start of the upstream
    upstream_phase phase = upstream_phase::ready;
    std::uint32_t slotsInUse = 0; ///< slots in use; 0 when not reported
};

/// One UDP message, encoded as a CBOR map with integer keys. docs/DESIGN.md lists the members that
/// each type uses; the others keep their defaults and are not encoded.
struct datagram
{
    datagram_type type = datagram_type::open;
    std::string_view service;
    std::uint64_t requestId = 0;
    byte_view token;
    request_kind kind = request_kind::idempotent;
    std::uint32_t budgetMs = 0; ///< time left until the answer is due
    std::uint32_t firstPart = 0; ///< request: index of the first part requested
    std::uint32_t partCount = 0; ///< request: number of parts requested
    std::uint32_t part = 0; ///< answer: index of this part
    std::uint32_t partTotal = 0; ///< answer: number of parts in the complete answer
    std::uint64_t digest = 0; ///< answer: hash of the complete answer
    refusal_status status = refusal_status::none;
    std::uint32_t retryAfterMs = 0;
    std::uint64_t traceId = 0;
    std::uint64_t spanId = 0; ///< span of the sender; parent of the span of the receiver
    // between hosts
    endpoint caller;
    std::uint32_t hopsLeft = 0;
    std::uint32_t upstreamId = 0;
    byte_view candidates; ///< forwardOpen: see candidate_list
    std::uint64_t sequence = 0;
    // report of an upstream; also attached to answers
    bool hasReport = false;
    upstream_report report;
    byte_view payload;
};

/// Error: the bytes are not a datagram of this protocol version.
struct datagram_error
{
    std::string problem;
};

/// Appends the encoded @p message to @p out.
void encodeDatagram(const datagram &message, byte_buffer &out);

/// Decodes one datagram from the start of @p bytes and sets @p consumed to its size in bytes. Views
/// in the result point into @p bytes. Fails with datagram_error; never throws.
boost::leaf::result<datagram> decodeDatagram(byte_view bytes, std::size_t &consumed);

/// True for types that only hosts send, to other hosts.
bool isHostToHost(datagram_type type);

/// Shared key with which hosts authenticate messages to each other.
using peer_key = std::array<std::uint8_t, 16>;

constexpr std::size_t peerMacBytes = 16;

/// Appends the message authentication code (MAC) of @p bytes to them.
void signPeerDatagram(const peer_key &key, byte_buffer &bytes);

/// Returns whether @p bytes end with a valid MAC of the bytes before it.
bool verifyPeerDatagram(const peer_key &key, byte_view bytes);

} // namespace figstair
