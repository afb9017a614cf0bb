#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "figstair/core/gate/membership.h"
#include "figstair/table/table.h"

namespace figstair {

/// Maps each upstream to its gate, the host that should send to it: rendezvous hashing over the
/// eligible hosts of the upstream's zone, or of another zone when that zone has none. Hosts that
/// the table takes out of service are skipped. Hosts with different members or tables may choose
/// different gates for a time.
class gate_map
{
public:
    /// @p members and @p current must outlive the object.
    gate_map(const membership &members, const table &current);

    /// The gate of @p upstream, or nullptr when no host is eligible. Valid until the members
    /// change.
    const member *gateOf(const upstream_entry &upstream) const;

private:
    struct cached_gate
    {
        std::uint64_t membersVersion = 0;
        std::uint64_t tableRevision = 0;
        const member *gate = nullptr;
        bool isValid = false;
    };

    const member *chooseGate(const upstream_entry &upstream) const;
    const member *bestHostIn(const std::string &zone, std::uint32_t upstreamId) const;

    const membership &m_members;
    const table &m_table;
    mutable std::unordered_map<std::uint32_t, cached_gate> m_cache;
};

} // namespace figstair
