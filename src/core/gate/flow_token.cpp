#include "figstair/core/gate/flow_token.h"

#include <algorithm>
#include <cassert>

#include <boost/endian/buffers.hpp>
#include <boost/leaf.hpp>
#include <sodium.h>

namespace leaf = boost::leaf;
namespace endian = boost::endian;

namespace figstair {
namespace {

constexpr std::uint8_t tokenVersion = 1;

struct token_layout
{
    endian::big_uint8_buf_t version;
    endian::big_uint24_buf_t keyId;
    endian::big_uint32_buf_t serviceId;
    endian::big_uint32_buf_t upstreamId;
    endian::big_uint64_buf_t gateIncarnation;
    endian::big_uint64_buf_t issuedAtSeconds;
    endian::big_uint64_buf_t nonce;
    endian::big_uint64_buf_t callerHash;
};

constexpr std::size_t bodyBytes = sizeof(token_layout);
static_assert(bodyBytes + peerMacBytes == flowTokenBytes);

void computeMac(const peer_key &secret, const std::uint8_t *body, std::uint8_t *mac)
{
    crypto_shorthash_siphashx24(mac, body, bodyBytes, secret.data());
}

std::array<std::uint8_t, crypto_secretbox_KEYBYTES> deriveBoxKey(const peer_key &sealingKey)
{
    std::array<std::uint8_t, crypto_secretbox_KEYBYTES> key{};
    crypto_generichash(key.data(), key.size(), sealingKey.data(), sealingKey.size(), nullptr, 0);
    return key;
}

constexpr std::size_t sealedBytes =
    crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES + sizeof(peer_key);

std::optional<peer_key> decryptSealedKey(const peer_key &sealingKey, const std::string &text)
{
    std::array<std::uint8_t, sealedBytes> sealed{};
    std::size_t size = 0;
    if (sodium_hex2bin(sealed.data(), sealed.size(), text.data(), text.size(), nullptr, &size,
                       nullptr)
            != 0
        || size != sealed.size()) {
        return std::nullopt;
    }
    peer_key secret{};
    const auto key = deriveBoxKey(sealingKey);
    const std::uint8_t *cipher = sealed.data() + crypto_secretbox_NONCEBYTES;
    if (crypto_secretbox_open_easy(secret.data(), cipher,
                                   sealed.size() - crypto_secretbox_NONCEBYTES, sealed.data(),
                                   key.data())
        != 0) {
        return std::nullopt;
    }
    return secret;
}

leaf::error_id fail(token_error::problem reason)
{
    return leaf::new_error(token_error{reason});
}

} // namespace

token_keys::token_keys(const peer_key &sealingKey, milliseconds activationDelay)
    : m_sealingKey(sealingKey)
    , m_activationDelay(activationDelay)
{
}

std::size_t token_keys::update(const table &current)
{
    std::size_t undecryptedCount = 0;
    std::map<std::uint32_t, decrypted_key> keys;
    for (const key_entry &entry : current.keys()) {
        const auto secret = decryptSealedKey(m_sealingKey, entry.secret);
        if (secret) {
            keys[entry.id] = decrypted_key{entry.createdAt, *secret};
        } else {
            ++undecryptedCount;
        }
    }
    m_keys = std::move(keys);
    return undecryptedCount;
}

flow_token_bytes token_keys::mint(const flow_token &token, wall_time now) const
{
    assert(!m_keys.empty());
    auto chosen = m_keys.begin();
    for (auto key = m_keys.begin(); key != m_keys.end(); ++key) {
        if (now - key->second.createdAt >= m_activationDelay) {
            chosen = key;
        }
    }
    token_layout layout;
    layout.version = tokenVersion;
    layout.keyId = chosen->first;
    layout.serviceId = token.serviceId;
    layout.upstreamId = token.upstreamId;
    layout.gateIncarnation = token.gateIncarnation;
    layout.issuedAtSeconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(token.issuedAt.time_since_epoch())
            .count());
    layout.nonce = token.nonce;
    layout.callerHash = token.callerHash;
    flow_token_bytes bytes{};
    const auto *body = reinterpret_cast<const std::uint8_t *>(&layout);
    std::copy_n(body, bodyBytes, bytes.begin());
    computeMac(chosen->second.secret, bytes.data(), bytes.data() + bodyBytes);
    return bytes;
}

leaf::result<flow_token> token_keys::verify(byte_view bytes) const
{
    if (bytes.size() != flowTokenBytes) {
        return fail(token_error::problem::size);
    }
    token_layout layout;
    std::copy_n(bytes.data(), bodyBytes, reinterpret_cast<std::uint8_t *>(&layout));
    if (layout.version.value() != tokenVersion) {
        return fail(token_error::problem::version);
    }
    const auto key = m_keys.find(layout.keyId.value());
    if (key == m_keys.end()) {
        return fail(token_error::problem::unknownKey);
    }
    std::array<std::uint8_t, peerMacBytes> expected{};
    computeMac(key->second.secret, bytes.data(), expected.data());
    if (sodium_memcmp(expected.data(), bytes.data() + bodyBytes, peerMacBytes) != 0) {
        return fail(token_error::problem::forged);
    }
    flow_token token;
    token.serviceId = layout.serviceId.value();
    token.upstreamId = layout.upstreamId.value();
    token.gateIncarnation = layout.gateIncarnation.value();
    token.issuedAt = wall_time(std::chrono::seconds(layout.issuedAtSeconds.value()));
    token.nonce = layout.nonce.value();
    token.callerHash = layout.callerHash.value();
    return token;
}

std::string makeSealedKey(const peer_key &sealingKey)
{
    std::array<std::uint8_t, sealedBytes> sealed{};
    peer_key secret{};
    randombytes_buf(secret.data(), secret.size());
    randombytes_buf(sealed.data(), crypto_secretbox_NONCEBYTES);
    const auto key = deriveBoxKey(sealingKey);
    crypto_secretbox_easy(sealed.data() + crypto_secretbox_NONCEBYTES, secret.data(), secret.size(),
                          sealed.data(), key.data());
    std::string hex(sealed.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), sealed.data(), sealed.size());
    hex.pop_back();
    return hex;
}

std::optional<peer_key> parsePeerKey(std::string_view text)
{
    peer_key key{};
    std::size_t size = 0;
    if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &size, nullptr)
            != 0
        || size != key.size() || text.size() != key.size() * 2) {
        return std::nullopt;
    }
    return key;
}

} // namespace figstair
