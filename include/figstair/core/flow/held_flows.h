#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/fair_queue.h"
#include "figstair/core/flow/flow_packet.h"

namespace figstair {

/// Order in which the held flows of a service are placed: flows that can still meet their latency
/// target before those that cannot, then by route priority.
struct held_rank
{
    bool isLate = false;
    unsigned priority = 0; ///< 0 is first

    bool operator<(const held_rank &other) const
    {
        return isLate != other.isLate ? !isLate : priority < other.priority;
    }
};

/// A SYN that is held until an upstream has room.
struct held_flow
{
    flow_id flow;
    std::string service;
    std::vector<std::uint8_t> packet;
    held_rank rank;
    std::uint32_t number = 0; ///< differs from that of all other held flows
    bool isExtended = false; ///< held although it may wait long
    monotonic_time heldAt{};
    monotonic_time expiresAt{};
};

/// Bounded queues of new flows that no upstream has room for: one for each service, so that a
/// saturated service does not delay the flows of another, by rank, and fair between the callers of
/// a rank.
class held_flows
{
public:
    /// @p capacity is the maximum number of flows of one rank of a service.
    explicit held_flows(std::size_t capacity);

    /// Adds @p item. When its rank is full, returns the flow that was dropped: @p item itself, or
    /// one of a caller with more held flows.
    std::optional<held_flow> push(held_flow item);

    /// The next flow of @p service, or nullptr. Valid until the next change.
    const held_flow *front(const std::string &service) const;

    /// Removes and returns the next flow of @p service, of which there must be one.
    held_flow pop(const std::string &service);

    /// Removes and returns the flows that have expired at @p now, earliest first.
    std::vector<held_flow> takeExpired(monotonic_time now);

    /// Removes and returns the extended flows of @p service for which @p matches returns true. Asks
    /// in the order in which they were held.
    template <typename predicate>
    std::vector<held_flow> takeExtendedIf(const std::string &service, predicate matches);

    /// Number of flows of @p service that would be placed before one of @p rank that @p caller
    /// adds now.
    std::size_t aheadOf(const std::string &service, held_rank rank, std::uint32_t caller) const;

    /// Whether a flow of @p service with @p rank or a rank before it is held.
    bool hasRankOrBefore(const std::string &service, held_rank rank) const;

    /// How long the extended flow of @p service that was held first has been held; 0 if there is
    /// none.
    milliseconds oldestExtendedWait(const std::string &service, monotonic_time now) const;

    /// Services that have held flows.
    std::vector<std::string> services() const;

    bool isEmpty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }

private:
    struct service_queues
    {
        std::map<held_rank, fair_queue> byRank; ///< none is empty
        std::set<std::uint64_t> extendedIds;
    };

    held_flow extract(std::uint64_t id);
    held_flow remove(std::uint64_t id);

    std::size_t m_capacity;
    std::uint64_t m_nextId = 0;
    std::unordered_map<std::string, service_queues> m_services;
    std::map<std::uint64_t, held_flow> m_flows;
    std::set<std::pair<monotonic_time, std::uint64_t>> m_byExpiry;
};

template <typename predicate>
std::vector<held_flow> held_flows::takeExtendedIf(const std::string &service, predicate matches)
{
    std::vector<held_flow> taken;
    const auto queues = m_services.find(service);
    if (queues == m_services.end()) {
        return taken;
    }
    const std::vector<std::uint64_t> ids(queues->second.extendedIds.begin(),
                                         queues->second.extendedIds.end());
    for (const std::uint64_t id : ids) {
        if (matches(m_flows.at(id))) {
            taken.push_back(remove(id));
        }
    }
    return taken;
}

} // namespace figstair
