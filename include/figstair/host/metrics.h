#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "figstair/core/flow/entry_output.h"
#include "figstair/core/gate/host_output.h"

namespace figstair {

/// Counters and histograms addressed by index; the names are used in the exported text.
class metric_store
{
public:
    metric_store(std::vector<std::string> counterNames, std::vector<std::string> distributionNames);

    void count(std::size_t which, std::uint64_t amount);
    void observe(std::size_t which, milliseconds value); ///< adds @p value to a histogram
    std::uint64_t value(std::size_t which) const;

    /// Formats all metrics in the Prometheus text exposition format.
    std::string toPrometheus() const;

private:
    using counter_axis = boost::histogram::axis::category<int>;
    using time_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using counter_histogram = decltype(boost::histogram::make_histogram(counter_axis({0})));
    using time_histogram = decltype(boost::histogram::make_histogram(time_axis(1, 1.0, 2.0)));

    std::vector<std::string> m_counterNames;
    std::vector<std::string> m_distributionNames;
    counter_histogram m_counters;
    std::vector<time_histogram> m_timeHistograms;
    std::vector<double> m_sums;
};

/// Returns the names of all values of an enumeration whose last enumerator is "count".
template <typename enumeration> std::vector<std::string> namesOf()
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < static_cast<std::size_t>(enumeration::count); ++index) {
        names.emplace_back(toText(static_cast<enumeration>(index)));
    }
    return names;
}

/// Counters and histograms addressed by enumerators.
template <typename counter_type, typename distribution_type> class typed_metrics
{
public:
    void count(counter_type which, std::uint64_t amount)
    {
        m_store.count(static_cast<std::size_t>(which), amount);
    }
    void observe(distribution_type which, milliseconds value)
    {
        m_store.observe(static_cast<std::size_t>(which), value);
    }
    std::uint64_t value(counter_type which) const
    {
        return m_store.value(static_cast<std::size_t>(which));
    }
    std::string toPrometheus() const { return m_store.toPrometheus(); }

private:
    metric_store m_store{namesOf<counter_type>(), namesOf<distribution_type>()};
};

using metrics = typed_metrics<counter, distribution>;
using entry_metrics = typed_metrics<entry_counter, entry_distribution>;

} // namespace figstair
