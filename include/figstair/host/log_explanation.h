#pragma once

#include <string>

#include "figstair/host/log_reader.h"

namespace figstair {

/// What the decision of a host in @p line means and why it was made, in a sentence for operators;
/// empty for lines that need none.
std::string explanationOf(const log_line &line);

} // namespace figstair
