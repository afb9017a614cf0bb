#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "figstair/core/flow/entry_core.h"

namespace figstair {

/// Clock of the simulation.
class world_clock : public clock_source
{
public:
    monotonic_time monotonic() const override { return m_now; }
    wall_time wall() const override
    {
        return wall_time(milliseconds(1'700'000'000'000) + m_now.time_since_epoch());
    }
    void set(monotonic_time now) { m_now = now; }

private:
    monotonic_time m_now{milliseconds(1000)};
};

/// Requests of one kind: those of one route.
struct request_class
{
    double share = 1; ///< of all requests
    milliseconds workTime{60}; ///< mean; uniformly distributed from 50% to 150%
    milliseconds latencyTarget{250};
    unsigned priority = 0;
    double tailShare = 0; ///< share of the requests that take tailFactor times as long
    double tailFactor = 1;
    /// A caller closes a flow after this many answers. With more than one, callers keep open flows
    /// for their next requests.
    unsigned requestsPerFlow = 1;
    milliseconds pauseBetweenRequests{0}; ///< at least, on one flow after an answer
    bool isSafe = true; ///< retried after a failure of an open flow
};

/// Parameters of a simulated deployment. All times are simulated, not measured.
struct world_plan
{
    std::uint64_t seed = 1;
    unsigned zones = 3;
    unsigned hostsPerZone = 2;
    unsigned upstreamsPerZone = 5;
    unsigned slots = 4;
    unsigned queueCapacity = 16; ///< of each upstream; it refuses requests beyond this
    double requestsPerSecond = 400;
    milliseconds workTime{60}; ///< mean; uniformly distributed from 50% to 150%
    milliseconds latencyTarget{250};
    milliseconds deadline{4000};
    /// Kinds of requests; if empty, one kind with the times above.
    std::vector<request_class> classes;
    unsigned callersPerZone = 40;
    std::vector<double> zoneDemand; ///< shares of the requests by zone; if empty, all the same
    double greedyShare = 0; ///< share of the requests that one caller of each zone sends
    part_mode placementByWork = part_mode::automatic;
    milliseconds reportDelay{0}; ///< added to the time that reports between hosts take
};

/// Outcomes of the requests that were first sent within one second.
struct second_result
{
    unsigned sent = 0;
    unsigned inTarget = 0;
    unsigned late = 0;
    unsigned failed = 0;
    milliseconds usefulWork{0}; ///< of those in target
    unsigned refusedTries = 0; ///< ended by a reset of a host
    unsigned timedOutTries = 0; ///< ended without any answer

    void add(const second_result &other);
};

/// A request as its caller first sent it.
struct world_arrival
{
    milliseconds at{0}; ///< after the start of traffic
    std::size_t kind = 0; ///< index of its request_class
    milliseconds work{0}; ///< time that it occupies a slot of an upstream that is not slow
};

/// Simulation of routers, upstreams and callers around the real entry_core of each host. Like the
/// platform's routers, the simulated ones distribute packets by a flow hash over the hosts that
/// pass readiness checks.
class entry_world
{
public:
    explicit entry_world(const world_plan &plan);
    ~entry_world();

    /// Schedules @p action at time @p at after the start of traffic.
    void at(milliseconds at, std::function<void()> action);

    /// Runs the simulation until time @p end after the start of traffic.
    void run(milliseconds end);

    // Faults; call them from actions of at().
    void killHost(std::size_t host);
    void startHost(std::size_t host);
    void setUpstreamSilent(std::size_t upstream, bool isSilent);
    /// While refusing, the upstream immediately resets every flow that sends it a packet.
    void setUpstreamRefusing(std::size_t upstream, bool isRefusing);
    /// While failing, the upstream immediately answers requests with a short error.
    void setUpstreamFailing(std::size_t upstream, bool isFailing);
    void restartUpstreamCold(std::size_t upstream, milliseconds coldFor);
    void setUpstreamSlowdown(std::size_t upstream, double slowdown);
    void cutZone(unsigned zone, bool isCut);
    /// While cut, no packet that @p host forwards reaches @p upstream.
    void cutHostFromUpstream(std::size_t host, std::size_t upstream, bool isCut);
    /// The store comes back from an outage in which the entries of all upstreams expired; they
    /// return one by one, from @p returnAfter on within a heartbeat.
    void lapseEntries(milliseconds returnAfter);
    void setZoneDemand(std::vector<double> shares) { m_plan.zoneDemand = std::move(shares); }
    /// Multiplies the rate of requests.
    void setLoad(double factor) { m_loadFactor = factor; }
    void drainUpstream(std::size_t upstream);

    std::size_t hostCount() const { return m_hosts.size(); }
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    entry_core &core(std::size_t host);

    /// Outcomes of requests, by the second in which they were first sent.
    const std::vector<second_result> &seconds() const { return m_seconds; }

    /// All requests, in the order in which they were sent.
    const std::vector<world_arrival> &arrivals() const { return m_arrivals; }

    /// Number of requests whose processing @p upstream started in @p second.
    unsigned requestsStarted(std::size_t upstream, std::size_t second) const;

    /// Highest number of SYNs that reached @p upstream in any period of one second between @p first
    /// and @p last.
    unsigned maxOpeningsPerSecond(std::size_t upstream, milliseconds first,
                                  milliseconds last) const;

