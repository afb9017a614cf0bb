#include "figstair/core/load/link_backlog.h"

#include <algorithm>
#include <cmath>

namespace figstair {
namespace {

/// IP and UDP headers of a datagram.
constexpr double headerBytes = 28;

/// Waits below this are normal: several callers' packets at once.
constexpr double minCongestionMs = 20;

constexpr double bytesPerMsAtOneMbps = 125;

} // namespace

link_backlog::link_backlog(double megabitsPerSecond)
    : m_bytesPerMs(megabitsPerSecond * bytesPerMsAtOneMbps)
{
}

void link_backlog::setCapacity(double megabitsPerSecond)
{
    m_bytesPerMs = megabitsPerSecond * bytesPerMsAtOneMbps;
}

void link_backlog::onSent(std::size_t payloadBytes, monotonic_time now)
{
    const auto elapsedMs = static_cast<double>((now - m_updatedAt).count());
    m_queuedBytes = std::max(0.0, m_queuedBytes - elapsedMs * m_bytesPerMs)
        + static_cast<double>(payloadBytes) + headerBytes;
    m_updatedAt = now;
    const double waitMs = m_queuedBytes / m_bytesPerMs;
    if (waitMs > minCongestionMs) {
        m_congestedUntil = now + milliseconds(static_cast<std::int64_t>(std::ceil(waitMs)));
    }
}

} // namespace figstair
