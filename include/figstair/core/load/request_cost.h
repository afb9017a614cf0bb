#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "figstair/core/clock_source.h"
#include "figstair/core/flow/flow_packet.h"
#include "figstair/core/flow/part_mode.h"

namespace figstair {

/// Address and port of a route.
using route_key = std::uint64_t;

/// Requests whose work is estimated together: those of one route to one service. Valid until the
/// route is replaced by another one, after which it names that one.
struct work_class
{
    static constexpr std::uint8_t none = 255;

    std::uint8_t route = none; ///< none: the mean of the service is used
    std::uint8_t service = none; ///< none: nothing is known
};

/// A change of whether placement by work acts for a service.
struct placement_change
{
    std::string_view service; ///< valid until the next call
    bool isActing = false;
    /// "work_varies", "routes_differ" or "setting" if it acts, otherwise "equal_work" or "setting".
    std::string_view reason;
    /// Of "routes_differ" the ratio of the mean works of two routes, otherwise the variance of the
    /// work over its squared mean.
    double spread = 0;
};

class work_distribution;

/// Estimates the work of requests by route and service, from the answer times that this host
/// observes, and decides for which services the work differs enough to place flows by it.
///
/// Load patterns:
/// - a few requests take far longer than the others of their route: the longer a request has been
///   in progress, the more of its work is expected to remain;
/// - routes of one service whose requests need very different work: the number of open requests
///   does not show how long an upstream is busy;
/// - equal work: the number of open requests is the better measure, because it has no noise. The
///   part does not act.
class request_cost
{
public:
    explicit request_cost(part_mode mode);
    ~request_cost();
    request_cost(const request_cost &) = delete;
    request_cost &operator=(const request_cost &) = delete;

    void setMode(part_mode mode) { m_mode = mode; }

    /// Records an answer to a request that found a free slot. @p workMs: its time without the
    /// network. Returns whether placement by work has started or stopped acting for the service.
    std::optional<placement_change> onAnswer(route_key route, const std::string &service,
                                             double workMs, monotonic_time now);

    /// No upstream of the service had room for a flow. Requests wait at upstreams then, for a time
    /// that this host cannot tell from work, so answers within the next 3 s are not recorded.
    void onSaturated(work_class requests, monotonic_time now);

    /// The class of requests on @p route to @p service. Bounded numbers of routes and services are
    /// kept; a route that has not been used for a minute is replaced.
    work_class classOf(route_key route, const std::string &service, monotonic_time now);

    /// Expected work of a request in milliseconds; of a route without enough answers, the mean of
    /// the service; 0 without any answer.
    double expected(work_class requests) const;
    double expected(route_key route, const std::string &service) const;

    /// Expected remaining work of a request after @p workedMs of work; at most 8 times the mean.
    double rest(work_class requests, double workedMs) const;
    double rest(route_key route, const std::string &service, milliseconds age) const;

    /// Mean work of the service that @p requests belong to.
    double serviceMean(work_class requests) const;

    /// Whether the work of the requests to @p service differs at random or by route.
    bool varies(const std::string &service) const;

    /// Whether flows of the service that @p requests belong to are placed by work.
    bool actsOn(work_class requests) const;

    std::size_t routeCount() const { return m_routes.size(); }

private:
    struct route_entry
    {
        std::uint64_t key = 0; ///< of m_routeIndexes
        std::uint8_t service = 0;
        monotonic_time usedAt{};
        std::unique_ptr<work_distribution> work;
    };
    struct service_entry
    {
        std::string name;
        std::unique_ptr<work_distribution> work;
        bool varies = false;
        bool isActing = false;
        std::string_view reason;
        double spread = 0;
        monotonic_time judgedAt{};
        monotonic_time saturatedUntil{};
    };

    work_class find(route_key route, const std::string &service) const;
    const work_distribution *distributionOf(work_class requests) const;
    std::uint8_t serviceIndexOf(const std::string &service);
    std::uint8_t routeIndexOf(std::uint64_t key, std::uint8_t service, monotonic_time now);
    double routeRatio(std::uint8_t service) const;
    void judge(std::uint8_t service);

    part_mode m_mode;
    std::vector<route_entry> m_routes;
    std::vector<service_entry> m_services;
    boost::unordered_flat_map<std::uint64_t, std::uint8_t> m_routeIndexes;
    boost::unordered_flat_map<std::string, std::uint8_t> m_serviceIndexes;
    monotonic_time m_nextReplacement{};
};

} // namespace figstair
