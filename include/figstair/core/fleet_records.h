#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/endpoint.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// A service and its share of a route's new flows.
struct weighted_service
{
    std::string service;
    unsigned weight = 1;

    bool operator==(const weighted_service &other) const
    {
        return service == other.service && weight == other.weight;
    }
};

/// An address that callers use, and where its new flows go.
struct route
{
    std::string name;
    std::uint32_t address = 0; ///< IPv4, host order
    std::uint16_t port = 0;
    std::vector<weighted_service> services;
    milliseconds timeout{0}; ///< longest time that a request may take; 0 when not stated
    milliseconds latencyTarget{
        0}; ///< time within which a request should be answered; 0 when not stated
    unsigned priority = 0; ///< 0 is served first

    bool operator==(const route &other) const
    {
        return name == other.name && address == other.address && port == other.port
            && services == other.services && timeout == other.timeout
            && latencyTarget == other.latencyTarget && priority == other.priority;
    }
};

/// What holds for all upstreams of one service.
struct service_limits
{
    std::string name;
    unsigned maxFlows = 0; ///< flows that one upstream holds; 0 when not stated
    milliseconds warmup{0}; ///< how long an upstream is cold after its start
    double coldRequestsPerSecond = 0; ///< what a cold upstream bears
};

/// One accepted configuration, whole.
struct route_config
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_limits> services;
    milliseconds idleTimeout{0}; ///< flows idle for longer may be forgotten; 0 when not stated
};

/// What an upstream says of itself.
struct upstream_record
{
    std::uint64_t id = 0;
    endpoint address;
    std::string service;
    std::string zone;
    unsigned slots = 1; ///< requests worked on at the same time
    bool isDraining = false;
    milliseconds coldFor{0}; ///< remaining time for which it is cold, when it was written
    std::int64_t startedAtMs = 0; ///< start of this life of the id, Unix milliseconds
};

/// A host of figstair that announces itself.
struct host_record
{
    std::string name;
    std::string zone;
    endpoint peerAddress;
    std::uint64_t incarnation = 0;
    unsigned cpuMillicores = 0; ///< thousandths of a processor core that it may use; 0: not stated
};

/// The key that hosts authenticate their messages with.
struct shared_key
{
    peer_key key{};
};

/// The request that no new flows go to a zone's upstreams.
struct zone_evacuation
{
};

/// What changed from one configuration to the next.
struct config_patch
{
    std::uint64_t baseVersion = 0; ///< version that the patch applies to
    route_config changed; ///< the new version: added or changed routes, all services and limits
    std::vector<std::string> removedRoutes; ///< names
};

enum class record_kind : std::uint8_t { config, upstream, evacuation, host, key };

/// One record of the store as it changed.
struct record_change
{
    /// An entry that cannot be read, or names nothing that can be used.
    struct unreadable
    {
        std::string problem;
    };
    struct removed
    {
    };

    record_kind kind = record_kind::config;
    std::string name; ///< the zone or the host; empty for others
    std::uint64_t upstreamId = 0; ///< for upstreams
    std::uint64_t revision = 0; ///< the store's revision of this change
    std::variant<removed, unreadable, route_config, upstream_record, zone_evacuation, host_record,
                 shared_key, config_patch>
        content;
};

} // namespace figstair
