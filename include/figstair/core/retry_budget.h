#pragma once

#include <algorithm>

namespace figstair {

/// Allows retries as a share of successes, so that retries cannot multiply load when all fails.
class retry_budget
{
public:
    /// @p ratio retries are earned per success; at most @p maxTokens are kept.
    retry_budget(double ratio, double maxTokens)
        : m_ratio(ratio)
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    {
    }

    void onSuccess() { m_tokens = std::min(m_maxTokens, m_tokens + m_ratio); }

    /// Takes one retry when there is one.
    bool tryAcquire()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_ratio;
    double m_maxTokens;
    double m_tokens;
};

} // namespace figstair
