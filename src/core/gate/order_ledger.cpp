#include "figstair/core/gate/order_ledger.h"

#include <cassert>

namespace figstair {

order_ledger::order_ledger(std::size_t maxRecords, std::size_t maxAnswerBytes)
    : m_maxRecords(maxRecords)
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

order_record *order_ledger::find(const order_key &key)
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

order_record *order_ledger::add(const order_key &key, std::uint32_t upstreamId, order_state state,
                                wall_time expiresAt)
{
    assert(m_records.count(key) == 0);
    if (m_records.size() >= m_maxRecords) {
        return nullptr;
    }
    order_record &record = m_records[key];
    record.key = key;
    record.upstreamId = upstreamId;
    record.state = state;
    record.expiresAt = expiresAt;
    m_expiry.emplace(expiresAt, key);
    return &record;
}

bool order_ledger::storePart(order_record &record, std::uint32_t part, byte_view payload)
{
    if (record.parts.count(part) != 0) {
        return true;
    }
    if (m_answerBytes + payload.size() > m_maxAnswerBytes) {
        return false;
    }
    m_answerBytes += payload.size();
    record.parts[part].assign(payload.begin(), payload.end());
    return true;
}

void order_ledger::expire(wall_time now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        const auto record = m_records.find(m_expiry.begin()->second);
        for (const auto &[number, payload] : record->second.parts) {
            m_answerBytes -= payload.size();
        }
        m_records.erase(record);
        m_expiry.erase(m_expiry.begin());
    }
    for (auto item = m_imports.begin(); item != m_imports.end();) {
        item = item->second <= now ? m_imports.erase(item) : std::next(item);
    }
}

std::vector<order_record> order_ledger::settledRecords(std::uint32_t upstreamId) const
{
    std::vector<order_record> records;
    for (const auto &[key, record] : m_records) {
        if (record.upstreamId == upstreamId && record.state != order_state::pending) {
            records.push_back(record);
        }
    }
    return records;
}

bool order_ledger::importRecords(const std::vector<std::uint64_t> &gateIncarnations,
                                 std::uint32_t upstreamId, const std::vector<order_record> &records,
                                 wall_time importExpiry)
{
    std::size_t answerBytes = m_answerBytes;
    for (const order_record &record : records) {
        for (const auto &[number, payload] : record.parts) {
            answerBytes += payload.size();
        }
    }
    if (m_records.size() + records.size() > m_maxRecords || answerBytes > m_maxAnswerBytes) {
        return false;
    }
    for (const order_record &record : records) {
        if (m_records.emplace(record.key, record).second) {
            m_expiry.emplace(record.expiresAt, record.key);
            for (const auto &[number, payload] : record.parts) {
                m_answerBytes += payload.size();
            }
        }
    }
    for (const std::uint64_t incarnation : gateIncarnations) {
        m_imports[{upstreamId, incarnation}] = importExpiry;
    }
    return true;
}

bool order_ledger::hasImported(std::uint64_t gateIncarnation, std::uint32_t upstreamId) const
{
    return m_imports.count({upstreamId, gateIncarnation}) != 0;
}

std::vector<std::uint64_t> order_ledger::importedIncarnations(std::uint32_t upstreamId) const
{
    std::vector<std::uint64_t> incarnations;
    for (auto item = m_imports.lower_bound({upstreamId, 0});
         item != m_imports.end() && item->first.first == upstreamId; ++item) {
        incarnations.push_back(item->first.second);
    }
    return incarnations;
}

std::set<std::uint32_t> order_ledger::importedUpstreams() const
{
    std::set<std::uint32_t> upstreams;
    for (const auto &[key, expiry] : m_imports) {
        upstreams.insert(key.first);
    }
    return upstreams;
}

} // namespace figstair
