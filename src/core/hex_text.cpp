#include "figstair/core/hex_text.h"

namespace figstair {

std::string toHex(std::uint64_t value)
{
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += "0123456789abcdef"[value >> static_cast<unsigned>(shift) & 15U];
    }
    return text;
}

} // namespace figstair
