#include "figstair/core/gate/flow_token.h"

#include <doctest/doctest.h>

#include "errors.h"
#include "table_rows.h"

using namespace figstair;

namespace {

constexpr peer_key sealingKey{9, 8, 7};
constexpr wall_time start{milliseconds(1700000000000)};
constexpr milliseconds activationDelay{10000};

struct token_fixture
{
    token_fixture() { addKey(1, start - milliseconds(60000)); }

    void addKey(std::uint32_t id, wall_time createdAt)
    {
        table_row row = namedRow(row_kind::key, "key-" + std::to_string(id), id);
        row.changedAt = createdAt;
        row.secret = makeSealedKey(sealingKey);
        edit.changes.push_back(row_change{false, row});
        edit.revision = rows.revision() + 1;
        edit.parentDigest = rows.digest();
        REQUIRE(succeeds([&] { return rows.apply(edit); }));
        edit.changes.clear();
        keys.update(rows);
    }

    static flow_token sampleToken()
    {
        return flow_token{3, 17, 0xABCDEF0123456789ULL, start, 42, 99};
    }

    table rows;
    table_edit edit;
    token_keys keys{sealingKey, activationDelay};
};

} // namespace

TEST_CASE_FIXTURE(token_fixture, "token_keys: a minted token: verifies with all its fields")
{
    const flow_token_bytes bytes = keys.mint(sampleToken(), start);
    const flow_token read = valueOf([&] { return keys.verify(bytes); });
    CHECK(read.serviceId == 3);
    CHECK(read.upstreamId == 17);
    CHECK(read.gateIncarnation == 0xABCDEF0123456789ULL);
    CHECK(read.issuedAt == start);
    CHECK(read.nonce == 42);
    CHECK(read.callerHash == 99);
}

TEST_CASE_FIXTURE(token_fixture, "token_keys: a token with any bit flipped: is rejected")
{
    const flow_token_bytes bytes = keys.mint(sampleToken(), start);
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        flow_token_bytes tampered = bytes;
        tampered[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
        CHECK(errorOf<token_error>([&] { return keys.verify(tampered); }).has_value());
    }
}

TEST_CASE_FIXTURE(token_fixture, "token_keys: a truncated token: is rejected for its size")
{
    const flow_token_bytes bytes = keys.mint(sampleToken(), start);
    const auto error = errorOf<token_error>(
        [&] { return keys.verify(byte_view(bytes.data(), bytes.size() - 1)); });
    REQUIRE(error.has_value());
    CHECK(error->reason == token_error::problem::size);
}

TEST_CASE_FIXTURE(token_fixture,
                  "token_keys: a new key: mints tokens only after the activation delay")
{
    const flow_token_bytes before = keys.mint(sampleToken(), start);
    token_keys lateHost(sealingKey, activationDelay);
    lateHost.update(rows);
    addKey(2, start);
    const flow_token_bytes mintedBeforeActivation =
        keys.mint(sampleToken(), start + activationDelay / 2);
    CHECK(succeeds([&] { return lateHost.verify(mintedBeforeActivation); }));
    const flow_token_bytes mintedAfterActivation =
        keys.mint(sampleToken(), start + activationDelay);
    const auto error = errorOf<token_error>([&] { return lateHost.verify(mintedAfterActivation); });
    REQUIRE(error.has_value());
    CHECK(error->reason == token_error::problem::unknownKey);
    CHECK(succeeds([&] { return keys.verify(before); }));
}

TEST_CASE_FIXTURE(token_fixture, "token_keys: a different sealing key: decrypts no key")
{
    token_keys otherKeys(peer_key{1}, activationDelay);
    CHECK(otherKeys.update(rows) == 1);
    CHECK(otherKeys.empty());
}
