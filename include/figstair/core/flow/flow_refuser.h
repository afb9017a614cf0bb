#pragma once

#include <string>
#include <string_view>

#include "figstair/core/flow/flow_context.h"
#include "figstair/core/load/flow_admission.h"

namespace figstair {

/// Why a flow is not served, with the inputs of that decision.
struct refusal
{
    std::string_view reason; ///< as logged
    std::string service;
    admission_verdict verdict;
    double arrivalsPerSecond = 0; ///< tries of the service's callers at this host
    double slots = 0; ///< this host's part of the service's slots
    /// An upstream that the flow could have used had a free slot by the latest reports.
    bool hasFreeSlot = false;
};

/// Ends flows that are not served.
///
/// A flow is refused by a reset only if no upstream can open it any more: this host saw every SYN
/// that the caller has sent for it, and forwarded none. A refused request has therefore not run.
/// Other flows are dropped: nothing is sent, and the caller's next SYN is considered anew.
class flow_refuser
{
public:
    /// @p context must outlive the refuser.
    explicit flow_refuser(const flow_context &context);

    /// Index of the SYN with retransmission count @p count in the schedule of callers; that of the
    /// last scheduled SYN for all later ones.
    static std::size_t scheduleIndex(std::uint32_t count);

    /// Age of a flow when its caller sends the SYN with schedule index @p index.
    static milliseconds ageAtOpening(std::size_t index);

    /// Whether a reset would tell the caller the truth. The caller's next SYN may be on its way to
    /// another host.
    bool mayBeRefused(const flow_record &record) const;

    /// Refuses the flow if mayBeRefused(), otherwise drops it. @p record may be erased.
    void refuseOrDrop(const flow_id &flow, flow_record &record, const refusal &why);

    /// Refuses a flow to an address that has no route.
    void refuseWithoutRoute(const flow_id &flow);

private:
    milliseconds oldestReportAge() const;

    const flow_context &m_context;
};

} // namespace figstair
