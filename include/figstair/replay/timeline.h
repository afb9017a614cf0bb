#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "figstair/core/clock_source.h"

namespace figstair {

/// Virtual clock and scheduler. Actions run in order of their due time; those due at the same time
/// run in the order in which they were scheduled.
class timeline : public clock_source
{
public:
    using action = std::function<void()>;

    monotonic_time monotonic() const override { return m_now; }
    wall_time wall() const override { return wallStart + (m_now - monotonic_time()); }

    /// Schedules @p task to run @p delay from now.
    void runAfter(milliseconds delay, action task)
    {
        m_actions.emplace(m_now + delay, std::move(task));
    }

    /// Runs the actions that are due up to and including @p end, and sets the clock to @p end.
    void runUntil(monotonic_time end)
    {
        while (!m_actions.empty() && m_actions.begin()->first <= end) {
            const auto next = m_actions.begin();
            m_now = next->first;
            const action task = std::move(next->second);
            m_actions.erase(next);
            task();
        }
        m_now = end;
    }

private:
    static constexpr wall_time wallStart{milliseconds(1700000000000)};

    monotonic_time m_now{milliseconds(1000)};
    std::multimap<monotonic_time, action> m_actions;
};

} // namespace figstair
