#include "figstair/host/freeze_detector.h"

#include <ctime>

namespace figstair {
namespace {

/// The loop sleeps at most 100 ms; a slow or busy machine adds some of the same.
constexpr milliseconds gapOfFreeze{500};
constexpr milliseconds suspensionOfFreeze{50};

milliseconds readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return milliseconds(std::int64_t{time.tv_sec} * 1000 + time.tv_nsec / 1'000'000);
}

milliseconds suspendedTime()
{
    return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

} // namespace

freeze_detector::freeze_detector()
    : m_lastLook(readClock(CLOCK_MONOTONIC))
    , m_lastSuspended(suspendedTime())
{
}

std::optional<milliseconds> freeze_detector::observe()
{
    const monotonic_time now(readClock(CLOCK_MONOTONIC));
    const milliseconds suspended = suspendedTime();
    const milliseconds gap = now - m_lastLook;
    const milliseconds slept = suspended - m_lastSuspended;
    m_lastLook = now;
    m_lastSuspended = suspended;
    if (slept >= suspensionOfFreeze) {
        return slept;
    }
    return gap >= gapOfFreeze ? std::optional<milliseconds>(gap) : std::nullopt;
}

} // namespace figstair
