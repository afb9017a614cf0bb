#include "figstair/host/freeze_detector.h"

#include <ctime>

namespace figstair {
namespace {

/// The event loop sleeps at most 100 ms; the rest allows for scheduling delays on a busy machine.
constexpr milliseconds minFreezeGap{500};

/// Minimum time in suspend that counts as a freeze.
constexpr milliseconds minSuspension{50};

milliseconds readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return milliseconds(std::int64_t{time.tv_sec} * 1000 + time.tv_nsec / 1'000'000);
}

/// Total time the machine was suspended since boot.
milliseconds suspendedTime()
{
    return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

} // namespace

freeze_detector::freeze_detector()
    : m_lastObserved(readClock(CLOCK_MONOTONIC))
    , m_lastSuspendedTotal(suspendedTime())
{
}

std::optional<milliseconds> freeze_detector::observe()
{
    const monotonic_time now(readClock(CLOCK_MONOTONIC));
    const milliseconds suspendedTotal = suspendedTime();
    const milliseconds gap = now - m_lastObserved;
    const milliseconds suspendedDelta = suspendedTotal - m_lastSuspendedTotal;
    m_lastObserved = now;
    m_lastSuspendedTotal = suspendedTotal;
    if (suspendedDelta >= minSuspension) {
        return suspendedDelta;
    }
    return gap >= minFreezeGap ? std::optional<milliseconds>(gap) : std::nullopt;
}

} // namespace figstair
