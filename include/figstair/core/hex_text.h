#pragma once

#include <cstdint>
#include <string>

namespace figstair {

/// @p value as 16 hexadecimal digits, the form of ids in logs and on status pages.
std::string toHex(std::uint64_t value);

} // namespace figstair
