#pragma once

#include "figstair/core/clock_source.h"

/// A clock that advances only when told to.
class fake_clock : public figstair::clock_source
{
public:
    figstair::monotonic_time monotonic() const override { return m_now; }
    figstair::wall_time wall() const override
    {
        return figstair::wall_time(figstair::milliseconds(1700000000000))
            + (m_now - figstair::monotonic_time());
    }
    void advance(figstair::milliseconds step) { m_now += step; }

private:
    figstair::monotonic_time m_now{figstair::milliseconds(1000)};
};
