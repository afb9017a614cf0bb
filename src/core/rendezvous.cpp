#include "figstair/core/rendezvous.h"

#include <xxhash.h>

namespace figstair {

std::uint64_t rendezvousScore(std::uint64_t key, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), key);
}

} // namespace figstair
