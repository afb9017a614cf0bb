#include "figstair/core/gate/candidate_list.h"

#include <algorithm>

#include <boost/endian/conversion.hpp>

namespace endian = boost::endian;

namespace figstair {
namespace {

constexpr std::size_t candidateBytes = 6;
constexpr std::size_t maxCandidates = 8;

bool hasLoad(const candidate &item)
{
    return item.load < candidate::refused;
}

} // namespace

candidate_list::candidate_list(std::vector<candidate> candidates)
    : m_candidates(std::move(candidates))
{
}

std::optional<candidate_list> candidate_list::decode(byte_view bytes)
{
    if (bytes.size() % candidateBytes != 0 || bytes.size() > candidateBytes * maxCandidates) {
        return std::nullopt;
    }
    candidate_list list;
    for (std::size_t offset = 0; offset < bytes.size(); offset += candidateBytes) {
        list.m_candidates.push_back(candidate{endian::load_big_u32(bytes.data() + offset),
                                              endian::load_big_u16(bytes.data() + offset + 4)});
    }
    return list;
}

byte_buffer candidate_list::encode() const
{
    byte_buffer bytes(m_candidates.size() * candidateBytes);
    std::uint8_t *position = bytes.data();
    for (const candidate &item : m_candidates) {
        endian::store_big_u32(position, item.upstreamId);
        endian::store_big_u16(position + 4, item.load);
        position += candidateBytes;
    }
    return bytes;
}

void candidate_list::recordAnswer(std::uint32_t upstreamId, std::uint16_t load)
{
    for (candidate &item : m_candidates) {
        if (item.upstreamId == upstreamId) {
            item.load = load;
        }
    }
}

std::size_t candidate_list::answeredCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_candidates.begin(), m_candidates.end(), hasLoad));
}

std::size_t candidate_list::refusedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_candidates.begin(), m_candidates.end(),
                      [](const candidate &item) { return item.load == candidate::refused; }));
}

const candidate *candidate_list::nextUnasked() const
{
    const auto found =
        std::find_if(m_candidates.begin(), m_candidates.end(),
                     [](const candidate &item) { return item.load == candidate::notAsked; });
    return found == m_candidates.end() ? nullptr : &*found;
}

const candidate *candidate_list::leastLoaded() const
{
    const candidate *best = nullptr;
    for (const candidate &item : m_candidates) {
        if (hasLoad(item) && (best == nullptr || item.load < best->load)) {
            best = &item;
        }
    }
    return best;
}

} // namespace figstair
