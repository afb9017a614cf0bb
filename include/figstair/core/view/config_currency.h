#pragma once

#include <cstdint>

#include "figstair/core/clock_source.h"

namespace figstair {

/// How current the configuration of this host is. A route that it lacks was either dropped, or
/// added by a newer configuration that other hosts have already.
class config_currency
{
public:
    /// A configuration could be read; @p version is the one in force now.
    void onConfigRead(std::uint64_t version);

    /// The store holds a configuration that cannot be read, so the one in force may be older.
    void onConfigUnreadable() { m_isUnreadable = true; }

    /// All records of the store as of @p asOf were applied.
    void onViewConfirmed(monotonic_time asOf);

    /// Another host reports that it has configuration @p version.
    void onPeerVersion(std::uint64_t version, monotonic_time now);

    /// Whether the configuration in force is at least as new as any by which a flow that was open
    /// at
    /// @p time was placed. If so, and the configuration lacks the route of such a flow, a
    /// configuration dropped it.
    bool isCurrentFor(monotonic_time time) const;

    /// Whether a newer configuration is known to exist, and learned of so recently that callers who
    /// retransmit their SYN may still be served by it.
    bool isCatchingUp(monotonic_time now) const;

private:
    bool isBehind() const { return m_version < m_newestPeerVersion; }

    std::uint64_t m_version = 0;
    std::uint64_t m_newestPeerVersion = 0;
    monotonic_time m_behindSince{}; ///< when m_newestPeerVersion was first above m_version
    monotonic_time m_confirmedAt{};
    bool m_isUnreadable = false;
};

} // namespace figstair
