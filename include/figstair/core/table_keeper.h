#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/flow_token.h"
#include "figstair/core/host_output.h"
#include "figstair/core/membership.h"
#include "figstair/table/edit.h"
#include "figstair/table/table.h"

namespace figstair {

/// A host's answer to a request for what follows a revision.
struct table_reply
{
    std::uint64_t baseRevision = 0; ///< revision the request named
    std::string baseDigest; ///< digest of the replier's chain there; empty when not kept
    std::vector<table_edit> edits;
    bool isSnapshot = false; ///< rows replace everything
    std::uint64_t revision = 0; ///< of the rows
    std::string digest; ///< of the rows
    std::vector<table_row> rows;
};

/// Follows the chain of edits: takes only what fits the own chain, asks hosts that have more, and
/// answers hosts that have less.
class table_keeper
{
public:
    table_keeper(table &rows, token_keys &keys, membership &members, const clock_source &clock,
                 host_output &output);

    /// Notes that @p peer has the table at @p revision, confirmed by the platform so long ago.
    /// @p digest is the beginning of its digest.
    void onPeerRevision(const member &peer, std::uint64_t revision, const std::string &digest,
                        milliseconds confirmedAge);

    /// Takes what a peer or the platform sent.
    void onReply(const table_reply &reply);

    /// Notes what the platform holds as newest.
    void onPlatformHead(std::uint64_t revision, const std::string &digest);

    /// What a host at @p revision lacks.
    table_reply replyFor(std::uint64_t revision) const;

    /// Time since the platform last confirmed this revision or an earlier one, by any host's word.
    milliseconds confirmedAge() const;

    /// When the table last changed here.
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
