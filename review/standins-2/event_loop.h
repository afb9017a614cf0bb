#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace review {

using action = std::function<void()>;

/// Runs timers and handlers of readable descriptors in one thread, on the steady clock.
class event_loop
{
public:
    event_loop();

    /// Seconds since the loop was created.
    double now() const;

    /// Calls @p handler whenever @p descriptor is readable or closed by its peer.
    void watch(int descriptor, action handler);
    void unwatch(int descriptor) { m_handlers.erase(descriptor); }

    /// Calls @p handler once, @p seconds from now.
    void after(double seconds, action handler);

    void run();
    void stop() { m_isStopped = true; }

private:
    void runTimers();

    double m_start = 0;
    bool m_isStopped = false;
    std::uint64_t m_nextTimer = 0;
    std::map<int, action> m_handlers;
    std::map<std::pair<double, std::uint64_t>, action> m_timers;
};

} // namespace review
