#pragma once

#include <cstdint>

namespace figstair {

/// Setting of a part of the packet path that acts only where the load calls for it.
enum class part_mode : std::uint8_t { automatic, on, off };

} // namespace figstair
