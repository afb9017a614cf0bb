#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figstair/wire/datagram.h"

namespace figstair {

/// Reassembles the parts of one answer on the caller's side. Parts with different digests belong to
/// different answers and are not mixed.
class answer_assembly
{
public:
    struct part_range
    {
        std::uint32_t first = 0;
        std::uint32_t count = 0;
    };

    /// Adds a part. A part with another digest or part count discards the parts so far. Malformed
    /// parts are ignored.
    void add(const datagram &answer);

    /// True when every part has arrived and the content matches the digest.
    bool isComplete() const;

    /// The shortest range that covers all missing parts among the @p maxCount parts from the first
    /// missing one on; nothing when no part is missing, also when the content does not match the
    /// digest. Before any part has arrived, the first @p maxCount parts.
    std::optional<part_range> missingRange(std::uint32_t maxCount) const;

    /// The joined parts; only meaningful when isComplete().
    std::string content() const;

    /// Discards all parts.
    void clear();

private:
    std::vector<std::optional<std::string>> m_parts;
    std::uint64_t m_digest = 0;
};

} // namespace figstair
