#include "figstair/core/load/outstanding_work.h"

#include <algorithm>

namespace figstair {
namespace {

/// Requests tracked by age, of all upstreams and of one. The second bound keeps the time that one
/// upstream's estimate takes constant.
constexpr std::size_t maxTracked = 4096;
constexpr std::uint16_t maxTrackedPerUpstream = 16;

/// A handle holds the generation of the request above its number + 1.
constexpr unsigned generationShift = 16;
constexpr work_handle numberMask = 0xFFFF;
constexpr work_handle untrackedHandle = numberMask;

} // namespace

outstanding_work::outstanding_work(const request_cost &costs)
    : m_costs(costs)
{
}

const outstanding_work::tracked_request *outstanding_work::find(work_handle handle) const
{
    const std::size_t number = handle & numberMask;
    if (number == 0 || number > m_requests.size()) {
        return nullptr;
    }
    const tracked_request &item = m_requests[number - 1];
    return item.upstream != noUpstream && item.generation == handle >> generationShift ? &item
                                                                                       : nullptr;
}

outstanding_work::tracked_request *outstanding_work::find(work_handle handle)
{
    return const_cast<tracked_request *>(std::as_const(*this).find(handle));
}

work_handle outstanding_work::add(upstream_index upstream, work_class requests,
                                  double requestsPerSlot, monotonic_time startsAt)
{
    if (m_upstreams.size() <= upstream) {
        m_upstreams.resize(upstream + std::size_t{1});
    }
    upstream_requests &ofUpstream = m_upstreams[upstream];
    ofUpstream.requests = requests;
    if (ofUpstream.tracked >= maxTrackedPerUpstream
        || (m_firstFree == 0 && m_requests.size() >= maxTracked)) {
        ++ofUpstream.untracked;
        return untrackedHandle;
    }
    if (m_firstFree == 0) {
        m_requests.emplace_back();
        m_firstFree = static_cast<std::uint16_t>(m_requests.size());
    }
    const std::uint16_t number = m_firstFree;
    tracked_request &item = m_requests[number - 1U];
    m_firstFree = item.next;
    item.startsAt = startsAt;
    item.upstream = upstream;
    item.requestsPerSlot = static_cast<float>(std::max(1.0, requestsPerSlot));
    item.requests = requests;
    item.next = ofUpstream.first;
    item.previous = 0;
    if (item.next != 0) {
        m_requests[item.next - 1U].previous = number;
    }
    ofUpstream.first = number;
    ++ofUpstream.tracked;
    return work_handle{item.generation} << generationShift | number;
}

void outstanding_work::restart(work_handle handle, monotonic_time startsAt)
{
    if (tracked_request *item = find(handle)) {
        item->startsAt = startsAt;
    }
}

void outstanding_work::release(std::uint16_t number)
{
    tracked_request &item = m_requests[number - 1U];
    upstream_requests &ofUpstream = m_upstreams[item.upstream];
    if (item.next != 0) {
        m_requests[item.next - 1U].previous = item.previous;
    }
    if (item.previous != 0) {
        m_requests[item.previous - 1U].next = item.next;
    } else {
        ofUpstream.first = item.next;
    }
    --ofUpstream.tracked;
    ++item.generation;
    item.upstream = noUpstream;
    item.next = m_firstFree;
    m_firstFree = number;
}

void outstanding_work::remove(upstream_index upstream, work_handle handle)
{
    if (handle == untrackedHandle) {
        if (upstream < m_upstreams.size() && m_upstreams[upstream].untracked > 0) {
            --m_upstreams[upstream].untracked;
        }
    } else if (find(handle) != nullptr) {
        release(static_cast<std::uint16_t>(handle & numberMask));
    }
}

void outstanding_work::reset(upstream_index upstream)
{
    if (upstream >= m_upstreams.size()) {
        return;
    }
    while (m_upstreams[upstream].first != 0) {
        release(m_upstreams[upstream].first);
    }
    m_upstreams[upstream] = upstream_requests{};
}

double outstanding_work::of(upstream_index upstream, monotonic_time now) const
{
    if (upstream >= m_upstreams.size()) {
        return 0;
    }
    const upstream_requests &ofUpstream = m_upstreams[upstream];
    double work = ofUpstream.untracked * m_costs.serviceMean(ofUpstream.requests);
    for (std::uint16_t number = ofUpstream.first; number != 0;) {
        const tracked_request &item = m_requests[number - 1U];
        const auto age = static_cast<double>((now - item.startsAt).count());
        work += m_costs.rest(item.requests, age / item.requestsPerSlot);
        number = item.next;
    }
    return work;
}

double outstanding_work::requestsPerSlot(work_handle handle, double otherwise) const
{
    const tracked_request *item = find(handle);
    return item == nullptr ? otherwise : item->requestsPerSlot;
}

} // namespace figstair
