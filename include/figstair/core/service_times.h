#pragma once

#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/flow_packet.h"

namespace figstair {

/// What one answer says of its upstream.
struct answer_verdict
{
    double ratio = 1.0; ///< its time over the one expected
    bool isShort = false; ///< far sooner and smaller than usual: most likely an error
};

/// Running means of what callers' packets show: the time from a request to its first answer for
/// each route, and the time of a handshake.
class service_times
{
public:
    /// One request on the route of @p flow, which states @p latencyTarget, took @p answerTime with
    /// @p requestsPerSlot open requests for each slot, and @p answerBytes of its answer were
    /// acknowledged first.
    answer_verdict onAnswer(const flow_id &flow, milliseconds answerTime,
                            milliseconds latencyTarget, double requestsPerSlot,
                            std::uint32_t answerBytes);

    void onHandshake(milliseconds handshakeTime);

    /// Mean time to the first answer on the route of @p flow, at an upstream with a free slot.
    milliseconds expectedAnswerTime(const flow_id &flow, milliseconds latencyTarget) const;

    /// How long to wait for the answer to an opening packet before it goes to another upstream.
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
