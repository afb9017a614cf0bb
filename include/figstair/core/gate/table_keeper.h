#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/gate/flow_token.h"
#include "figstair/core/gate/host_output.h"
#include "figstair/core/gate/membership.h"
#include "figstair/table/edit.h"
#include "figstair/table/table.h"

namespace figstair {

/// Reply to a request for the changes after a revision: edits or a whole snapshot.
struct table_reply
{
    std::uint64_t baseRevision = 0; ///< revision given in the request
    std::string baseDigest; ///< replier's digest at baseRevision; empty when no longer kept
    std::vector<table_edit> edits;
    bool isSnapshot = false; ///< rows replace the whole table
    std::uint64_t revision = 0; ///< snapshot only
    std::string digest; ///< snapshot only
    std::vector<table_row> rows;
};

/// Keeps the table up to date. Applies only edits that continue the host's own chain of digests,
/// requests edits from hosts with a newer table, and replies to hosts with an older one.
class table_keeper
{
public:
    table_keeper(table &rows, token_keys &keys, membership &members, const clock_source &clock,
                 host_output &output);

    /// Handles the table state of @p peer: its revision, a prefix of its digest and the time since
    /// the platform confirmed it. Requests the edits when the peer's table is newer.
    void onPeerRevision(const member &peer, std::uint64_t revision, const std::string &digest,
                        milliseconds confirmedAge);

    /// Applies a reply from a peer or the platform.
    void onReply(const table_reply &reply);

    /// Handles the newest revision and digest stored on the platform. An equal revision with an
    /// equal digest confirms the table; with another digest it is reported as a chain mismatch. An
    /// older revision is counted and logged. A newer one has no effect.
    void onPlatformHead(std::uint64_t revision, const std::string &digest);

    /// The reply for a host at @p revision.
    table_reply replyFor(std::uint64_t revision) const;

    /// Time since the platform last confirmed the table, as observed by this host or reported by a
    /// peer with the same or a newer revision. Counts from the construction of this object until
    /// the first confirmation.
    milliseconds confirmedAge() const;

    /// Time of the last change of the table on this host.
    monotonic_time changedAt() const { return m_changedAt; }

private:
    bool isOnSameChain(const table_reply &reply);
    bool applyEdits(const std::vector<table_edit> &edits);
    bool applySnapshot(const table_reply &reply);
    void reportChainMismatch(std::uint64_t offeredRevision, std::string_view problem);
    void recordDigest();
    std::string digestAt(std::uint64_t revision) const;

    table &m_table;
    token_keys &m_keys;
    membership &m_members;
    const clock_source &m_clock;
    host_output &m_output;
    std::deque<table_edit> m_recentEdits;
    std::deque<std::pair<std::uint64_t, std::string>> m_digests;
    monotonic_time m_confirmedAt;
    monotonic_time m_nextRequest;
    monotonic_time m_changedAt;
    std::uint64_t m_lastOlderHead = 0;
};

} // namespace figstair
