#pragma once

#include <cstddef>

#include "figstair/core/clock_source.h"

namespace figstair {

/// Estimates how long packets wait in the queue of this host's link, from the bytes that it sends
/// and the capacity of the link. A host that relays a large configuration to its zone fills the
/// queue for seconds; packets that it forwards meanwhile are late or lost.
class link_backlog
{
public:
    /// @p megabitsPerSecond: capacity of the link; above 0.
    explicit link_backlog(double megabitsPerSecond);

    void setCapacity(double megabitsPerSecond);

    /// The host sends a datagram with @p payloadBytes.
    void onSent(std::size_t payloadBytes, monotonic_time now);

    /// Time until which the queue was or will be long enough to delay packets.
    monotonic_time congestedUntil() const { return m_congestedUntil; }

private:
    double m_bytesPerMs;
    double m_queuedBytes = 0; ///< as of m_updatedAt
    monotonic_time m_updatedAt{};
    monotonic_time m_congestedUntil{};
};

} // namespace figstair
