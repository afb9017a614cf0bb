#pragma once

#include <optional>

#include "figstair/core/clock_source.h"

namespace figstair {

/// Detects that the process did not run for a while, either from the time between two calls of
/// observe() or from time the machine was suspended, which CLOCK_MONOTONIC does not count.
class freeze_detector
{
public:
    freeze_detector();

    /// Returns the length of a freeze since the last call, if there was one. Call it at least once
    /// per iteration of the event loop.
    std::optional<milliseconds> observe();

private:
    monotonic_time m_lastObserved;
    milliseconds m_lastSuspendedTotal;
};

} // namespace figstair
