#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>

#include "figstair/core/clock_source.h"
#include "figstair/core/load/event_rate.h"

namespace figstair {

constexpr unsigned leastUrgentPriority = std::numeric_limits<unsigned>::max();

/// Properties of a new flow that decide whether it is admitted.
struct admission_request
{
    const std::string &service;
    unsigned priority = 0; ///< of its route; 0 is the most urgent
    bool isMostUrgent = true; ///< no route to the service has a more urgent priority
    milliseconds age{0}; ///< since the caller's first SYN
    milliseconds latencyTarget{0};
    /// Expected time from a request to its answer at an upstream with a free slot.
    milliseconds answerTime{0};
    /// Expected time from a forwarded SYN to the caller's next packet.
    milliseconds handshakeTime{0};
};

/// Held flows before a flow, and how fast upstreams work them off.
struct service_backlog
{
    std::size_t ahead = 0; ///< held flows that are placed before it
    double requestsPerSecond = 0; ///< that the service's upstreams can serve for this host
    milliseconds oldestExtendedWait{0}; ///< longest time that an extended flow has been held
    /// Hosts have started or stopped a moment ago: callers that were not answered come back now.
    bool isAfterOutage = false;
};

enum class admission_outcome : std::uint8_t {
    hold, ///< it will be placed soon and meet its latency target
    holdExtended, ///< it may miss its target, but will be placed before its caller gives up
    refuse ///< it would wait until its caller gives up
};

struct admission_verdict
{
    admission_outcome outcome = admission_outcome::refuse;
    milliseconds predictedWait{0}; ///< at most a minute
    milliseconds maxWait{
        0}; ///< how long the flow may be held; of a refused one, the limit exceeded
};

/// Decides what becomes of a new flow while upstreams are saturated, by the arrivals at this host
/// and the wait that they let expect.
///
/// Load patterns:
/// - a short rise of the load: flows are held for the moment until a slot is free;
/// - more load than upstreams can serve, for any time: waiting would only make answers late, so
///   what cannot be served in time is refused at once and the slots go to flows that can;
/// - the backlog after an outage: callers that waited are served from the capacity that current
///   arrivals leave, after them. How much that is shows soon after the first of them were held.
///   Refusing them on a guess would make them come back at once, which looks like more load;
/// - urgent and less urgent routes to the same upstreams: the less urgent ones leave room for the
///   urgent ones in the upstreams' queues.
class flow_admission
{
public:
    /// Counts the first SYN of a flow of @p service.
    void onArrival(const std::string &service, unsigned priority, monotonic_time now);

    /// Counts an extended flow of @p service that was placed.
    void onExtendedPlaced(const std::string &service, monotonic_time now);

    /// Whether the flow can still be served within its latency target.
    static bool canMeetTarget(const admission_request &request);

    /// How long the flow may still wait and meet its latency target; negative if it cannot.
    static milliseconds timeToMeetTarget(const admission_request &request);

    /// Expected time that a request occupies a slot, in milliseconds; at least 1.
    static double workTime(const admission_request &request);

    /// Open requests per slot at which all slots are busy and no request waits. Above 1, since
    /// requests also count as open while they are on the network.
    static double freeLimit(const admission_request &request);

    /// Open requests per slot up to which the flow may be placed.
    static double queueLimit(const admission_request &request);

    /// The same for flows that get only what others leave: those that have missed their target, and
    /// those of callers that ask for more than their share.
    static double leftoverLimit(const admission_request &request);

    /// The same for flows that have to be placed before any other.
    static double highestLimit(const admission_request &request);

    /// Decides about a flow that cannot be placed now.
    admission_verdict decide(const admission_request &request, const service_backlog &backlog,
                             monotonic_time now);

    /// The same for a flow that may only be held extended, if at all.
    admission_verdict decideExtended(const admission_request &request,
                                     const service_backlog &backlog, monotonic_time now);

    /// New flows per second of @p service whose priority is at least as urgent as @p priority.
    double arrivalsPerSecond(const std::string &service, unsigned priority,
                             monotonic_time now) const;

private:
    struct service_state
    {
        std::map<unsigned, event_rate> arrivals; ///< by priority
        event_rate extendedPlaced;
        monotonic_time noSpareUntil{}; ///< current arrivals leave no capacity for extended flows
    };

    service_state &stateOf(const std::string &service);

    std::unordered_map<std::string, service_state> m_services;
};

} // namespace figstair
