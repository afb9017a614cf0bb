#pragma once

#include <cstdint>

#include "figstair/core/clock_source.h"

namespace figstair {

/// Slow start of an upstream: raises its concurrency limit from an initial value to its slots, in
/// proportion to elapsed time or to completed requests, whichever has progressed less.
class warm_up
{
public:
    void start(monotonic_time now, std::uint32_t initialLimit);
    void onCompletion() { ++m_completions; }

    /// The concurrency limit at @p now. @p warmup is the shortest duration of the warm-up.
    std::uint32_t limit(monotonic_time now, std::uint32_t slots, milliseconds warmup) const;
    bool isComplete(monotonic_time now, std::uint32_t slots, milliseconds warmup) const;

private:
    double progress(monotonic_time now, std::uint32_t slots, milliseconds warmup) const;

    monotonic_time m_startedAt{};
    std::uint32_t m_initialLimit = 0;
    std::uint32_t m_completions = 0;
};

} // namespace figstair
