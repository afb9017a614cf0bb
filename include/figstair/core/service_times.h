#pragma once

#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/flow_packet.h"

namespace figstair {

/// Running means of what callers' packets show: the time from a request to its first answer for
/// each route, and the time of a handshake.
class service_times
{
public:
    /// One request on the route of @p flow, which states @p aim, took @p time with @p fill open
    /// requests for each slot. Returns the ratio of its time to the one expected.
    double onAnswer(const flow_id &flow, milliseconds time, milliseconds aim, double fill);

    void onHandshake(milliseconds time);

    /// Mean time to the first answer on the route of @p flow, at an upstream with a free slot.
    milliseconds expected(const flow_id &flow, milliseconds aim) const;

    /// How long to wait for the answer to an opening packet before it goes to another upstream.
    milliseconds handshakeTimeout() const;

private:
    struct mean
    {
        double ms = 0;
        unsigned samples = 0;
    };

    boost::unordered_flat_map<std::uint64_t, mean> m_means;
    double m_handshakeMs = 0;
};

} // namespace figstair
