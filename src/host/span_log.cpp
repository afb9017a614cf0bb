#include "figstair/host/span_log.h"

namespace figstair {

span_log::span_log(std::size_t capacity)
    : m_capacity(capacity)
{
}

void span_log::add(const span_record &span)
{
    if (m_spans.size() < m_capacity) {
        m_spans.push_back(span);
        return;
    }
    m_spans[m_next] = span;
    m_next = (m_next + 1) % m_capacity;
}

std::vector<span_record> span_log::find(std::uint64_t traceId) const
{
    std::vector<span_record> found;
    for (const span_record &span : m_spans) {
        if (span.traceId == traceId) {
            found.push_back(span);
        }
    }
    return found;
}

} // namespace figstair
