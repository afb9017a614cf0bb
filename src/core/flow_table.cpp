#include "figstair/core/flow_table.h"

namespace figstair {

flow_table::flow_table(std::size_t capacity)
    : m_capacity(capacity)
{
}

flow_record *flow_table::find(const flow_id &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

} // namespace figstair
