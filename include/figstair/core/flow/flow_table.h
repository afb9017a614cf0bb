#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/flow/flow_packet.h"
#include "figstair/core/load/outstanding_work.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

enum class flow_phase : std::uint8_t {
    held, ///< the SYN is held until an upstream has room
    /// The SYN was dropped, without telling the caller; its next retransmission is handled anew.
    dropped,
    opening, ///< the SYN was forwarded; the caller has not acknowledged an answer
    open,
    closed ///< the caller sent a FIN or RST; kept for late packets
};

/// State of one flow at this host. Only a cache: any host can route any packet by its tag. Callers
/// use their ports again, so a record may be of an earlier or later flow than a packet with the
/// same addresses and ports; see contains().
struct flow_record
{
    flow_phase phase = flow_phase::opening;
    bool awaitsAnswer = false; ///< counted as an open request of its upstream
    /// A second upstream was looked for after the first did not answer the SYN; stays set when none
    /// took the flow.
    bool wasRetried = false;
    upstream_index upstream = noUpstream;
    std::uint32_t upstreamTag = 0; ///< of #upstream, whose index may be used again
    upstream_index previousUpstream = noUpstream; ///< got an earlier copy of the SYN
    std::uint32_t openingSequence = 0; ///< sequence number of the caller's SYN
    /// Acknowledgement number of the caller's latest packet with new data; before the first one,
    /// that of the first packet after the SYN. A different one acknowledges an answer.
    std::uint32_t acknowledgedAtRequest = 0;
    std::uint32_t lastDataSequence = 0; ///< sequence number of the caller's latest new data
    std::uint32_t lastSequence = 0; ///< sequence number of the caller's latest packet
    std::uint32_t lastAcknowledged = 0; ///< that the caller's latest packet acknowledged
    bool hasSentData = false; ///< the caller sent data through this host
    bool wasForwarded = false; ///< a SYN of the flow was sent to an upstream
    /// Bit n is set if the SYN with retransmission count n came to this host.
    std::uint8_t openingsSeen = 0;
    /// When the caller sent its first SYN, by the schedule of retransmissions.
    monotonic_time firstOpeningAt{};
    monotonic_time openingSentAt{}; ///< when the SYN was forwarded
    monotonic_time requestSentAt{}; ///< when the unanswered request was forwarded
    monotonic_time dataSentAt{}; ///< when the latest data was forwarded, repetitions included
    monotonic_time lastPacketAt{};
    /// While held: held_flow::number of its entry. Entries with another one are of earlier flows
    /// with the same addresses and ports.
    std::uint32_t holdNumber = 0;
    float requestsPerSlot = 1.0F; ///< at the upstream when the flow was placed; at least 1
    work_handle openWork = 0; ///< of the request that awaits its answer

    /// Whether @p packet, which is no SYN, continues this flow: its sequence number is near the
    /// last one seen here and, once the flow is open, its acknowledgement number too. Both ends
    /// choose their initial numbers anew for each flow.
    bool contains(const flow_packet &packet) const;
};

/// Bounded table of the flows that this host has seen recently.
class flow_table
{
public:
    explicit flow_table(std::size_t capacity);

    /// Returns the record of @p flow, or nullptr.
    flow_record *find(const flow_id &flow);

    /// Returns the record of @p flow, inserting one if there is none. A full table first evicts the
    /// flow at the front of the sweep order and passes its record to @p onEvicted. The reference is
    /// valid until the next insert(), erase() or sweep().
    template <typename handler> flow_record &insert(const flow_id &flow, handler onEvicted);

    void erase(const flow_id &flow) { m_flows.erase(flow); }

    /// Calls @p isExpired for up to @p maxFlows flows from the front of the sweep order and removes
    /// those for which it returns true. The others move to its end, where new flows are added too.
    template <typename predicate> void sweep(std::size_t maxFlows, predicate isExpired);

    std::size_t size() const { return m_flows.size(); }

private:
    std::size_t m_capacity;
    boost::unordered_flat_map<flow_id, flow_record, flow_id_hash> m_flows;
    std::deque<flow_id> m_sweepOrder;
};

template <typename handler> flow_record &flow_table::insert(const flow_id &flow, handler onEvicted)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end()) {
        return found->second;
    }
    while (m_flows.size() >= m_capacity && !m_sweepOrder.empty()) {
        const auto oldest = m_flows.find(m_sweepOrder.front());
        if (oldest != m_flows.end()) {
            onEvicted(oldest->second);
            m_flows.erase(oldest);
        }
        m_sweepOrder.pop_front();
    }
    m_sweepOrder.push_back(flow);
    return m_flows[flow];
}

template <typename predicate> void flow_table::sweep(std::size_t maxFlows, predicate isExpired)
{
    for (std::size_t step = std::min(maxFlows, m_sweepOrder.size()); step > 0; --step) {
        const flow_id flow = m_sweepOrder.front();
        m_sweepOrder.pop_front();
        const auto found = m_flows.find(flow);
        if (found == m_flows.end()) {
            continue;
        }
        if (isExpired(flow, found->second)) {
            m_flows.erase(flow);
        } else {
            m_sweepOrder.push_back(flow);
        }
    }
}

} // namespace figstair
