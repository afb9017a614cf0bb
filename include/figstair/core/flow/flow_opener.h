#pragma once

#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "figstair/core/flow/dead_flow_resetter.h"
#include "figstair/core/flow/flow_context.h"
#include "figstair/core/flow/flow_placer.h"
#include "figstair/core/flow/flow_refuser.h"
#include "figstair/core/flow/held_flows.h"
#include "figstair/core/health/silence_watch.h"
#include "figstair/core/load/caller_shares.h"
#include "figstair/core/load/flow_admission.h"

namespace figstair {

/// Opens new flows: sends each SYN to the upstream that flow_placer chooses, or holds or refuses it
/// as flow_admission decides. Flows are refused through flow_refuser.
class flow_opener
{
public:
    /// @p context, @p silence and @p deadFlows must outlive the opener. @p seed initialises the
    /// random numbers.
    flow_opener(const flow_context &context, silence_watch &silence, dead_flow_resetter &deadFlows,
                std::uint64_t seed);

    /// Handles a SYN of a caller. @p bytes is the unmodified packet.
    void onOpening(const flow_packet &packet, byte_view bytes);

    /// Sends the SYN of a flow that its first upstream did not answer to a second one, if one has
    /// room.
    void repeat(const unanswered_opening &opening);

    /// Places held flows if the interval since the last time has passed. Call it when an upstream
    /// may have a free slot, and no later than nextDeadline().
    void retryHeld();

    /// New flows per second that callers open at this host; 0 while not known.
    unsigned newFlowsPerSecond() const;

    std::size_t heldCount() const { return m_held.size(); }

    /// Time at which retryHeld() must be called next.
    monotonic_time nextDeadline() const;

private:
    /// Which flows have to leave room for a flow in the queues of upstreams.
    enum class place_in_queue : std::uint8_t { first, regular, last };

    /// Open requests of this host per slot of its share of a service: a mean over recent time.
    struct utilization
    {
        double mean = 0;
        monotonic_time updatedAt{};
    };

    placement_result tryPlace(const flow_id &flow, flow_record &record, const route &route,
                              byte_view bytes, place_in_queue place);
    std::optional<placement_work> workFor(const flow_id &flow, const std::string &service) const;
    static double queueLimitOf(place_in_queue place, const admission_request &request);
    admission_request requestFor(const flow_id &flow, const flow_record &record, const route &route,
                                 const std::string &service) const;
    void admit(const flow_id &flow, flow_record &record, const route &route, byte_view bytes);
    void enqueue(const flow_id &flow, flow_record &record, const admission_request &request,
                 const admission_verdict &verdict, std::vector<std::uint8_t> bytes);
    void forward(const flow_id &flow, flow_record &record, byte_view bytes,
                 const placement_result &choice, const placement_work *work);
    void refuseOrDrop(const flow_id &flow, flow_record &record, std::string_view reason,
                      const admission_verdict &verdict, bool hasFreeSlot = false);
    bool exceedsCallerShare(const flow_id &flow, const admission_request &request);
    /// The record of @p item, or nullptr if that flow is over, has opened through another host, or
    /// its caller has reused its port.
    flow_record *recordOf(const held_flow &item);
    void placeHeld(const std::string &service);
    void reconsiderExpired();
    void reviewExtended(const std::string &service);
    service_backlog backlogFor(const admission_request &request, held_rank rank,
                               std::uint32_t caller);
    double requestsPerSecond(const admission_request &request);
    double updateUtilization(const std::string &service, const slot_share &share);
    unsigned coldFlowsPerSecond(const std::string &service) const;

    const flow_context &m_context;
    silence_watch &m_silence;
    dead_flow_resetter &m_deadFlows;
    flow_refuser m_refuser;
    slot_shares m_shares;
    flow_placer m_placer;
    flow_admission m_admission;
    held_flows m_held;
    std::uint32_t m_lastHoldNumber = 0;
    std::unordered_map<std::string, utilization> m_utilizations; ///< by service
    std::unordered_map<std::string, caller_shares> m_callerShares; ///< by service
    std::mt19937_64 m_random;
    monotonic_time m_nextRetry{};
    monotonic_time m_nextReview{};
};

} // namespace figstair
