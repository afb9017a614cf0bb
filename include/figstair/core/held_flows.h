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

/// An opening packet that waits for room at an upstream.
struct held_flow
{
    flow_id flow;
    std::vector<std::uint8_t> packet;
    unsigned priority = 0; ///< 0 is served first
    monotonic_time since{};
    monotonic_time until{};
};

/// New flows that no upstream has room for now: bounded, by priority of the route, callers in turn.
/// Answers the load pattern in which all upstreams are full for moments: a held flow is sent as
/// soon as a request ends, instead of waiting for the caller's next copy of its opening packet.
class held_flows
{
public:
    /// @p capacity: flows held in all for each priority.
    explicit held_flows(std::size_t capacity);

    /// Returns the flow that found no room: @p item itself, or one of a caller with more waiting.
    std::optional<held_flow> push(held_flow item);

    /// Takes the next flow in the order of priority whose time is not over at @p now. Those whose
    /// time is over go to @p expired.
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
