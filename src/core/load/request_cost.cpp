#include "figstair/core/load/request_cost.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace figstair {
namespace {

constexpr std::size_t maxRoutes = 64; ///< pairs of a route and a service
constexpr std::size_t maxServices = 64;

/// Time after which a route without requests may be replaced, and the interval between searches for
/// one.
constexpr milliseconds routeLifetime{60000};
constexpr milliseconds replacementInterval{1000};

/// Bins of the histograms: each 1.28 times as wide as the one before. Shorter work counts as 1 ms,
/// longer work as a minute.
constexpr unsigned binCount = 44;
constexpr double minWorkMs = 1.0;
constexpr double maxWorkMs = 60000.0;

/// All samples are halved when they reach this sum. A share of 3% of heavy requests is then seen by
/// 15 to 30 samples.
constexpr double maxWeight = 1024.0;

/// Interval between updates of the tables that follow from a histogram.
constexpr milliseconds updateInterval{100};

/// Time after a flow found no room in which answers are not recorded; longer than requests wait in
/// the queues of upstreams.
constexpr milliseconds saturationTime{3000};

/// Remaining work of one request, in multiples of the mean. A few stuck requests must not make an
/// upstream look busy for minutes.
constexpr double maxRestOverMean = 8.0;

/// Answers needed before a service is judged, and before a route's own estimate is used.
constexpr unsigned minServiceSamples = 50;
constexpr unsigned minRouteSamples = 16;

/// Variance of the work over its squared mean at which it counts as varying, and at which it no
/// longer does. Work spread evenly between 50% and 150% of its mean has 0.08, exponentially
/// distributed work 1. The gap avoids starting and stopping by chance.
constexpr double variesFrom = 0.5;
constexpr double variesUntil = 0.35;

/// The same for the ratio of the mean works of two routes.
constexpr double routesDifferFrom = 2.0;
constexpr double routesDifferUntil = 1.6;

/// When the variance is judged, this many of the highest samples are left out, and others count as
/// at most this multiple of the median. Single answers that were delayed for another reason would
/// otherwise count as varying work.
constexpr double trimmedWeight = 2.0;
constexpr double maxJudgedOverMedian = 10.0;

} // namespace

/// Decayed histogram of the work of requests.
class work_distribution
{
public:
    void add(double workMs, monotonic_time now)
    {
        // In this order, NaN counts as the least.
        const double counted = std::min(std::max(minWorkMs, workMs), maxWorkMs);
        m_histogram(counted);
        m_weight += 1;
        m_sum += counted;
        m_samples += m_samples < minServiceSamples ? 1 : 0;
        if (m_weight >= maxWeight) {
            m_histogram *= 0.5;
            m_weight *= 0.5;
            m_sum *= 0.5;
        }
        if (m_samples == 1 || now - m_updatedAt >= updateInterval) {
            m_updatedAt = now;
            updateRest();
        }
    }

    unsigned samples() const { return m_samples; } ///< up to minServiceSamples
    double mean() const { return m_weight == 0 ? 0 : m_sum / m_weight; }

    /// Mean residual time. A prior of one exponentially distributed sample gives a value for ages
    /// that no sample has reached.
    double rest(double workedMs) const
    {
        if (workedMs <= minWorkMs) {
            return mean();
        }
        const double bin = std::log2(static_cast<float>(workedMs)) * m_binsPerOctave;
        return m_rest[std::min<std::size_t>(static_cast<std::size_t>(bin), binCount)];
    }

