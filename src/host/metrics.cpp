#include "figstair/host/metrics.h"

#include <numeric>
#include <sstream>

#include <boost/histogram/indexed.hpp>

namespace figstair {
namespace {

constexpr unsigned timeBinCount = 16;
constexpr double minTimeMs = 0.5;
constexpr double maxTimeMs = 65536.0;

/// Returns 0 to @p count - 1.
std::vector<int> categoryIndexes(std::size_t count)
{
    std::vector<int> indexes(count);
    std::iota(indexes.begin(), indexes.end(), 0);
    return indexes;
}

} // namespace

metric_store::metric_store(std::vector<std::string> counterNames,
                           std::vector<std::string> distributionNames)
    : m_counterNames(std::move(counterNames))
    , m_distributionNames(std::move(distributionNames))
    , m_counters(
          boost::histogram::make_histogram(counter_axis(categoryIndexes(m_counterNames.size()))))
    , m_sums(m_distributionNames.size())
{
    for (std::size_t index = 0; index < m_distributionNames.size(); ++index) {
        m_timeHistograms.push_back(
            boost::histogram::make_histogram(time_axis(timeBinCount, minTimeMs, maxTimeMs)));
    }
}

void metric_store::count(std::size_t which, std::uint64_t amount)
{
    m_counters(static_cast<int>(which), boost::histogram::weight(amount));
}

void metric_store::observe(std::size_t which, milliseconds value)
{
    m_timeHistograms[which](static_cast<double>(value.count()));
    m_sums[which] += static_cast<double>(value.count());
}

std::uint64_t metric_store::value(std::size_t which) const
{
    return static_cast<std::uint64_t>(double(m_counters.at(static_cast<int>(which))));
}

std::string metric_store::toPrometheus() const
{
    std::ostringstream text;
    for (std::size_t index = 0; index < m_counterNames.size(); ++index) {
        const std::string name = "figstair_" + m_counterNames[index] + "_total";
        text << "# TYPE " << name << " counter\n" << name << " " << value(index) << "\n";
    }
    for (std::size_t index = 0; index < m_timeHistograms.size(); ++index) {
        const std::string name = "figstair_" + m_distributionNames[index];
        text << "# TYPE " << name << " histogram\n";
        double cumulativeCount = 0;
        const auto &times = m_timeHistograms[index];
        for (const auto &bin : boost::histogram::indexed(times, boost::histogram::coverage::all)) {
            cumulativeCount += *bin;
            const double upper = bin.bin().upper();
            text << name << "_bucket{le=\"";
            if (upper > maxTimeMs) {
                text << "+Inf";
            } else {
                text << upper;
            }
            text << "\"} " << cumulativeCount << "\n";
        }
        text << name << "_sum " << m_sums[index] << "\n"
             << name << "_count " << cumulativeCount << "\n";
    }
    return text.str();
}

} // namespace figstair
