#pragma once

#include <chrono>

namespace figstair {

using milliseconds = std::chrono::milliseconds;
using monotonic_time = std::chrono::time_point<std::chrono::steady_clock, milliseconds>;
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Source of time for all decisions. Tests and replay use their own implementations.
class clock_source
{
public:
    virtual ~clock_source() = default;

    /// Time that never goes backwards; used for intervals inside one process.
    virtual monotonic_time monotonic() const = 0;

    /// Time comparable between hosts; used for the ages of tokens, keys and order records and for
    /// timestamps.
    virtual wall_time wall() const = 0;
};

} // namespace figstair
