#include "figstair/core/flow/flow_table.h"

namespace figstair {
namespace {

/// Bytes of one direction of a flow that may have passed through other hosts between two of its
/// packets here.
constexpr std::uint32_t maxUnseenBytes = 1U << 20U;

/// Whether two sequence numbers are at most maxUnseenBytes apart, in either direction.
bool areNear(std::uint32_t first, std::uint32_t second)
{
    return first - second + maxUnseenBytes <= 2 * maxUnseenBytes;
}

} // namespace

bool flow_record::contains(const flow_packet &packet) const
{
    if (phase != flow_phase::open && phase != flow_phase::closed) {
        return areNear(packet.sequence, openingSequence);
    }
    return areNear(packet.sequence, lastSequence)
        && (!packet.isAck || areNear(packet.acknowledged, lastAcknowledged));
}

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
