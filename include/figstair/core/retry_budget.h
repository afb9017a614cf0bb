#pragma once

#include <algorithm>

namespace figstair {

/// Allows retries as a share of successes, so that retries cannot multiply load when all fails.
class retry_budget
{
public:
    /// @p share retries are earned per success; at most @p most are kept.
    retry_budget(double share, double most)
        : m_share(share)
        , m_most(most)
        , m_available(most)
    {
    }

    void onSuccess() { m_available = std::min(m_most, m_available + m_share); }

    /// Takes one retry when there is one.
    bool take()
    {
        if (m_available < 1.0) {
            return false;
        }
        m_available -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_most;
    double m_available;
};

} // namespace figstair