    /// Highest number of bytes that any host sent to others, or received from them, in one of the
    /// seconds in [@p first, @p last).
    std::uint64_t maxControlBytesPerSecond(std::size_t first, std::size_t last) const;

    /// Sum of seconds() over [@p first, @p last).
    second_result sum(std::size_t first, std::size_t last) const;

    /// The same for the requests of one class of the plan, and for those of the greedy callers.
    second_result sumOfClass(std::size_t number, std::size_t first, std::size_t last) const;
    second_result sumOfGreedy(std::size_t first, std::size_t last) const;

    /// Sum of the work of the requests sent in the seconds [@p first, @p last) that were answered
    /// within their target.
    milliseconds usefulWork(std::size_t first, std::size_t last) const;

    /// Number of tries that a host refused later than @p time after the caller's SYN.
    std::size_t refusalsAfter(milliseconds time) const;

    /// Requests per second that all upstreams can complete.
    double capacity() const;

    /// Number of flows that a host refused although its caller's SYN reached an upstream.
    unsigned falseRefusals() const { return m_falseRefusals; }

    /// Number of open flows that a host reset although their upstream was alive and undisturbed,
    /// for this host at least.
    unsigned wrongResets() const { return m_wrongResets; }

    /// Number of open flows that a host reset while their upstream was dead or disturbed.
    unsigned resetFlows() const { return m_resetFlows; }

    /// Number of flows that callers have open to @p upstream now, idle ones included.
    std::size_t openFlows(std::size_t upstream) const;

    /// Sum of a counter over all hosts.
    std::uint64_t countOf(entry_counter which) const
    {
        const auto found = m_counts.find(which);
        return found == m_counts.end() ? 0 : found->second;
    }

private:
    struct host;
    struct upstream;
    struct request;
    struct attempt;
    /// Time that the request of @p flow occupies a slot.
    milliseconds workOf(const flow_id &flow) const;
    struct event
    {
        monotonic_time when;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    void after(milliseconds delay, std::function<void()> action);
    milliseconds sinceStart() const;
    void onArrival();
    void checkReadiness();
    host_record hostRecordOf(std::size_t host) const;
    void sendReport(std::size_t host);
    void tickHost(std::size_t host);
    host *pickHost(const flow_id &flow, unsigned zone);
    void sendFromCaller(attempt &from, flow_packet packet);
    void startAttempt(request &requestState);
    bool sendOnIdleFlow(request &requestState);
    const request_class &kindOf(const flow_id &flow) const;
    void onHostReset(const host &from, const flow_id &flow, std::uint32_t sequence);
    void onOpenFlowReset(attempt &attemptState, std::uint32_t sequence);
    void disturb(std::size_t upstream);
    bool isDisturbed(const host &from, std::size_t upstream) const;
    bool isLinkCut(std::size_t host, std::size_t upstream) const;
    void endAttempt(attempt &attemptState);
    unsigned upstreamZone(std::size_t upstream) const;
    void sendOpening(attempt &attemptState, unsigned retransmissions);
    void sendData(attempt &attemptState);
    void onUpstreamPacket(std::size_t index, const flow_packet &packet, std::uint32_t tag);
    void startWork(std::size_t index);
    void onAnswerAtCaller(attempt &attemptState, std::size_t upstreamIndex, bool isServed);
    void answerWithError(std::size_t upstream, const flow_id &flow);
    void finish(request &requestState, bool isServed);
    void refuse(attempt &attemptState);
    /// Adds @p change to the results of the second in which the request was first sent.
    void record(const request &requestState, const second_result &change);
    record_change upstreamChangeOf(std::size_t upstream) const;
    std::vector<record_change> listing() const;
    void announce(std::size_t upstream);
    bool isCutBetween(unsigned zone, unsigned other) const;

    world_plan m_plan;
    world_clock m_clock;
    std::mt19937_64 m_random;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_revision = 100;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    std::vector<std::unique_ptr<request>> m_requests;
    std::map<std::pair<std::uint32_t, std::uint16_t>, attempt *> m_attempts;
    std::vector<std::unique_ptr<attempt>> m_allAttempts;
    std::vector<world_arrival> m_arrivals;
    std::vector<second_result> m_seconds;
    std::vector<std::vector<second_result>> m_classSeconds; ///< by class
    std::vector<second_result> m_greedySeconds;
    std::vector<milliseconds> m_refusalTimes;
    unsigned m_falseRefusals = 0;
    unsigned m_wrongResets = 0;
    unsigned m_resetFlows = 0;
    /// Flows without a request, by caller and kind, in the order in which they became idle. May
    /// contain flows that are over.
    std::map<std::pair<std::uint32_t, std::size_t>, std::deque<attempt *>> m_idleFlows;
    /// Ends of the faults between hosts and upstreams.
    std::map<std::pair<std::size_t, std::size_t>, monotonic_time> m_linkFaultEnds;
    std::map<entry_counter, std::uint64_t> m_counts;
    double m_loadFactor = 1;
    std::vector<bool> m_cutZones;
    std::uint16_t m_nextPort = 1024;
    double m_arrivalRemainder = 0; ///< fraction of a millisecond carried over from the last gap
};

} // namespace figstair
