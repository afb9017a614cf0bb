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

/// Bytes of a part that fit beside the header in one datagram on every hop.
constexpr std::size_t maxPartBytes = 1024;

enum class datagram_type : std::uint8_t {
    // caller to host
    open = 1, ///< asks for a flow to a service
    request = 2, ///< asks for work on a flow
    close = 3, ///< ends a flow
    // host to caller
    opened = 4, ///< carries the flow's token
    answer = 5, ///< one part of an answer; also upstream to host
    refusal = 6, ///< no answer will come; also upstream to host
    // host to upstream
    upstreamRequest = 7, ///< a request for the upstream
    cancel = 8, ///< the answer to a request is no longer wanted
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

/// What a refusal says about the request.
enum class refusal_status : std::uint8_t {
    none = 0,
    notRun = 1, ///< it was not run and no copy of it will be
    unknown = 2, ///< it may or may not have been run
    placeAgain = 3, ///< the flow has ended; open another. Idempotent requests only
    overloaded = 4, ///< no room now; retry after the given time. Opens and idempotent requests
    badToken = 5, ///< the token was not accepted; nothing is said about earlier copies
    noService = 6, ///< no such service
    tryAgain = 7 ///< this copy was dropped, nothing is said of others; repeat it unchanged
};

enum class request_kind : std::uint8_t { idempotent = 0, order = 1 };

/// Phase an upstream reports of itself.
enum class upstream_phase : std::uint8_t { ready = 0, cold = 1, draining = 2 };

/// An upstream's report of itself; it may be late or wrong.
struct upstream_report
{
    std::uint64_t startId = 0; ///< changes at every start of the upstream
    upstream_phase phase = upstream_phase::ready;
    std::uint32_t slotsInUse = 0; ///< slots in use; 0 when not reported
};

/// One message over UDP: a CBOR map with integer keys. Which members a type uses is said in
/// docs/DESIGN.md; the others keep their defaults and take no bytes.
struct datagram
{
    datagram_type type = datagram_type::open;
    std::string_view service;
    std::uint64_t requestId = 0;
    byte_view token;
    request_kind kind = request_kind::idempotent;
    std::uint32_t budgetMs = 0; ///< time left for an answer
    std::uint32_t firstPart = 0; ///< request: first part wanted
    std::uint32_t partCount = 0; ///< request: parts wanted
    std::uint32_t part = 0; ///< answer: number of this part
    std::uint32_t partTotal = 0; ///< answer: parts of the whole
    std::uint64_t digest = 0; ///< answer: hash of the whole
    refusal_status status = refusal_status::none;
    std::uint32_t retryAfterMs = 0;
    std::uint64_t traceId = 0;
    std::uint64_t spanId = 0; ///< span of the sender, parent of the receiver's
    // between hosts
    endpoint caller;
    std::uint32_t hopsLeft = 0;
    std::uint32_t upstreamId = 0;
    byte_view candidates; ///< forwardOpen: see candidate_list
    std::uint64_t sequence = 0;
    // upstream's report; also sent along with answers
    bool hasReport = false;
    upstream_report report;
    byte_view payload;
};

/// Reports bytes that are no datagram of this version.
struct datagram_error
{
    std::string problem;
};

/// Appends @p message to @p out.
void encodeDatagram(const datagram &message, byte_buffer &out);

/// Reads one datagram. Views in the result point into @p bytes. @p consumed gets the number of
/// bytes read. Fails with datagram_error; never throws.
boost::leaf::result<datagram> decodeDatagram(byte_view bytes, std::size_t &consumed);

/// True for types that only hosts send to hosts.
bool isHostToHost(datagram_type type);

/// Key with which hosts authenticate what they send each other.
using peer_key = std::array<std::uint8_t, 16>;

constexpr std::size_t peerMacBytes = 16;

/// Appends the authentication code over all of @p bytes.
void signPeerDatagram(const peer_key &key, byte_buffer &bytes);

/// True when the last bytes of @p bytes authenticate the others.
bool verifyPeerDatagram(const peer_key &key, byte_view bytes);

} // namespace figstair
