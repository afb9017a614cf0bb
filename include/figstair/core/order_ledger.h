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

/// Identity of an order: the flow's nonce and the caller's request id.
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
    pending, ///< accepted; it may be sent or have been sent
    answered, ///< the upstream answered
    notRun, ///< refused for good; it will not be sent
    unknown ///< sent without an answer, or its record may be lost
};

/// What a gate knows of one order.
struct order_record
{
    order_key key;
    std::uint32_t upstreamId = 0;
    order_state state = order_state::pending;
    wall_time expiresAt{};
    std::uint32_t partTotal = 0;
    std::uint64_t digest = 0;
    std::map<std::uint32_t, byte_buffer> parts; ///< of the answer, by number
};

/// Records of orders, kept for longer than any copy of an order can be accepted. Records are never
/// dropped before that; a full ledger takes no new ones.
class order_ledger
{
public:
    order_ledger(std::size_t maxRecords, std::size_t maxAnswerBytes);

    order_record *find(const order_key &key);

    /// Adds a record. Returns nothing when the ledger is full; the key must not be known.
    order_record *add(const order_key &key, std::uint32_t upstreamId, order_state state,
                      wall_time expiresAt);

    /// Keeps one part of an answer. Returns false when it does not fit into the memory set for
    /// answers.
    bool storePart(order_record &record, std::uint32_t part, byte_view payload);

    /// Drops records past their time.
    void expire(wall_time now);

    /// Settled records of one upstream, to be handed to another host.
    std::vector<order_record> settledRecords(std::uint32_t upstreamId) const;

    /// Takes over all records that the processes @p gateIncarnations had for @p upstreamId, to be
    /// kept until @p importExpiry at least. Records that are known already stay as they are.
    /// Returns false, taking nothing, when they do not fit.
    bool importRecords(const std::vector<std::uint64_t> &gateIncarnations, std::uint32_t upstreamId,
                       const std::vector<order_record> &records, wall_time importExpiry);

    /// Whether all records that @p gateIncarnation had for @p upstreamId are here.
    bool hasImported(std::uint64_t gateIncarnation, std::uint32_t upstreamId) const;

    /// Processes whose records for @p upstreamId were taken over.
    std::vector<std::uint64_t> importedIncarnations(std::uint32_t upstreamId) const;

    /// Upstreams for which records were taken over.
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
    std::map<std::pair<std::uint32_t, std::uint64_t>, wall_time> m_imports; ///< by upstream
};

} // namespace figstair
