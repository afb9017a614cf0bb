#include "figstair/replay/replay_upstream.h"

#include <algorithm>
#include <sstream>

#include <boost/leaf.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <xxhash.h>

namespace leaf = boost::leaf;

namespace figstair {
namespace {

/// Work beyond this many times the slots is refused.
constexpr std::uint32_t maxRunningPerSlot = 2;
constexpr std::uint32_t shedRetryAfterMs = 100;

} // namespace

replay_upstream::replay_upstream(const table_row &row, milliseconds serviceTime, std::uint64_t seed,
                                 timeline &time, replay_network &network)
    : m_row(row)
    , m_serviceTime(serviceTime)
    , m_time(time)
    , m_network(network)
    , m_random(seed)
    , m_startId(m_random())
    , m_startedAt(time.monotonic() - row.warmup)
{
    network.addNode(
        row.name, row.zone, row.address,
        [this](const endpoint &from, const byte_buffer &bytes) { onDatagram(from, bytes); });
}

void replay_upstream::restart(bool isAnnounced)
{
    m_isAnnounced = isAnnounced;
    m_startedAt = m_time.monotonic();
    if (isAnnounced) {
        m_startId = m_random();
        m_running.clear();
    }
}

int replay_upstream::packetsSince(monotonic_time time) const
{
    return static_cast<int>(std::count_if(m_packetTimes.begin(), m_packetTimes.end(),
                                          [time](monotonic_time at) { return at > time; }));
}

void replay_upstream::onDatagram(const endpoint &from, const byte_buffer &bytes)
{
    m_packetTimes.push_back(m_time.monotonic());
    if (m_isSilent) {
        return;
    }
    std::size_t consumed = 0;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, decodeDatagram(bytes, consumed));
            if (message.type == datagram_type::upstreamRequest) {
                onWork(from, message);
            } else if (message.type == datagram_type::probe) {
                datagram report;
                report.type = datagram_type::report;
                report.sequence = message.sequence;
                send(from, report);
            }
            return {};
        },
        [] {});
}

void replay_upstream::onWork(const endpoint &from, const datagram &message)
{
    m_foreign += message.service != m_row.service ? 1 : 0;
    m_expired += message.budgetMs == 0 ? 1 : 0;
    if (m_isRefusing || m_running.size() >= std::size_t{maxRunningPerSlot} * m_row.slots) {
        ++m_sheds;
        refuse(from, message.requestId);
        return;
    }
    m_running[message.requestId] = running_work{m_startId};
    m_peak = std::max(m_peak, m_running.size());
    m_overruns += m_running.size() > currentCapacity() ? 1 : 0;
    const std::string text(message.payload.begin(), message.payload.end());
    const std::string answer = makeAnswer(text, message.kind == request_kind::order);
    boost::random::uniform_real_distribution<> serviceTimeFactor(0.5, 1.5);
    const bool isCold = currentCapacity() < m_row.slots;
    const double factor = serviceTimeFactor(m_random) * (isCold ? 2.0 : 1.0);
    const milliseconds duration(
        static_cast<std::int64_t>(factor * static_cast<double>(m_serviceTime.count())));
    m_time.runAfter(duration,
                    [this, from, answer, id = message.requestId, first = message.firstPart,
                     count = message.partCount] { finishWork(from, id, answer, first, count); });
}

void replay_upstream::refuse(const endpoint &to, std::uint64_t requestId)
{
    datagram refusal;
    refusal.type = datagram_type::refusal;
    refusal.requestId = requestId;
    refusal.status = refusal_status::overloaded;
    refusal.retryAfterMs = shedRetryAfterMs;
    send(to, refusal);
}

std::string replay_upstream::makeAnswer(const std::string &text, bool isOrder)
{
    const std::string identity = m_row.service + " " + m_row.name + " " + m_row.zone;
    if (isOrder) {
        const int run = ++m_orderRuns[text];
        return text + " done " + identity + " run " + std::to_string(run);
    }
    std::istringstream words(text);
    std::string verb;
    std::string item;
    std::size_t size = 0;
    words >> verb >> item >> size;
    if (verb != "sheet") {
        return text + " answered " + identity;
    }
    std::string content = "sheet " + item + " of " + identity + "\n";
    content.resize(std::max(size, content.size()), 'x');
    return content;
}

void replay_upstream::finishWork(const endpoint &to, std::uint64_t requestId,
                                 const std::string &answer, std::uint32_t first,
                                 std::uint32_t count)
{
    const auto work = m_running.find(requestId);
    if (work == m_running.end() || work->second.startId != m_startId) {
        return;
    }
    m_running.erase(work);
    ++m_served;
    if (m_isDroppingAnswers) {
        return;
    }
    const auto total =
        static_cast<std::uint32_t>((answer.size() + maxPartBytes - 1) / maxPartBytes);
    const std::uint32_t last = count == 0 ? total : std::min(total, first + count);
    for (std::uint32_t part = first; part < last; ++part) {
        datagram message;
        message.type = datagram_type::answer;
        message.requestId = requestId;
        message.part = part;
        message.partTotal = total;
        message.digest = XXH3_64bits(answer.data(), answer.size());
        const std::size_t offset = part * maxPartBytes;
        message.payload = byte_view(reinterpret_cast<const std::uint8_t *>(answer.data()) + offset,
                                    std::min(maxPartBytes, answer.size() - offset));
        send(to, message);
    }
}

void replay_upstream::send(const endpoint &to, datagram message)
{
    message.hasReport = true;
    message.report.startId = m_startId;
    message.report.slotsInUse = m_reportedInUse >= 0 ? static_cast<std::uint32_t>(m_reportedInUse)
                                                     : static_cast<std::uint32_t>(m_running.size());
    if (m_isAnnounced && currentCapacity() < m_row.slots) {
        message.report.phase = upstream_phase::cold;
    }
    if (m_isDraining) {
        message.report.phase = upstream_phase::draining;
    }
    byte_buffer bytes;
    encodeDatagram(message, bytes);
    m_network.sendOverStream(m_row.address, to, bytes);
}

std::uint32_t replay_upstream::currentCapacity() const
{
    const auto elapsed = static_cast<double>((m_time.monotonic() - m_startedAt).count());
    const double warmFraction = m_row.warmup.count() == 0
        ? 1.0
        : std::min(1.0, elapsed / static_cast<double>(m_row.warmup.count()));
    return m_row.coldLimit
        + static_cast<std::uint32_t>(warmFraction * (m_row.slots - m_row.coldLimit));
}

} // namespace figstair
