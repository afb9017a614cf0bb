#include "figstair/store/base64.h"

#include <array>
#include <cstdint>

#include <sodium.h>

namespace figstair {
namespace {

constexpr std::uint8_t noDigit = 0xFF;
constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Values of the digits by character.
constexpr std::array<std::uint8_t, 256> makeDigitValues()
{
    std::array<std::uint8_t, 256> values{};
    for (std::uint8_t &value : values) {
        value = noDigit;
    }
    for (std::size_t index = 0; index < digits.size(); ++index) {
        values[static_cast<std::uint8_t>(digits[index])] = static_cast<std::uint8_t>(index);
    }
    return values;
}

constexpr std::array<std::uint8_t, 256> digitValues = makeDigitValues();

} // namespace

std::string toBase64(std::string_view bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

// libsodium decodes in constant time, which records do not need and which takes much longer.
std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::size_t digitCount = text.size();
    while (digitCount + 2 > text.size() && digitCount > 0 && text[digitCount - 1] == '=') {
        --digitCount;
    }
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    std::uint32_t bits = 0;
    unsigned bitCount = 0;
    for (std::size_t index = 0; index < digitCount; ++index) {
        const std::uint8_t value = digitValues[static_cast<std::uint8_t>(text[index])];
        if (value == noDigit) {
            return std::nullopt;
        }
        bits = bits << 6U | value;
        bitCount += 6;
        if (bitCount >= 8) {
            bitCount -= 8;
            bytes += static_cast<char>(bits >> bitCount & 0xFFU);
        }
    }
    const bool hasStrayBits = (bits & ((1U << bitCount) - 1U)) != 0;
    return hasStrayBits ? std::nullopt : std::make_optional(std::move(bytes));
}

} // namespace figstair
