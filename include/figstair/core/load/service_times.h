#pragma once

#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/flow/flow_packet.h"

namespace figstair {

/// Assessment of one answer of an upstream.
struct answer_verdict
{
    double ratio = 1.0; ///< measured over expected time
    bool isShort = false; ///< much faster and smaller than usual: most likely an error
};

/// Running means measured from callers' packets: per route, the time from a request to its first
/// answer and the size of that answer; over all routes, the handshake time.
class service_times
{
public:
    /// Records an answer on the route of @p flow, which has the latency target @p latencyTarget.
    /// It took @p answerTime at an upstream with @p requestsPerSlot; the first acknowledgement of
    /// it covered @p answerBytes.
    answer_verdict onAnswer(const flow_id &flow, milliseconds answerTime,
                            milliseconds latencyTarget, double requestsPerSlot,
                            std::uint32_t answerBytes);

    /// Records the time from a forwarded SYN to the caller's next packet.
    void onHandshake(milliseconds handshakeTime);

    /// Mean time to the first answer on the route of @p flow at an upstream with a free slot.
    /// Without a measurement it is a share of @p latencyTarget.
    milliseconds expectedAnswerTime(const flow_id &flow, milliseconds latencyTarget) const;

    /// Mean time from a forwarded SYN to the caller's next packet; 0 without a measurement.
    milliseconds handshakeTime() const;

    /// How long to wait for the answer to a SYN before it is sent to another upstream.
    milliseconds handshakeTimeout() const;

private:
    struct mean
    {
        double ms = 0;
        double bytes = 0;
        unsigned samples = 0;
    };

    boost::unordered_flat_map<std::uint64_t, mean> m_routeMeans;
    double m_handshakeMs = 0;
};

} // namespace figstair