    /// Variance over squared mean, without the highest samples, less its standard error. A few
    /// delayed answers among few samples would otherwise count as varying work.
    double squaredVariation() const
    {
        const double limit = maxJudgedOverMedian * median();
        std::array<double, binCount + 1> weights{};
        std::array<double, binCount + 1> values{};
        double trimmed = trimmedWeight;
        double weight = 0;
        double sum = 0;
        for (std::size_t bin = weights.size(); bin-- > 0;) {
            const double inBin = m_histogram.at(int(bin));
            weights[bin] = std::max(0.0, inBin - trimmed);
            trimmed -= inBin - weights[bin];
            values[bin] = std::min(limit, centre(int(bin)));
            weight += weights[bin];
            sum += weights[bin] * values[bin];
        }
        if (weight == 0) {
            return 0;
        }
        const double mean = sum / weight;
        double squares = 0;
        double fourths = 0;
        for (std::size_t bin = 0; bin < weights.size(); ++bin) {
            const double square = (values[bin] - mean) * (values[bin] - mean);
            squares += weights[bin] * square;
            fourths += weights[bin] * square * square;
        }
        const double variance = squares / weight;
        const double standardError =
            std::sqrt(std::max(0.0, fourths / weight - variance * variance) / weight);
        return std::max(0.0, (variance - standardError) / (mean * mean));
    }

private:
    using work_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using work_histogram = decltype(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<double>(), work_axis(1, 1.0, 2.0)));

    double lower(int bin) const { return m_histogram.axis().value(bin); }
    double centre(int bin) const
    {
        return bin == int(binCount) ? maxWorkMs : (lower(bin) + lower(bin + 1)) / 2;
    }

    double median() const
    {
        double below = 0;
        int bin = 0;
        for (; bin < int(binCount); ++bin) {
            below += m_histogram.at(bin);
            if (2 * below >= m_weight) {
                break;
            }
        }
        return centre(bin);
    }

    void updateRest()
    {
        double weight = 1;
        double sum = 0;
        for (int bin = binCount; bin >= 0; --bin) {
            const double inBin = m_histogram.at(bin);
            weight += inBin;
            sum += inBin * centre(bin);
            const double rest = (mean() + sum - (weight - 1) * lower(bin)) / weight;
            m_rest.at(static_cast<std::size_t>(bin)) =
                static_cast<float>(std::min(rest, maxRestOverMean * mean()));
        }
    }

    const double m_binsPerOctave = binCount / std::log2(maxWorkMs / minWorkMs);
    work_histogram m_histogram = boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<double>(), work_axis(binCount, minWorkMs, maxWorkMs));
    double m_weight = 0;
    double m_sum = 0;
    unsigned m_samples = 0;
    monotonic_time m_updatedAt{};
    std::array<float, binCount + 1> m_rest{}; ///< from the lower bound of each bin
};

request_cost::request_cost(part_mode mode)
    : m_mode(mode)
{
    // work_class holds 8-bit indexes, of which one means none.
    static_assert(maxRoutes < work_class::none && maxServices < work_class::none);
}

request_cost::~request_cost() = default;

std::uint8_t request_cost::serviceIndexOf(const std::string &service)
{
    const auto found = m_serviceIndexes.find(service);
    if (found != m_serviceIndexes.end()) {
        return found->second;
    }
    if (m_services.size() >= maxServices) {
        return work_class::none;
    }
    const auto index = static_cast<std::uint8_t>(m_services.size());
    m_services.emplace_back();
    m_services.back().name = service;
    m_services.back().work = std::make_unique<work_distribution>();
    m_serviceIndexes.emplace(service, index);
    return index;
}

std::uint8_t request_cost::routeIndexOf(std::uint64_t key, std::uint8_t service, monotonic_time now)
{
    const auto found = m_routeIndexes.find(key);
    if (found != m_routeIndexes.end()) {
        m_routes[found->second].usedAt = now;
        return found->second;
    }
    auto index = static_cast<std::uint8_t>(m_routes.size());
    if (m_routes.size() < maxRoutes) {
        m_routes.emplace_back();
    } else {
        if (now < m_nextReplacement) {
            return work_class::none;
        }
        m_nextReplacement = now + replacementInterval;
        const auto oldest = std::min_element(
            m_routes.begin(), m_routes.end(),
            [](const route_entry &a, const route_entry &b) { return a.usedAt < b.usedAt; });
        if (now - oldest->usedAt < routeLifetime) {
            return work_class::none;
        }
        index = static_cast<std::uint8_t>(oldest - m_routes.begin());
        m_routeIndexes.erase(oldest->key);
    }
    m_routes[index] = route_entry{key, service, now, std::make_unique<work_distribution>()};
    m_routeIndexes.emplace(key, index);
    return index;
}

