#pragma once

#include <cstdint>
#include <unordered_map>

#include "figstair/core/load/event_rate.h"

namespace figstair {

/// Fair shares of a saturated service's capacity among its callers: core-stateless fair queueing
/// (Stoica, Shenker, Zhang; SIGCOMM 1998), with callers in place of flows.
///
/// Load pattern: one caller opens far more flows than the others. Whoever asks most often would get
/// most of the slots, since a refused caller may try again at once.
class caller_shares
{
public:
    /// Counts a new flow of @p caller.
    void onArrival(std::uint32_t caller, monotonic_time now);

    /// Probability with which a new flow of @p caller is to be admitted if upstreams can serve
    /// @p flowsPerSecond: below 1 only for callers that ask for well more than a fair share, and
    /// than others do.
    double admissionProbability(std::uint32_t caller, double flowsPerSecond, monotonic_time now);

private:
    void update(double flowsPerSecond, monotonic_time now);

    std::unordered_map<std::uint32_t, event_rate> m_rates; ///< by caller
    monotonic_time m_updatedAt{};
    double m_allowedRate = 0; ///< flows per second that each caller may open
};

} // namespace figstair
