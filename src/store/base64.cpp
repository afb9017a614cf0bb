#include "figstair/store/base64.h"

#include <sodium.h>

namespace figstair {

std::string toBase64(std::string_view bytes)
{
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(),
                          text.data(), text.size(), nullptr, &size, nullptr,
                          sodium_base64_VARIANT_ORIGINAL)
        != 0) {
        return std::nullopt;
    }
    bytes.resize(size);
    return bytes;
}

} // namespace figstair
