#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/fair_queue.h"
#include "figstair/core/flow_packet.h"

namespace figstair {

/// A SYN that is held until an upstream has room.
struct held_flow
{
    flow_id flow;
    std::vector<std::uint8_t> packet;
    unsigned priority = 0; ///< 0 is served first
    monotonic_time heldAt{};
    monotonic_time expiresAt{};
};

/// Bounded queue of new flows that no upstream has room for: by route priority, and fair between
/// the callers of a priority. It covers moments in which all upstreams are full: entry_core retries
/// held flows every 5 ms, in tick() or when a packet of an open flow arrives, instead of waiting
/// for the caller's SYN retransmission. The end of a request triggers no retry.
class held_flows
{
public:
    /// @p capacity is the maximum number of flows of each priority.
    explicit held_flows(std::size_t capacity);

    /// Adds @p item. When its priority is full, returns the flow that was dropped: @p item itself,
    /// or one of a caller with more held flows.
    std::optional<held_flow> push(held_flow item);

    /// Removes and returns the next flow by priority that has not expired at @p now. Expired flows
    /// before it are appended to @p expired.
    std::optional<held_flow> pop(monotonic_time now, std::vector<held_flow> &expired);

    bool isEmpty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }

private:
    held_flow take(std::uint64_t id);

    std::size_t m_capacity;
    std::uint64_t m_nextId = 0;
    std::map<unsigned, fair_queue> m_queues;
    std::map<std::uint64_t, held_flow> m_flows;
};

} // namespace figstair
