#include "figstair/core/warm_up.h"

#include <algorithm>

namespace figstair {
namespace {

constexpr std::uint32_t completionsPerSlot = 2;

} // namespace

void warm_up::start(monotonic_time now, std::uint32_t base)
{
    m_startedAt = now;
    m_base = base;
    m_completions = 0;
}

std::uint32_t warm_up::limit(monotonic_time now, std::uint32_t slots, milliseconds warmup) const
{
    if (m_base >= slots) {
        return slots;
    }
    const double grown = progress(now, slots, warmup) * (slots - m_base);
    return m_base + static_cast<std::uint32_t>(grown);
}

bool warm_up::done(monotonic_time now, std::uint32_t slots, milliseconds warmup) const
{
    return progress(now, slots, warmup) >= 1.0;
}

double warm_up::progress(monotonic_time now, std::uint32_t slots, milliseconds warmup) const
{
    const double elapsed = static_cast<double>((now - m_startedAt).count());
    const double byTime = warmup.count() == 0 ? 1.0 : elapsed / static_cast<double>(warmup.count());
    const double byCompletions =
        static_cast<double>(m_completions) / (static_cast<double>(slots) * completionsPerSlot);
    return std::min({byTime, byCompletions, 1.0});
}

} // namespace figstair
