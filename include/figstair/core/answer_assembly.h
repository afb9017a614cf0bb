#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figstair/wire/datagram.h"

namespace figstair {

/// Puts the parts of one answer together on the caller's side; parts of different digests are not
/// mixed.
class answer_assembly
{
public:
    struct part_range
    {
        std::uint32_t first = 0;
        std::uint32_t count = 0;
    };

    /// Takes a part; one of another digest begins anew. Malformed parts are ignored.
    void add(const datagram &answer);

    /// True when every part is there and the whole has the digest.
    bool isComplete() const;

    /// The shortest range that holds all missing parts among the @p maxCount parts from the first
    /// missing one on; nothing when all parts are there.
    std::optional<part_range> missingRange(std::uint32_t maxCount) const;

    /// The content; only meaningful when isComplete().
    std::string content() const;

    /// Forgets everything.
    void clear();

private:
    std::vector<std::optional<std::string>> m_parts;
    std::uint64_t m_digest = 0;
};

} // namespace figstair
