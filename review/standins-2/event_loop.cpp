#include "event_loop.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <vector>

#include <poll.h>

namespace review {
namespace {

double steadySeconds()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return double(time.tv_sec) + double(time.tv_nsec) / 1e9;
}

} // namespace

event_loop::event_loop()
    : m_start(steadySeconds())
{
}

double event_loop::now() const
{
    return steadySeconds() - m_start;
}

void event_loop::watch(int descriptor, action handler)
{
    m_handlers[descriptor] = std::move(handler);
}

void event_loop::after(double seconds, action handler)
{
    m_timers.emplace(std::make_pair(now() + seconds, m_nextTimer++), std::move(handler));
}

void event_loop::runTimers()
{
    while (!m_isStopped && !m_timers.empty() && m_timers.begin()->first.first <= now()) {
        const action handler = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        handler();
    }
}

void event_loop::run()
{
    std::vector<pollfd> polled;
    while (!m_isStopped) {
        runTimers();
        polled.clear();
        for (const auto &[descriptor, handler] : m_handlers) {
            polled.push_back(pollfd{descriptor, POLLIN, 0});
        }
        const double wait = m_timers.empty() ? 0.1 : m_timers.begin()->first.first - now();
        const int waitMs = static_cast<int>(std::ceil(std::clamp(wait, 0.0, 0.1) * 1000));
        if (poll(polled.data(), polled.size(), waitMs) <= 0) {
            continue;
        }
        for (const pollfd &item : polled) {
            const auto found = m_handlers.find(item.fd);
            if (item.revents != 0 && found != m_handlers.end()) {
                const action handler = found->second;
                handler();
            }
        }
    }
}

} // namespace review
