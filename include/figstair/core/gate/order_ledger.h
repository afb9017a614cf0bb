#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Identity of an order, a request that must not run twice: the flow's nonce and the caller's
/// request id.
struct order_key
{
    std::uint64_t flowNonce = 0;
    std::uint64_t requestId = 0;

    bool operator==(const order_key &other) const
    {
        return flowNonce == other.flowNonce && requestId == other.requestId;
    }
};

enum class order_state : std::uint8_t {
    pending, ///< accepted; it may have been sent
    answered, ///< the upstream answered
    notRun, ///< refused permanently; it will not run
    unknown ///< may have run: sent without an answer, or its record may be lost
};

/// A gate's record of one order.
struct order_record
{
    order_key key;
    std::uint32_t upstreamId = 0;
    order_state state = order_state::pending;
    wall_time expiresAt{};
    std::uint32_t partTotal = 0;
    std::uint64_t digest = 0; ///< of the whole answer
    std::map<std::uint32_t, byte_buffer> parts; ///< stored parts of the answer, by part number
};

/// Records that deduplicate orders. A record is kept for longer than any copy of its order can be
/// accepted and is never evicted before that; a full ledger takes no new records.
class order_ledger
{
public:
    /// @p maxAnswerBytes limits the stored parts of all answers together.
    order_ledger(std::size_t maxRecords, std::size_t maxAnswerBytes);

    /// Returns nullptr when there is no record. The pointer is valid until the record expires.
    order_record *find(const order_key &key);

    /// Adds a record. Returns nullptr when the ledger is full. @p key must not have a record.
    order_record *add(const order_key &key, std::uint32_t upstreamId, order_state state,
                      wall_time expiresAt);

    /// Stores one part of an answer unless it is stored already. Returns false when it exceeds the
    /// memory limit for answers.
    bool storePart(order_record &record, std::uint32_t part, byte_view payload);

    /// Drops records and imports that have expired.
    void expire(wall_time now);

    /// Records of one upstream that are no longer pending, for handover to another host.
    std::vector<order_record> settledRecords(std::uint32_t upstreamId) const;

    /// Imports all records that the processes @p gateIncarnations had for @p upstreamId.
    /// Each record expires at its own time; hasImported() holds until @p importExpiry. Existing
    /// records are not replaced. Returns false and imports nothing when the records do not fit.
    bool importRecords(const std::vector<std::uint64_t> &gateIncarnations, std::uint32_t upstreamId,
                       const std::vector<order_record> &records, wall_time importExpiry);

    /// Whether all records that @p gateIncarnation had for @p upstreamId have been imported.
    bool hasImported(std::uint64_t gateIncarnation, std::uint32_t upstreamId) const;

    /// Processes whose records for @p upstreamId have been imported.
    std::vector<std::uint64_t> importedIncarnations(std::uint32_t upstreamId) const;

    /// Upstreams for which records have been imported.
    std::set<std::uint32_t> importedUpstreams() const;

    std::size_t size() const { return m_records.size(); }

private:
    struct key_hash
    {
        std::size_t operator()(const order_key &key) const
        {
            return key.flowNonce ^ (key.requestId * 0x9E3779B97F4A7C15ULL);
        }
    };

    std::size_t m_maxRecords;
    std::size_t m_maxAnswerBytes;
    std::size_t m_answerBytes = 0;
    std::unordered_map<order_key, order_record, key_hash> m_records;
    std::multimap<wall_time, order_key> m_expiry;
    /// Expiry of an import by upstream and incarnation.
    std::map<std::pair<std::uint32_t, std::uint64_t>, wall_time> m_imports;
};

} // namespace figstair
