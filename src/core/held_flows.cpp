#include "figstair/core/held_flows.h"

namespace figstair {

held_flows::held_flows(std::size_t capacity)
    : m_capacity(capacity)
{
}

held_flow held_flows::take(std::uint64_t number)
{
    const auto found = m_items.find(number);
    held_flow item = std::move(found->second);
    m_items.erase(found);
    return item;
}

std::optional<held_flow> held_flows::push(held_flow item)
{
    fair_queue &queue = m_queues.try_emplace(item.priority, m_capacity).first->second;
    const std::uint64_t number = m_nextNumber++;
    const std::uint64_t caller = item.flow.callerAddress;
    m_items.emplace(number, std::move(item));
    const std::optional<std::uint64_t> dropped = queue.push(caller, number);
    if (!dropped) {
        return std::nullopt;
    }
    return take(*dropped);
}

std::optional<held_flow> held_flows::pop(monotonic_time now, std::vector<held_flow> &late)
{
    for (auto &[priority, queue] : m_queues) {
        while (const std::optional<std::uint64_t> number = queue.pop()) {
            held_flow item = take(*number);
            if (item.until > now) {
                return item;
            }
            late.push_back(std::move(item));
        }
    }
    return std::nullopt;
}

} // namespace figstair
