#pragma once

#include "figstair/core/clock_source.h"

namespace figstair {

/// Reads the machine's steady and system clocks.
class system_clock_source : public clock_source
{
public:
    monotonic_time monotonic() const override
    {
        return std::chrono::time_point_cast<milliseconds>(std::chrono::steady_clock::now());
    }
    wall_time wall() const override
    {
        return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace figstair
