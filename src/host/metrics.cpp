#include "figstair/host/metrics.h"

#include <numeric>
#include <sstream>

#include <boost/histogram/indexed.hpp>

namespace figstair {
namespace {

constexpr unsigned timeBins = 16;
constexpr double leastTimeMs = 0.5;
constexpr double greatestTimeMs = 65536.0;

std::vector<int> counterNumbers()
{
    std::vector<int> numbers(static_cast<std::size_t>(counter::count));
    std::iota(numbers.begin(), numbers.end(), 0);
    return numbers;
}

} // namespace

metrics::metrics()
    : m_counters(boost::histogram::make_histogram(counter_axis(counterNumbers())))
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(distribution::count); ++index) {
        m_times.push_back(
            boost::histogram::make_histogram(time_axis(timeBins, leastTimeMs, greatestTimeMs)));
    }
}

void metrics::count(counter which, std::uint64_t amount)
{
    m_counters(static_cast<int>(which), boost::histogram::weight(amount));
}

void metrics::observe(distribution which, milliseconds value)
{
    const auto index = static_cast<std::size_t>(which);
    m_times[index](static_cast<double>(value.count()));
    m_sums[index] += static_cast<double>(value.count());
}

std::uint64_t metrics::value(counter which) const
{
    return static_cast<std::uint64_t>(double(m_counters.at(static_cast<int>(which))));
}

std::string metrics::toPrometheus() const
{
    std::ostringstream text;
    for (std::size_t index = 0; index < static_cast<std::size_t>(counter::count); ++index) {
        const auto which = static_cast<counter>(index);
        const std::string name = "figstair_" + std::string(toText(which)) + "_total";
        text << "# TYPE " << name << " counter\n" << name << " " << value(which) << "\n";
    }
    for (std::size_t index = 0; index < m_times.size(); ++index) {
        const std::string name =
            "figstair_" + std::string(toText(static_cast<distribution>(index)));
        text << "# TYPE " << name << " histogram\n";
        double seen = 0;
        const auto &times = m_times[index];
        for (const auto &bin : boost::histogram::indexed(times, boost::histogram::coverage::all)) {
            seen += *bin;
            const double upper = bin.bin().upper();
            text << name << "_bucket{le=\"";
            if (upper > greatestTimeMs) {
                text << "+Inf";
            } else {
                text << upper;
            }
            text << "\"} " << seen << "\n";
        }
        text << name << "_sum " << m_sums[index] << "\n" << name << "_count " << seen << "\n";
    }
    return text.str();
}

} // namespace figstair
