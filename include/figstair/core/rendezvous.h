#pragma once

#include <cstdint>
#include <string_view>

namespace figstair {

/// Score of @p candidate for @p key in rendezvous hashing; the greatest score wins.
std::uint64_t rendezvousScore(std::uint64_t key, std::string_view candidate);

} // namespace figstair
