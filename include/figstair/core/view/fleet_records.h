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

/// A virtual address that callers connect to, and the services that share its new flows.
struct route
{
    std::string name;
    std::uint32_t address = 0; ///< IPv4, host order
    std::uint16_t port = 0;
    std::vector<weighted_service> services;
    /// Longest time that a request may take; 0: not stated. Relayed to other hosts, not enforced.
    milliseconds timeout{0};
    milliseconds latencyTarget{0}; ///< target time to answer a request; 0: not stated
    /// Order in which held flows are placed; 0 is first. Must be below 1000: entry_core adds 1000
    /// for flows whose SYN was retransmitted.
    unsigned priority = 0;

    bool operator==(const route &other) const
    {
        return name == other.name && address == other.address && port == other.port
            && services == other.services && timeout == other.timeout
            && latencyTarget == other.latencyTarget && priority == other.priority;
    }
};

/// Limits that apply to each upstream of one service.
struct service_limits
{
    std::string name;
    /// Concurrent flows of one upstream; 0: not stated. Relayed to other hosts, not enforced.
    unsigned maxFlows = 0;
    /// How long an upstream is cold after its start. Relayed to other hosts, not evaluated: the end
    /// of the cold time follows from upstream_record::coldFor.
    milliseconds warmup{0};
    double coldRequestsPerSecond = 0; ///< rate that a cold upstream can serve
};

/// A complete configuration.
struct route_config
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_limits> services;
    /// Stated idle time after which flows may be forgotten; 0: not stated. Relayed to other hosts,
    /// not evaluated on the packet path, which uses entry_settings::flowLife.
    milliseconds idleTimeout{0};
};

/// The entry that an upstream publishes about itself.
struct upstream_record
{
    std::uint64_t id = 0;
    endpoint address;
    std::string service;
    std::string zone;
    unsigned slots = 1; ///< requests that it processes concurrently
    bool isDraining = false;
    milliseconds coldFor{0}; ///< remaining cold time when the entry was written
    std::int64_t startedAtMs = 0; ///< start of this incarnation of the id, Unix milliseconds
    /// Incremented by the upstream with each write, from its start on; 0: not stated.
    std::uint64_t sequence = 0;
};

/// The entry that a figstair host publishes about itself.
struct host_record
{
    std::string name;
    std::string zone;
    endpoint peerAddress;
    std::uint64_t incarnation = 0;
    unsigned cpuMillicores = 0; ///< CPU limit in thousandths of a core; 0: not stated
};

/// The key with which hosts authenticate their messages.
struct shared_key
{
    peer_key key{};
};

/// Request that no new flows go to the upstreams of a zone.
struct zone_evacuation
{
};

/// Note of the hosts that a zone was evacuated. It stays in the store for a while after the zone is
/// taken back, for hosts that have not seen the evacuation.
struct evacuation_mark
{
};

/// The difference between two configurations.
struct config_patch
{
    std::uint64_t baseVersion = 0; ///< version that the patch applies to
    /// The new version: all services and limits, but only added or changed routes.
    route_config changed;
    std::vector<std::string> removedRoutes; ///< names
};

enum class record_kind : std::uint8_t { config, upstream, evacuation, host, key, evacuationMark };

/// A change of one record of the store.
struct record_change
{
    /// The record cannot be parsed, or has unusable values.
    struct unreadable
    {
        std::string problem;
    };
    struct removed
    {
    };

    record_kind kind = record_kind::config;
    std::string name; ///< of the zone or the host; empty for other kinds
    std::uint64_t upstreamId = 0; ///< for upstreams
    /// Hash of the key of an upstream's record: ids are parsed from keys, and two keys may have the
    /// same id. 0: not known.
    std::uint64_t keyHash = 0;
    std::uint64_t revision = 0; ///< store revision of this change
    std::variant<removed, unreadable, route_config, upstream_record, zone_evacuation, host_record,
                 shared_key, config_patch, evacuation_mark>
        content;
};

} // namespace figstair
