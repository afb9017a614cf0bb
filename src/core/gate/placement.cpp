#include "figstair/core/gate/placement.h"

#include <vector>

#include <boost/random/uniform_int_distribution.hpp>

namespace figstair {

placement::placement(const table &current, const membership &members)
    : m_table(current)
    , m_members(members)
{
}

candidate_list placement::draw(const service_entry &service, std::size_t count,
                               std::mt19937_64 &random) const
{
    std::vector<const upstream_entry *> usable;
    std::uint64_t totalWeight = 0;
    for (const std::uint32_t id : service.upstreams) {
        const upstream_entry *upstream = m_table.upstream(id);
        if (isUsable(*upstream)) {
            usable.push_back(upstream);
            totalWeight += upstream->weight;
        }
    }
    std::vector<candidate> chosen;
    while (chosen.size() < count && totalWeight > 0) {
        boost::random::uniform_int_distribution<std::uint64_t> distribution(0, totalWeight - 1);
        std::uint64_t offset = distribution(random);
        auto picked = usable.begin();
        while (offset >= (*picked)->weight) {
            offset -= (*picked)->weight;
            ++picked;
        }
        chosen.push_back(candidate{(*picked)->id, candidate::notAsked});
        totalWeight -= (*picked)->weight;
        usable.erase(picked);
    }
    return candidate_list(std::move(chosen));
}

bool placement::isUsable(const upstream_entry &upstream) const
{
    return upstream.state == row_state::in && upstream.weight > 0
        && !m_table.isZoneOut(upstream.zone)
        && m_members.zoneReachable(m_table.zoneName(upstream.zone));
}

} // namespace figstair
