#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/flow_packet.h"
#include "figstair/core/upstream_directory.h"

namespace figstair {

enum class flow_phase : std::uint8_t {
    held, ///< held here until an upstream has room
    opening, ///< sent to an upstream, the caller has acknowledged nothing
    open,
    closed ///< the caller sent its end; kept for late packets
};

/// What this host remembers of one flow. Only a cache: any host routes any packet by its tag.
struct flow_record
{
    flow_phase phase = flow_phase::opening;
    bool awaitsAnswer = false; ///< counted as an open request of its upstream
    bool wasRetried = false; ///< its opening packet went to a second upstream
    upstream_index upstream = noUpstream;
    upstream_index previousUpstream =
        noUpstream; ///< the upstream that got the opening packet first
    std::uint32_t openingSequence = 0;
    std::uint32_t acknowledgedAtRequest = 0;
    std::uint32_t lastDataSequence = 0;
    bool hasSentData = false;
    bool isOpeningRetransmitted = false; ///< the caller had to repeat its opening packet
    monotonic_time openingSentAt{}; ///< when its opening packet was sent on
    monotonic_time requestSentAt{}; ///< when the request that waits for an answer was sent on
    monotonic_time lastPacketAt{};
    float requestsPerSlot = 1.0F; ///< open requests over slots when it was placed, at least 1
};

/// The flows seen here lately, bounded in number.
class flow_table
{
public:
    explicit flow_table(std::size_t capacity);

    flow_record *find(const flow_id &flow);

    /// The record of @p flow, new if there was none. When the table is full the flow that was added
    /// first is forgotten; @p onEvicted is called with it.
    template <typename handler> flow_record &insert(const flow_id &flow, handler onEvicted);

    void erase(const flow_id &flow) { m_flows.erase(flow); }

    /// Calls @p isExpired for flows in the order they were added, from the oldest, at most @p
    /// maxFlows; those for which it returns true are forgotten.
    template <typename predicate> void sweep(std::size_t maxFlows, predicate isExpired);

    std::size_t size() const { return m_flows.size(); }

private:
    std::size_t m_capacity;
    boost::unordered_flat_map<flow_id, flow_record, flow_id_hash> m_flows;
    std::deque<flow_id> m_insertionOrder;
};

template <typename handler> flow_record &flow_table::insert(const flow_id &flow, handler onEvicted)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end()) {
        return found->second;
    }
    while (m_flows.size() >= m_capacity && !m_insertionOrder.empty()) {
        const auto oldest = m_flows.find(m_insertionOrder.front());
        if (oldest != m_flows.end()) {
            onEvicted(oldest->second);
            m_flows.erase(oldest);
        }
        m_insertionOrder.pop_front();
    }
    m_insertionOrder.push_back(flow);
    return m_flows[flow];
}

template <typename predicate> void flow_table::sweep(std::size_t maxFlows, predicate isExpired)
{
    for (std::size_t step = std::min(maxFlows, m_insertionOrder.size()); step > 0; --step) {
        const flow_id flow = m_insertionOrder.front();
        m_insertionOrder.pop_front();
        const auto found = m_flows.find(flow);
        if (found == m_flows.end()) {
            continue;
        }
        if (isExpired(flow, found->second)) {
            m_flows.erase(flow);
        } else {
            m_insertionOrder.push_back(flow);
        }
    }
}

} // namespace figstair
