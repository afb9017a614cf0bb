#pragma once

#include <nlohmann/json_fwd.hpp>

#include "figstair/wire/datagram.h"

namespace figstair {

/// Maximum number of arrays and maps around a value in messages between hosts.
constexpr std::size_t maxCborDepth = 32;

/// Decodes one CBOR value. The decoder recurses for each array and map, and for each part of a
/// string of indefinite length, so deep input could exhaust the stack. Input that is nested too
/// deeply, and tags and indefinite lengths, which no host sends, are refused before. Throws
/// nlohmann::json::exception if @p bytes are not one value within these limits.
nlohmann::json parseCbor(byte_view bytes);

} // namespace figstair
