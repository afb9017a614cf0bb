#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "figstair/core/clock_source.h"
#include "figstair/core/gate/member.h"
#include "figstair/core/gate/order_ledger.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Counters of a host. toText() gives the metric names.
enum class counter : std::uint8_t {
    datagramsReceived,
    malformedDatagrams,
    unauthenticDatagrams, ///< invalid authentication code, or unexpected trailing bytes
    badTokens,
    flowsOpened,
    opensRefused,
    requestsReceived,
    requestsForwarded,
    requestsSent, ///< requests first sent to an upstream, without resends
    answersRelayed,
    /// Messages from an address without a gate object here, answers and refusals that match no
    /// running request, and answer parts that are malformed, duplicate or were not requested.
    lateAnswers,
    requestsAnswered,
    refusedNotRun,
    refusedUnknown,
    refusedPlaceAgain,
    refusedOverloaded,
    refusedOther,
    ordersAccepted,
    ordersRepeated,
    gateTakeovers, ///< upstream_gate objects created, also again after an idle removal
    upstreamStarts,
    freezes,
    tableEditsApplied,
    tableChainErrors,
    platformOlder,
    platformErrors,
    controlBytesSent,
    memberSyncs,
    count
};

std::string_view toText(counter which);

/// The counter that is incremented for a refusal with @p status.
counter refusalCounter(refusal_status status);

/// Histograms of a host, in milliseconds. toText() gives the metric names.
enum class distribution : std::uint8_t { queueWait, upstreamTime, count };

std::string_view toText(distribution which);

/// One span of a request's trace.
struct span_record
{
    std::uint64_t traceId = 0;
    std::uint64_t spanId = 0;
    std::uint64_t parentId = 0;
    std::string_view name; ///< receive, gate or upstream
    wall_time start{};
    milliseconds duration{0};
    std::uint32_t upstreamId = 0;
};

/// Order records of one upstream, handed over from former gates to the current gate.
struct order_handover
{
    std::vector<std::uint64_t> gateIncarnations; ///< former gates whose records are all included
    std::uint32_t upstreamId = 0;
    std::vector<order_record> records;
};

using event_fields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Performs the actions that host_core decides on.
class host_output
{
public:
    virtual ~host_output() = default;

    virtual void sendDatagram(const endpoint &to, byte_view bytes) = 0;

    /// Sends over the stream to @p upstream, in order and at most once; the message may be lost.
    /// Answers are passed to host_core::onDatagram().
    virtual void sendToUpstream(const endpoint &upstream, byte_view bytes) = 0;

    /// Requests the member records of @p slice if their digest differs at @p from. The reply is
    /// passed to host_core::onMembers().
    virtual void requestMembers(const member &from, const member_slice &slice) = 0;

    /// Requests the edits after @p revision. The reply is passed to host_core::onTableReply().
    virtual void requestTable(const member &from, std::uint64_t revision) = 0;

    /// Sends order records. An acknowledgement is passed to host_core::onHandoverTaken().
    virtual void sendHandover(const member &to, const order_handover &batch) = 0;

    virtual void logEvent(std::string_view name, event_fields fields) = 0;
    virtual void count(counter which, std::uint64_t amount) = 0;
    virtual void observe(distribution which, milliseconds value) = 0;
    virtual void recordSpan(const span_record &span) = 0;
};

} // namespace figstair
