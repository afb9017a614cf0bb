#pragma once

#include <cstdint>

#include "figstair/core/clock_source.h"

namespace figstair {

/// Raises the limit of an upstream that has just started from a base to its slots, as time passes
/// and as requests are completed; the slower of the two counts.
class warm_up
{
public:
    void start(monotonic_time now, std::uint32_t initialLimit);
    void onCompletion() { ++m_completions; }

    std::uint32_t limit(monotonic_time now, std::uint32_t slots, milliseconds warmup) const;
    bool isComplete(monotonic_time now, std::uint32_t slots, milliseconds warmup) const;

private:
    double progress(monotonic_time now, std::uint32_t slots, milliseconds warmup) const;

    monotonic_time m_startedAt{};
    std::uint32_t m_initialLimit = 0;
    std::uint32_t m_completions = 0;
};

} // namespace figstair
