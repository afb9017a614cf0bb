#include "figstair/core/held_flows.h"

namespace figstair {

held_flows::held_flows(std::size_t capacity)
    : m_capacity(capacity)
{
}

held_flow held_flows::take(std::uint64_t id)
{
    const auto found = m_flows.find(id);
    held_flow item = std::move(found->second);
    m_flows.erase(found);
    return item;
}

std::optional<held_flow> held_flows::push(held_flow item)
{
    fair_queue &queue = m_queues.try_emplace(item.priority, m_capacity).first->second;
    const std::uint64_t id = m_nextId++;
    const std::uint64_t caller = item.flow.callerAddress;
    m_flows.emplace(id, std::move(item));
    const std::optional<std::uint64_t> droppedId = queue.push(caller, id);
    if (!droppedId) {
        return std::nullopt;
    }
    return take(*droppedId);
}

std::optional<held_flow> held_flows::pop(monotonic_time now, std::vector<held_flow> &expired)
{
    for (auto &[priority, queue] : m_queues) {
        while (const std::optional<std::uint64_t> id = queue.pop()) {
            held_flow item = take(*id);
            if (item.expiresAt > now) {
                return item;
            }
            expired.push_back(std::move(item));
        }
    }
    return std::nullopt;
}

} // namespace figstair
