#pragma once

#include "figstair/core/clock_source.h"

namespace figstair {

/// Rate of events, as a mean over recent time in which older events count exponentially less.
class event_rate
{
public:
    /// @p meanTime: age at which an event counts 1/e. @p minObserved: time after the first event
    /// before which no rate is given.
    event_rate(milliseconds meanTime, milliseconds minObserved);

    void add(monotonic_time now);

    /// Events per second up to @p now; 0 if no rate is given yet.
    double perSecond(monotonic_time now) const;

    /// Whether the first event is too recent to tell the rate.
    bool isNew(monotonic_time now) const;

private:
    double decayedSum(monotonic_time now) const;

    milliseconds m_meanTime;
    milliseconds m_minObserved;
    double m_sum = 0; ///< of the weights of all events, as of m_updatedAt
    monotonic_time m_updatedAt{};
    monotonic_time m_firstAt{};
};

} // namespace figstair
