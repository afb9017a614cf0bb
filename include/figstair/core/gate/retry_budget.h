#pragma once

#include <algorithm>

namespace figstair {

/// Token bucket that limits retries to a ratio of successes, so that retries cannot multiply the
/// load when most requests fail.
class retry_budget
{
public:
    /// Each success adds @p ratio tokens, up to @p maxTokens. Starts with @p maxTokens.
    retry_budget(double ratio, double maxTokens)
        : m_ratio(ratio)
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    {
    }

    void onSuccess() { m_tokens = std::min(m_maxTokens, m_tokens + m_ratio); }

    /// Takes one token for a retry. Returns false when less than one is left.
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
