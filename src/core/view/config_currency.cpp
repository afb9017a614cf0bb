#include "figstair/core/view/config_currency.h"

#include <algorithm>

namespace figstair {
namespace {

/// How long callers wait for the answer to a SYN and its retransmissions.
constexpr milliseconds openingTimeout{1400};

} // namespace

void config_currency::onConfigRead(std::uint64_t version)
{
    m_version = version;
    m_isUnreadable = false;
}

void config_currency::onViewConfirmed(monotonic_time asOf)
{
    m_confirmedAt = std::max(m_confirmedAt, asOf);
}

void config_currency::onPeerVersion(std::uint64_t version, monotonic_time now)
{
    if (version > m_newestPeerVersion) {
        m_behindSince = isBehind() ? m_behindSince : now;
        m_newestPeerVersion = version;
    }
}

bool config_currency::isCurrentFor(monotonic_time time) const
{
    return m_confirmedAt > time && !m_isUnreadable && !isBehind();
}

bool config_currency::isCatchingUp(monotonic_time now) const
{
    return isBehind() && now - m_behindSince < openingTimeout;
}

} // namespace figstair
