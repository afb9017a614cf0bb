#include "figstair/core/load/service_times.h"

#include <algorithm>
#include <cmath>

namespace figstair {
namespace {

/// The first samples have equal weights, as in an arithmetic mean; later ones have this weight.
constexpr double minSampleWeight = 0.03;
constexpr double handshakeWeight = 0.05; ///< of a new sample

/// Expected answer time until the first measurement, as a share of the route's latency target.
/// Operators set targets with room for queueing and slow requests.
constexpr double initialShareOfTarget = 0.25;

/// Samples are capped at this multiple of the mean, so that an upstream that has become slow does
/// not turn its own time into the expected one.
constexpr double maxSampleOverMean = 3.0;

/// An answer below both of these shares of the route's means is most likely an error: work varies,
/// but a served request needs some time and has an answer of some size. Both must hold, so that
/// neither a cached answer nor a small one counts as an error.
constexpr double shortAnswerTimeRatio = 0.4;
constexpr double shortAnswerSizeRatio = 0.5;
constexpr unsigned minSamplesForShort = 20; ///< before answers are compared with the means

/// Weight of a short answer. It is not zero, so that the means of a service that has really changed
/// adapt after some hundreds of answers.
constexpr double shortAnswerWeight = 0.005;

/// Parameters of the handshake timeout. Handshake times vary with the network path of the caller
/// and with scheduling delays; a shorter timeout would duplicate flows that are only delayed.
constexpr double timeoutMeanFactor = 3.0;
constexpr double timeoutBaseMs = 15.0;
constexpr double minTimeoutMs = 30.0;
constexpr double maxTimeoutMs = 120.0;

} // namespace

answer_verdict service_times::onAnswer(const flow_id &flow, milliseconds answerTime,
                                       milliseconds latencyTarget, double requestsPerSlot,
                                       std::uint32_t answerBytes)
{
    const auto [entry, isNew] = m_routeMeans.try_emplace(
        routeKeyOf(flow),
        mean{initialShareOfTarget * double(latencyTarget.count()), double(answerBytes), 1});
    mean &routeMean = entry->second;
    const double sample = static_cast<double>(answerTime.count()) / std::max(1.0, requestsPerSlot);
    answer_verdict verdict;
    verdict.ratio = sample / std::max(1.0, routeMean.ms);
    verdict.isShort = routeMean.samples >= minSamplesForShort
        && verdict.ratio < shortAnswerTimeRatio
        && double(answerBytes) < routeMean.bytes * shortAnswerSizeRatio;
    const double weight = verdict.isShort
        ? shortAnswerWeight
        : std::max(minSampleWeight, 1.0 / static_cast<double>(++routeMean.samples));
    routeMean.ms += weight * (std::min(sample, routeMean.ms * maxSampleOverMean) - routeMean.ms);
    routeMean.bytes += weight * (double(answerBytes) - routeMean.bytes);
    return verdict;
}

void service_times::onHandshake(milliseconds handshakeTime)
{
    const auto sampleMs = static_cast<double>(handshakeTime.count());
    m_handshakeMs = m_handshakeMs == 0
        ? sampleMs
        : m_handshakeMs + handshakeWeight * (sampleMs - m_handshakeMs);
}

milliseconds service_times::expectedAnswerTime(const flow_id &flow,
                                               milliseconds latencyTarget) const
{
    const auto found = m_routeMeans.find(routeKeyOf(flow));
    return milliseconds(std::llround(found == m_routeMeans.end()
                                         ? initialShareOfTarget * double(latencyTarget.count())
                                         : found->second.ms));
}

milliseconds service_times::handshakeTime() const
{
    return milliseconds(std::llround(m_handshakeMs));
}

milliseconds service_times::handshakeTimeout() const
{
    const double timeoutMs = timeoutBaseMs + timeoutMeanFactor * m_handshakeMs;
    return milliseconds(std::llround(std::clamp(timeoutMs, minTimeoutMs, maxTimeoutMs)));
}

} // namespace figstair
