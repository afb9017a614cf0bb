#include "figstair/core/fair_queue.h"

#include <algorithm>

namespace figstair {

fair_queue::fair_queue(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<std::uint64_t> fair_queue::push(std::uint64_t caller, std::uint64_t item)
{
    std::optional<std::uint64_t> dropped;
    if (m_size >= m_capacity) {
        const auto own = m_callers.find(caller);
        const std::size_t ownCount = own == m_callers.end() ? 0 : own->second.items.size();
        const auto longest =
            std::max_element(m_callers.begin(), m_callers.end(), [](const auto &a, const auto &b) {
                return a.second.items.size() < b.second.items.size();
            });
        if (longest == m_callers.end() || longest->second.items.size() <= ownCount + 1) {
            return item;
        }
        const std::uint64_t longestCaller = longest->first;
        dropped = longest->second.items.back();
        longest->second.items.pop_back();
        --m_size;
        removeIfEmpty(longestCaller);
    }
    const auto [entry, isNew] = m_callers.try_emplace(caller);
    if (isNew) {
        entry->second.rotationPosition = m_callerRotation.insert(m_callerRotation.end(), caller);
    }
    entry->second.items.push_back(item);
    ++m_size;
    return dropped;
}

std::optional<std::uint64_t> fair_queue::front() const
{
    if (m_callerRotation.empty()) {
        return std::nullopt;
    }
    return m_callers.at(m_callerRotation.front()).items.front();
}

std::optional<std::uint64_t> fair_queue::pop()
{
    if (m_callerRotation.empty()) {
        return std::nullopt;
    }
    const std::uint64_t caller = m_callerRotation.front();
    m_callerRotation.splice(m_callerRotation.end(), m_callerRotation, m_callerRotation.begin());
    std::deque<std::uint64_t> &items = m_callers.at(caller).items;
    const std::uint64_t item = items.front();
    items.pop_front();
    --m_size;
    removeIfEmpty(caller);
    return item;
}

bool fair_queue::remove(std::uint64_t caller, std::uint64_t item)
{
    const auto found = m_callers.find(caller);
    if (found == m_callers.end()) {
        return false;
    }
    std::deque<std::uint64_t> &items = found->second.items;
    const auto position = std::find(items.begin(), items.end(), item);
    if (position == items.end()) {
        return false;
    }
    items.erase(position);
    --m_size;
    removeIfEmpty(caller);
    return true;
}

std::size_t fair_queue::aheadOf(std::uint64_t caller) const
{
    const auto own = m_callers.find(caller);
    const std::size_t ownCount = own == m_callers.end() ? 0 : own->second.items.size();
    std::size_t ahead = 0;
    for (const auto &[other, waiting] : m_callers) {
        ahead += std::min(waiting.items.size(), ownCount + 1);
    }
    return ahead;
}

void fair_queue::removeIfEmpty(std::uint64_t caller)
{
    const auto found = m_callers.find(caller);
    if (found->second.items.empty()) {
        m_callerRotation.erase(found->second.rotationPosition);
        m_callers.erase(found);
    }
}

} // namespace figstair
