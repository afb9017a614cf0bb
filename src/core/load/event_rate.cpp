#include "figstair/core/load/event_rate.h"

#include <cmath>

namespace figstair {

event_rate::event_rate(milliseconds meanTime, milliseconds minObserved)
    : m_meanTime(meanTime)
    , m_minObserved(minObserved)
{
}

double event_rate::decayedSum(monotonic_time now) const
{
    return m_sum * std::exp(-double((now - m_updatedAt).count()) / double(m_meanTime.count()));
}

void event_rate::add(monotonic_time now)
{
    if (m_firstAt == monotonic_time{}) {
        m_firstAt = now;
    }
    m_sum = decayedSum(now) + 1;
    m_updatedAt = now;
}

bool event_rate::isNew(monotonic_time now) const
{
    return now - m_firstAt < m_minObserved;
}

double event_rate::perSecond(monotonic_time now) const
{
    if (m_firstAt == monotonic_time{} || isNew(now)) {
        return 0;
    }
    const double meanMs = double(m_meanTime.count());
    const double observedMs = double((now - m_firstAt).count());
    return decayedSum(now) * 1000.0 / (meanMs * (1.0 - std::exp(-observedMs / meanMs)));
}

} // namespace figstair
