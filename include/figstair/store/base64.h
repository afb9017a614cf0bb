#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace figstair {

/// Encodes @p bytes in the standard alphabet with padding.
std::string toBase64(std::string_view bytes);

/// Returns nothing when @p text is not base64.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace figstair
