#include "figstair/core/flow/held_flows.h"

namespace figstair {

held_flows::held_flows(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::optional<held_flow> held_flows::push(held_flow item)
{
    service_queues &queues = m_services[item.service];
    fair_queue &queue = queues.byRank.try_emplace(item.rank, m_capacity).first->second;
    const std::uint64_t id = m_nextId++;
    const std::optional<std::uint64_t> droppedId = queue.push(item.flow.callerAddress, id);
    if (droppedId == id) {
        return item;
    }
    if (item.isExtended) {
        queues.extendedIds.insert(id);
    }
    m_byExpiry.emplace(item.expiresAt, id);
    m_flows.emplace(id, std::move(item));
    if (!droppedId) {
        return std::nullopt;
    }
    return extract(*droppedId);
}

/// Removes the flow, which its queue no longer has, and queues that are empty.
held_flow held_flows::extract(std::uint64_t id)
{
    const auto found = m_flows.find(id);
    held_flow item = std::move(found->second);
    m_flows.erase(found);
    m_byExpiry.erase({item.expiresAt, id});
    const auto queues = m_services.find(item.service);
    queues->second.extendedIds.erase(id);
    const auto queue = queues->second.byRank.find(item.rank);
    if (queue->second.size() == 0) {
        queues->second.byRank.erase(queue);
    }
    if (queues->second.byRank.empty()) {
        m_services.erase(queues);
    }
    return item;
}

held_flow held_flows::remove(std::uint64_t id)
{
    const held_flow &item = m_flows.at(id);
    m_services.at(item.service).byRank.at(item.rank).remove(item.flow.callerAddress, id);
    return extract(id);
}

const held_flow *held_flows::front(const std::string &service) const
{
    const auto queues = m_services.find(service);
    if (queues == m_services.end()) {
        return nullptr;
    }
    return &m_flows.at(*queues->second.byRank.begin()->second.front());
}

held_flow held_flows::pop(const std::string &service)
{
    return extract(*m_services.at(service).byRank.begin()->second.pop());
}

milliseconds held_flows::oldestExtendedWait(const std::string &service, monotonic_time now) const
{
    const auto queues = m_services.find(service);
    if (queues == m_services.end() || queues->second.extendedIds.empty()) {
        return milliseconds::zero();
    }
    return now - m_flows.at(*queues->second.extendedIds.begin()).heldAt;
}

std::vector<held_flow> held_flows::takeExpired(monotonic_time now)
{
    std::vector<held_flow> expired;
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        expired.push_back(remove(m_byExpiry.begin()->second));
    }
    return expired;
}

std::size_t held_flows::aheadOf(const std::string &service, held_rank rank,
                                std::uint32_t caller) const
{
    const auto queues = m_services.find(service);
    if (queues == m_services.end()) {
        return 0;
    }
    std::size_t ahead = 0;
    for (const auto &[other, queue] : queues->second.byRank) {
        if (rank < other) {
            break;
        }
        ahead += other < rank ? queue.size() : queue.aheadOf(caller);
    }
    return ahead;
}

bool held_flows::hasRankOrBefore(const std::string &service, held_rank rank) const
{
    const auto queues = m_services.find(service);
    return queues != m_services.end() && !(rank < queues->second.byRank.begin()->first);
}

std::vector<std::string> held_flows::services() const
{
    std::vector<std::string> names;
    names.reserve(m_services.size());
    for (const auto &[name, queues] : m_services) {
        names.push_back(name);
    }
    return names;
}

} // namespace figstair
