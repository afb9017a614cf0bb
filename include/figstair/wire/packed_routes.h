#pragma once

#include <optional>
#include <vector>

#include <boost/core/span.hpp>

#include "figstair/core/view/fleet_records.h"

namespace figstair {

/// Encodes @p routes as one byte string, which takes a fraction of the time of CBOR items to read.
/// Returns std::nullopt if a route has a text of more than 65,535 bytes or more than 255 services.
std::optional<byte_buffer> packRoutes(boost::span<const route> routes);

/// Decodes the output of packRoutes(). Returns std::nullopt if @p bytes are malformed.
std::optional<std::vector<route>> unpackRoutes(byte_view bytes);

} // namespace figstair
