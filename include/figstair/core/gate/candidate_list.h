#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "figstair/wire/datagram.h"

namespace figstair {

/// One upstream that a new flow may be placed on.
struct candidate
{
    static constexpr std::uint16_t notAsked = 0xFFFF; ///< load of a candidate not asked yet
    static constexpr std::uint16_t refused = 0xFFFE; ///< load of a candidate whose gate refused

    std::uint32_t upstreamId = 0;
    std::uint16_t load = notAsked; ///< per mille of its capacity, as its gate answered
};

/// Candidates in order of preference, sent along with a forwarded open request.
class candidate_list
{
public:
    candidate_list() = default;
    explicit candidate_list(std::vector<candidate> candidates);

    /// Reads bytes written by encode(). Returns nothing when they are malformed.
    static std::optional<candidate_list> decode(byte_view bytes);
    byte_buffer encode() const;

    bool empty() const { return m_candidates.empty(); }
    std::size_t size() const { return m_candidates.size(); }

    /// Records the answer of the gate of @p upstreamId: a load or candidate::refused.
    void recordAnswer(std::uint32_t upstreamId, std::uint16_t load);

    /// Number of candidates that answered with a load.
    std::size_t answeredCount() const;

    /// Number of candidates that refused.
    std::size_t refusedCount() const;

    /// The first candidate that was not asked; nullptr when all were.
    const candidate *nextUnasked() const;

    /// The candidate that answered with the least load; nullptr when none answered with a load.
    const candidate *leastLoaded() const;

private:
    std::vector<candidate> m_candidates;
};

} // namespace figstair