work_class request_cost::classOf(route_key route, const std::string &service, monotonic_time now)
{
    work_class result;
    result.service = serviceIndexOf(service);
    if (result.service != work_class::none) {
        // A route key has 48 bits.
        result.route = routeIndexOf(route << 8U | result.service, result.service, now);
    }
    return result;
}

work_class request_cost::find(route_key route, const std::string &service) const
{
    work_class result;
    const auto ofService = m_serviceIndexes.find(service);
    if (ofService != m_serviceIndexes.end()) {
        result.service = ofService->second;
        const auto ofRoute = m_routeIndexes.find(route << 8U | result.service);
        result.route = ofRoute == m_routeIndexes.end() ? work_class::none : ofRoute->second;
    }
    return result;
}

const work_distribution *request_cost::distributionOf(work_class requests) const
{
    if (requests.route != work_class::none
        && m_routes[requests.route].work->samples() >= minRouteSamples) {
        return m_routes[requests.route].work.get();
    }
    return requests.service == work_class::none ? nullptr : m_services[requests.service].work.get();
}

double request_cost::expected(work_class requests) const
{
    const work_distribution *work = distributionOf(requests);
    return work == nullptr ? 0 : work->mean();
}

double request_cost::rest(work_class requests, double workedMs) const
{
    const work_distribution *work = distributionOf(requests);
    return work == nullptr ? 0 : work->rest(workedMs);
}

double request_cost::serviceMean(work_class requests) const
{
    return requests.service == work_class::none ? 0 : m_services[requests.service].work->mean();
}

double request_cost::expected(route_key route, const std::string &service) const
{
    return expected(find(route, service));
}

double request_cost::rest(route_key route, const std::string &service, milliseconds age) const
{
    return rest(find(route, service), double(age.count()));
}

bool request_cost::varies(const std::string &service) const
{
    const work_class found = find(0, service);
    return found.service != work_class::none && m_services[found.service].varies;
}

bool request_cost::actsOn(work_class requests) const
{
    return m_mode != part_mode::off && requests.service != work_class::none
        && m_services[requests.service].isActing;
}

void request_cost::onSaturated(work_class requests, monotonic_time now)
{
    if (requests.service != work_class::none) {
        m_services[requests.service].saturatedUntil = now + saturationTime;
    }
}

double request_cost::routeRatio(std::uint8_t service) const
{
    double least = 0;
    double most = 0;
    for (const route_entry &route : m_routes) {
        if (route.service != service || route.work->samples() < minRouteSamples) {
            continue;
        }
        const double mean = route.work->mean();
        least = most == 0 ? mean : std::min(least, mean);
        most = std::max(most, mean);
    }
    return most == 0 ? 1 : most / least;
}

void request_cost::judge(std::uint8_t index)
{
    service_entry &service = m_services[index];
    const double variation = service.work->squaredVariation();
    const double ratio = routeRatio(index);
    const bool isRandom = variation >= (service.varies ? variesUntil : variesFrom);
    const bool isByRoute = ratio >= (service.varies ? routesDifferUntil : routesDifferFrom);
    service.varies = isRandom || isByRoute;
    service.reason = isByRoute ? "routes_differ" : isRandom ? "work_varies" : "equal_work";
    service.spread = isByRoute ? ratio : variation;
}

std::optional<placement_change> request_cost::onAnswer(route_key route, const std::string &service,
                                                       double workMs, monotonic_time now)
{
    const work_class requests = classOf(route, service, now);
    if (requests.service == work_class::none || now < m_services[requests.service].saturatedUntil) {
        return std::nullopt;
    }
    if (requests.route != work_class::none) {
        m_routes[requests.route].work->add(workMs, now);
    }
    service_entry &entry = m_services[requests.service];
    entry.work->add(workMs, now);
    if (entry.work->samples() < minServiceSamples || now - entry.judgedAt < updateInterval) {
        return std::nullopt;
    }
    entry.judgedAt = now;
    judge(requests.service);
    const bool isActing =
        m_mode == part_mode::on || (m_mode == part_mode::automatic && entry.varies);
    if (isActing == entry.isActing) {
        return std::nullopt;
    }
    entry.isActing = isActing;
    return placement_change{
        entry.name, isActing,
        m_mode == part_mode::automatic ? entry.reason : std::string_view("setting"), entry.spread};
}

} // namespace figstair
