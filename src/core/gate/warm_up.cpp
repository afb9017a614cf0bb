#include "figstair/core/gate/warm_up.h"

#include <algorithm>

namespace figstair {
namespace {

/// Completed requests per slot that a full warm-up takes.
constexpr std::uint32_t completionsPerSlot = 2;

} // namespace

void warm_up::start(monotonic_time now, std::uint32_t initialLimit)
{
    m_startedAt = now;
    m_initialLimit = initialLimit;
    m_completions = 0;
}

std::uint32_t warm_up::limit(monotonic_time now, std::uint32_t slots, milliseconds warmup) const
{
    if (m_initialLimit >= slots) {
        return slots;
    }
    const double increase = progress(now, slots, warmup) * (slots - m_initialLimit);
    return m_initialLimit + static_cast<std::uint32_t>(increase);
}

bool warm_up::isComplete(monotonic_time now, std::uint32_t slots, milliseconds warmup) const
{
    return progress(now, slots, warmup) >= 1.0;
}

double warm_up::progress(monotonic_time now, std::uint32_t slots, milliseconds warmup) const
{
    const double elapsed = static_cast<double>((now - m_startedAt).count());
    const double timeProgress =
        warmup.count() == 0 ? 1.0 : elapsed / static_cast<double>(warmup.count());
    const double completionProgress =
        static_cast<double>(m_completions) / (static_cast<double>(slots) * completionsPerSlot);
    return std::min({timeProgress, completionProgress, 1.0});
}

} // namespace figstair
