#pragma once

#include <optional>

#include "figstair/core/clock_source.h"

namespace figstair {

/// Notices that the process stood still: by a gap between two looks, or by suspended time, which
/// the monotonic clock does not count.
class freeze_detector
{
public:
    freeze_detector();

    /// To be called often. Returns the length of a freeze since the last call.
    std::optional<milliseconds> observe();

private:
    monotonic_time m_lastObserved;
    milliseconds m_lastSuspendedTotal;
};

} // namespace figstair
