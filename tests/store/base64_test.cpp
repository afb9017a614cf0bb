#include "figstair/store/base64.h"

#include <random>

#include <doctest/doctest.h>
#include <sodium.h>

using namespace figstair;

namespace {

/// What libsodium decodes @p text to.
std::optional<std::string> decodedByLibrary(const std::string &text)
{
    std::string bytes(text.size() + 1, '\0');
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

} // namespace

TEST_CASE("base64: any bytes: read back as written")
{
    std::mt19937 random(1);
    for (std::size_t size = 0; size < 300; ++size) {
        std::string bytes(size, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        CHECK(fromBase64(toBase64(bytes)) == bytes);
    }
}

TEST_CASE("base64: valid and invalid texts: accepted or rejected as by the library")
{
    std::mt19937 random(2);
    const std::string characters = "AQgw/+9=\n -_";
    for (int round = 0; round < 200000; ++round) {
        std::string text(random() % 13, '\0');
        for (char &character : text) {
            character = characters[random() % (random() % 8 == 0 ? characters.size() : 8)];
        }
        REQUIRE((fromBase64(text) == decodedByLibrary(text)));
    }
}
