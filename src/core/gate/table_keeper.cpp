#include "figstair/core/gate/table_keeper.h"

#include <algorithm>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

constexpr std::size_t maxRecentEdits = 2048;
constexpr std::size_t maxDigests = 4096;
constexpr milliseconds minRequestInterval{200};

} // namespace

table_keeper::table_keeper(table &rows, token_keys &keys, membership &members,
                           const clock_source &clock, host_output &output)
    : m_table(rows)
    , m_keys(keys)
    , m_members(members)
    , m_clock(clock)
    , m_output(output)
    , m_confirmedAt(clock.monotonic())
    , m_nextRequest(clock.monotonic())
    , m_changedAt(clock.monotonic())
{
}

void table_keeper::onPeerRevision(const member &peer, std::uint64_t revision,
                                  const std::string &digest, milliseconds confirmedAge)
{
    const monotonic_time now = m_clock.monotonic();
    const bool isSameDigest = m_table.digest().compare(0, digest.size(), digest) == 0;
    if (revision == m_table.revision() && !isSameDigest) {
        reportChainMismatch(revision, "a peer has a different table digest at the same revision");
        return;
    }
    if (revision >= m_table.revision()) {
        m_confirmedAt = std::max(m_confirmedAt, now - confirmedAge);
    }
    if (revision > m_table.revision() && now >= m_nextRequest) {
        m_nextRequest = now + minRequestInterval;
        m_output.requestTable(peer, m_table.revision());
    }
}

void table_keeper::onReply(const table_reply &reply)
{
    if (!isOnSameChain(reply)) {
        return;
    }
    const bool hasChanged = reply.isSnapshot ? applySnapshot(reply) : applyEdits(reply.edits);
    if (!hasChanged) {
        return;
    }
    m_changedAt = m_clock.monotonic();
    m_nextRequest = m_changedAt;
    const std::size_t undecrypted = m_keys.update(m_table);
    if (undecrypted > 0) {
        m_output.logEvent("keys_not_opened", {{"keys", std::to_string(undecrypted)}});
    }
    m_output.logEvent(
        "table_in_force",
        {{"revision", std::to_string(m_table.revision())}, {"digest", m_table.digest()}});
    m_members.announce();
}

/// Whether @p reply continues the host's own chain. Reports a mismatch.
bool table_keeper::isOnSameChain(const table_reply &reply)
{
    const bool isSameChain = reply.baseRevision != m_table.revision() || reply.baseDigest.empty()
        || m_table.revision() == 0 || reply.baseDigest == m_table.digest();
    if (!isSameChain) {
        reportChainMismatch(reply.baseRevision,
                            "the sender has a different table digest at this revision");
    }
    return isSameChain;
}

bool table_keeper::applyEdits(const std::vector<table_edit> &edits)
{
    bool hasChanged = false;
    for (const table_edit &edit : edits) {
        if (edit.revision <= m_table.revision()) {
            continue;
        }
        const bool isApplied = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(m_table.apply(edit));
                return true;
            },
            [&](const chain_error &error) {
                reportChainMismatch(error.offeredRevision, error.problem);
                return false;
            },
            [] { return false; });
        if (!isApplied) {
            break;
        }
        hasChanged = true;
        m_output.count(counter::tableEditsApplied, 1);
        recordDigest();
        m_recentEdits.push_back(edit);
        if (m_recentEdits.size() > maxRecentEdits) {
            m_recentEdits.pop_front();
        }
    }
    return hasChanged;
}

bool table_keeper::applySnapshot(const table_reply &reply)
{
    const bool isRestored = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(m_table.restore(reply.revision, reply.digest, reply.rows));
            return true;
        },
        [] { return false; });
    if (isRestored) {
        m_recentEdits.clear();
        recordDigest();
    }
    return isRestored;
}

void table_keeper::onPlatformHead(std::uint64_t revision, const std::string &digest)
{
    if (revision < m_table.revision()) {
        if (m_lastOlderHead != revision) {
            m_output.logEvent("platform_older",
                              {{"platform", std::to_string(revision)},
                               {"own", std::to_string(m_table.revision())}});
        }
        m_lastOlderHead = revision;
        m_output.count(counter::platformOlder, 1);
        return;
    }
    if (revision == m_table.revision() && digest == m_table.digest()) {
        m_confirmedAt = m_clock.monotonic();
    } else if (revision == m_table.revision()) {
        reportChainMismatch(revision,
                            "the platform has a different table digest at the same revision");
    }
}

table_reply table_keeper::replyFor(std::uint64_t revision) const
{
    table_reply reply;
    reply.baseRevision = revision;
    reply.baseDigest = digestAt(revision);
    if (revision >= m_table.revision()) {
        return reply;
    }
    if (!m_recentEdits.empty() && m_recentEdits.front().revision <= revision + 1) {
        for (const table_edit &edit : m_recentEdits) {
            if (edit.revision > revision) {
                reply.edits.push_back(edit);
            }
        }
        return reply;
    }
    reply.isSnapshot = true;
    reply.revision = m_table.revision();
    reply.digest = m_table.digest();
    reply.rows = m_table.rows();
    return reply;
}

milliseconds table_keeper::confirmedAge() const
{
    return m_clock.monotonic() - m_confirmedAt;
}

void table_keeper::reportChainMismatch(std::uint64_t offeredRevision, std::string_view problem)
{
    m_output.count(counter::tableChainErrors, 1);
    m_output.logEvent("table_chain_error",
                      {{"own", std::to_string(m_table.revision())},
                       {"offered", std::to_string(offeredRevision)},
                       {"problem", std::string(problem)}});
}

void table_keeper::recordDigest()
{
    m_digests.emplace_back(m_table.revision(), m_table.digest());
    if (m_digests.size() > maxDigests) {
        m_digests.pop_front();
    }
}

std::string table_keeper::digestAt(std::uint64_t revision) const
{
    for (const auto &[knownRevision, digest] : m_digests) {
        if (knownRevision == revision) {
            return digest;
        }
    }
    return {};
}

} // namespace figstair
