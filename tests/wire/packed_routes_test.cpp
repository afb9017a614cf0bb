#include "figstair/wire/packed_routes.h"

#include <random>

#include <doctest/doctest.h>

using namespace figstair;

namespace {

std::vector<route> sampleRoutes()
{
    return {
        route{"plain", 0xC6120001, 443, {{"desk", 1}}, milliseconds(4000), milliseconds(250), 2},
        route{"", 1, 65535, {{"", 0}, {std::string(300, 's'), 1'000'000}}, {}, {}, 0},
        route{std::string(65535, 'n'), 2, 0, {}, milliseconds(86'400'000), {}, 1'000'000}};
}

} // namespace

TEST_CASE("packed_routes: any routes: read back as written")
{
    const std::vector<route> routes = sampleRoutes();
    const auto bytes = packRoutes(routes);
    REQUIRE(bytes);
    const auto read = unpackRoutes(*bytes);
    REQUIRE(read);
    CHECK((*read == routes));
    CHECK(unpackRoutes(*packRoutes({}))->empty());
}

TEST_CASE("packed_routes: a text or a list is too long: not packed")
{
    route entry = sampleRoutes().front();
    entry.name = std::string(65536, 'n');
    CHECK_FALSE(packRoutes(std::vector<route>{entry}));
    entry = sampleRoutes().front();
    entry.services.resize(256, weighted_service{"desk", 1});
    CHECK_FALSE(packRoutes(std::vector<route>{entry}));
}

TEST_CASE("packed_routes: truncated bytes: rejected unless they end with a route")
{
    const std::vector<route> two{sampleRoutes()[0], sampleRoutes()[1]};
    const byte_buffer bytes = *packRoutes(two);
    const std::size_t firstBytes = packRoutes(std::vector<route>{two[0]})->size();
    for (std::size_t size = 1; size < bytes.size(); ++size) {
        const auto read = unpackRoutes(byte_view(bytes.data(), size));
        CHECK(read.has_value() == (size == firstBytes));
    }
}

TEST_CASE("packed_routes: numbers out of range: rejected")
{
    route entry = sampleRoutes().front();
    entry.priority = 1'000'001;
    CHECK_FALSE(unpackRoutes(*packRoutes(std::vector<route>{entry})));
    entry = sampleRoutes().front();
    entry.timeout = milliseconds(86'400'001);
    CHECK_FALSE(unpackRoutes(*packRoutes(std::vector<route>{entry})));
}

TEST_CASE("packed_routes: random bytes: rejected or read, never beyond their end")
{
    std::mt19937 random(3);
    for (int round = 0; round < 20000; ++round) {
        byte_buffer bytes(random() % 200);
        for (std::uint8_t &value : bytes) {
            value = static_cast<std::uint8_t>(random() % 4 == 0 ? random() : 0);
        }
        const auto read = unpackRoutes(bytes);
        CHECK((!read || read->size() <= bytes.size()));
    }
}
