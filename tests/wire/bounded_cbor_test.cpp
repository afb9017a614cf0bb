#include "figstair/wire/bounded_cbor.h"

#include <functional>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <pthread.h>

#include "errors.h"
#include "figstair/wire/entry_message.h"

using namespace figstair;

namespace {

constexpr std::size_t smallStackBytes = 1 << 20;

/// Runs @p action on a thread with a stack of smallStackBytes.
void runOnSmallStack(std::function<void()> action)
{
    pthread_attr_t attributes{};
    REQUIRE(pthread_attr_init(&attributes) == 0);
    REQUIRE(pthread_attr_setstacksize(&attributes, smallStackBytes) == 0);
    pthread_t thread{};
    const auto entry = [](void *argument) -> void * {
        (*static_cast<std::function<void()> *>(argument))();
        return nullptr;
    };
    REQUIRE(pthread_create(&thread, &attributes, entry, &action) == 0);
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
}

/// CBOR of an array of one array of one array and so on, @p depth of them, the last one empty.
byte_buffer nestedArrays(std::size_t depth)
{
    constexpr std::uint8_t arrayOfOne = 0x81;
    constexpr std::uint8_t emptyArray = 0x80;
    byte_buffer bytes(depth, arrayOfOne);
    bytes.back() = emptyArray;
    return bytes;
}

} // namespace

TEST_CASE("bounded_cbor: levels up to the limit: decoded, one more: refused")
{
    CHECK(parseCbor(nestedArrays(maxCborDepth)).is_array());
    CHECK_THROWS_AS(parseCbor(nestedArrays(maxCborDepth + 1)), nlohmann::json::exception);
}

TEST_CASE("bounded_cbor: truncated value: refused")
{
    const byte_buffer bytes{0x82, 0x01};
    CHECK_THROWS_AS(parseCbor(bytes), nlohmann::json::exception);
}

TEST_CASE("entry_message: the longest message, all of it nesting: refused with a small stack")
{
    constexpr std::uint8_t arrayOfOne = 0x81;
    constexpr std::uint8_t mapOfOne = 0xA1;
    constexpr std::uint8_t bytesInParts = 0x5F;
    constexpr std::uint8_t textInParts = 0x7F;
    constexpr std::uint8_t openArray = 0x9F;
    constexpr std::uint8_t openMap = 0xBF;
    constexpr std::uint8_t tag = 0xC1;
    for (const std::uint8_t head :
         {arrayOfOne, mapOfOne, bytesInParts, textInParts, openArray, openMap, tag}) {
        CAPTURE(unsigned(head));
        byte_buffer bytes(maxEntryMessageBytes, head);
        bytes.front() = 0; // the prefix of unsigned messages
        REQUIRE(isUnsigned(bytes));
        bool isRefused = false;
        runOnSmallStack([&] { isRefused = !succeeds([&] { return decodeUnsigned(bytes); }); });
        CHECK(isRefused);
    }
}
