#include "figstair/core/flow/flow_refuser.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace figstair {
namespace {

/// When callers retransmit a SYN, after the first one. A caller that has not been answered this
/// long after the next retransmission may have sent it to another host.
constexpr std::array<milliseconds, 3> openingSchedule{milliseconds(0), milliseconds(200),
                                                      milliseconds(600)};

/// Longest difference between the times that two SYNs of a flow take from the caller to a host.
constexpr milliseconds maxPathVariation{20};

std::string toText(milliseconds value)
{
    return std::to_string(value.count());
}

std::string oneDecimal(double value)
{
    std::string text = std::to_string(std::llround(value * 10));
    text.insert(text.size() - 1, text.size() > 1 ? "." : "0.");
    return text;
}

} // namespace

flow_refuser::flow_refuser(const flow_context &context)
    : m_context(context)
{
}

std::size_t flow_refuser::scheduleIndex(std::uint32_t count)
{
    return std::min<std::size_t>(count, openingSchedule.size() - 1);
}

milliseconds flow_refuser::ageAtOpening(std::size_t index)
{
    return openingSchedule[index];
}

bool flow_refuser::mayBeRefused(const flow_record &record) const
{
    if (record.wasForwarded) {
        return false;
    }
    const milliseconds age = m_context.clock.monotonic() - record.firstOpeningAt;
    for (std::size_t count = 0; count < openingSchedule.size(); ++count) {
        const bool mayHaveBeenSent = age + maxPathVariation >= openingSchedule[count];
        if (mayHaveBeenSent && (record.openingsSeen >> count & 1U) == 0) {
            return false;
        }
    }
    return true;
}

void flow_refuser::refuseOrDrop(const flow_id &flow, flow_record &record, const refusal &why)
{
    const bool isRefused = mayBeRefused(record);
    m_context.output.count(isRefused ? entry_counter::flowsRefused : entry_counter::flowsDropped,
                           1);
    if (why.hasFreeSlot) {
        m_context.output.count(entry_counter::flowsRefusedWithFreeSlot, 1);
    }
    m_context.output.logEvent(
        isRefused ? "flow_refused" : "flow_dropped",
        {{"flow", toText(flow)},
         {"reason", std::string(why.reason)},
         {"service", why.service},
         {"age_ms", toText(m_context.clock.monotonic() - record.firstOpeningAt)},
         {"predicted_ms", toText(why.verdict.predictedWait)},
         {"most_ms", toText(why.verdict.maxWait)},
         {"arrivals_per_s", std::to_string(std::lround(why.arrivalsPerSecond))},
         {"open", std::to_string(m_context.loads.ownOpenRequestsOf(why.service))},
         {"slots", oneDecimal(why.slots)},
         {"free_slot", why.hasFreeSlot ? "1" : "0"},
         {"report_age_ms", toText(oldestReportAge())},
         {"config", std::to_string(m_context.configVersion())}});
    if (isRefused) {
        m_context.flows.erase(flow);
        m_context.output.reset(flow, 0);
    } else {
        record.phase = record.wasForwarded ? flow_phase::opening : flow_phase::dropped;
    }
}

void flow_refuser::refuseWithoutRoute(const flow_id &flow)
{
    if (flow_record *record = m_context.flows.find(flow)) {
        m_context.stopAwaitingAnswer(*record);
        m_context.flows.erase(flow);
    }
    m_context.output.count(entry_counter::packetsWithoutRoute, 1);
    m_context.output.count(entry_counter::flowsReset, 1);
    m_context.output.logEvent("flow_refused",
                              {{"flow", toText(flow)},
                               {"reason", "no_route"},
                               {"config", std::to_string(m_context.configVersion())}});
    m_context.output.reset(flow, 0);
}

milliseconds flow_refuser::oldestReportAge() const
{
    const monotonic_time now = m_context.clock.monotonic();
    milliseconds age{0};
    for (const auto &[name, peer] : m_context.roster.peers()) {
        if (m_context.roster.isAlive(peer, now)) {
            age = std::max(age, milliseconds(now - peer.lastHeardAt));
        }
    }
    return age;
}

} // namespace figstair
