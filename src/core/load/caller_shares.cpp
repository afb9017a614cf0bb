#include "figstair/core/load/caller_shares.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace figstair {
namespace {

/// Time over which the flows of a caller are averaged.
constexpr milliseconds rateMeanTime{1000};
constexpr milliseconds minRateTime{500};

/// Rates below this belong to callers that have not asked for seconds; they are forgotten.
constexpr double minRatePerSecond = 0.05;

/// Number of callers whose rates are kept; further ones count as asking for little.
constexpr std::size_t maxCallers = 4096;

/// Interval at which the fair rate is recomputed.
constexpr milliseconds updateInterval{200};

/// Multiple of the allowed rate up to which flows are admitted: rates measured over a second vary.
constexpr double tolerance = 2.0;

} // namespace

void caller_shares::onArrival(std::uint32_t caller, monotonic_time now)
{
    const auto found = m_rates.find(caller);
    if (found != m_rates.end()) {
        found->second.add(now);
    } else if (m_rates.size() < maxCallers) {
        m_rates.emplace(caller, event_rate(rateMeanTime, minRateTime)).first->second.add(now);
    }
}

/// The fair rate r is the one for which the sum of min(rate, r) over all callers is the capacity.
/// If all ask for more than that, nobody is treated worse than the others.
void caller_shares::update(double flowsPerSecond, monotonic_time now)
{
    std::vector<double> rates;
    rates.reserve(m_rates.size());
    for (auto item = m_rates.begin(); item != m_rates.end();) {
        const double rate = item->second.perSecond(now);
        const bool isForgotten = rate < minRatePerSecond && !item->second.isNew(now);
        if (!isForgotten) {
            rates.push_back(rate);
        }
        item = isForgotten ? m_rates.erase(item) : std::next(item);
    }
    const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
    const double meanRate = sum / std::max(1.0, double(rates.size()));
    std::sort(rates.begin(), rates.end());
    double rest = flowsPerSecond;
    double fairRate = std::max(rest, sum);
    for (std::size_t index = 0; index < rates.size(); ++index) {
        const double equalPart = rest / double(rates.size() - index);
        if (rates[index] > equalPart) {
            fairRate = equalPart;
            break;
        }
        rest -= rates[index];
    }
    m_allowedRate = std::max(fairRate, meanRate) * tolerance;
}

double caller_shares::admissionProbability(std::uint32_t caller, double flowsPerSecond,
                                           monotonic_time now)
{
    if (m_updatedAt == monotonic_time{} || now - m_updatedAt >= updateInterval) {
        m_updatedAt = now;
        update(flowsPerSecond, now);
    }
    const auto found = m_rates.find(caller);
    const double rate = found == m_rates.end() ? 0 : found->second.perSecond(now);
    return rate <= m_allowedRate ? 1.0 : m_allowedRate / rate;
}

} // namespace figstair
