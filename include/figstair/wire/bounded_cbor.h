#pragma once

#include <nlohmann/json_fwd.hpp>

#include "figstair/wire/datagram.h"

namespace figstair {

/// Maximum number of arrays and maps around a value in messages between hosts.
constexpr std::size_t maxCborDepth = 32;

/// Decodes one CBOR value. The decoder recurses for each level, so deeper input could exhaust the
/// stack; it is refused. Throws nlohmann::json::exception if @p bytes are not one value of at most
/// maxCborDepth levels.
nlohmann::json parseCbor(byte_view bytes);

} // namespace figstair
