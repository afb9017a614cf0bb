#pragma once

#include <string>
#include <vector>

#include "figstair/host/log_reader.h"

namespace figstair {

/// Reads log files, or standard input when @p names is empty, into @p contents. Reports lines that
/// cannot be parsed on standard error. Returns false when a file cannot be opened.
bool readLogs(const std::vector<std::string> &names, log_contents &contents);

} // namespace figstair
