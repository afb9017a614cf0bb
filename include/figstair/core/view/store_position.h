#pragma once

#include <cstdint>
#include <tuple>

namespace figstair {

/// A point in the history of the store. Revisions order the changes of one epoch only: when the
/// store is restored from an older copy, a new epoch starts, changes after the copy are lost, and
/// their revisions are assigned again.
struct store_position
{
    std::uint64_t epoch = 0; ///< incremented by each restoration; 0: the store states none
    std::uint64_t revision = 0;

    bool operator==(const store_position &other) const
    {
        return epoch == other.epoch && revision == other.revision;
    }
    bool operator<(const store_position &other) const
    {
        return std::tie(epoch, revision) < std::tie(other.epoch, other.revision);
    }
};

} // namespace figstair
