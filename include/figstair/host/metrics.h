#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "figstair/core/host_output.h"

namespace figstair {

/// Counts and distributions of one host.
class metrics
{
public:
    metrics();

    void count(counter which, std::uint64_t amount);
    void observe(distribution which, milliseconds value);

    std::uint64_t value(counter which) const;

    /// Text in the format that Prometheus reads.
    std::string toPrometheus() const;

private:
    using counter_axis = boost::histogram::axis::category<int>;
    using time_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using counter_histogram = decltype(boost::histogram::make_histogram(counter_axis({0})));
    using time_histogram = decltype(boost::histogram::make_histogram(time_axis(1, 1.0, 2.0)));

    counter_histogram m_counters;
    std::vector<time_histogram> m_times;
    std::array<double, static_cast<std::size_t>(distribution::count)> m_sums{};
};

} // namespace figstair
