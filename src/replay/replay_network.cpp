#include "figstair/replay/replay_network.h"

#include <algorithm>

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

namespace figstair {
namespace {

// Typical first retransmission timeout of TCP on a path with low latency.
constexpr milliseconds retransmissionDelay{200};

} // namespace

replay_network::replay_network(timeline &time, std::uint64_t seed, milliseconds latency)
    : m_time(time)
    , m_random(seed)
    , m_latency(latency)
{
}

void replay_network::addNode(const std::string &name, const std::string &zone,
                             const endpoint &address, datagram_handler handler)
{
    m_nodes[address] = node{name, zone, std::move(handler)};
}

void replay_network::send(const endpoint &from, const endpoint &to, byte_view bytes)
{
    const bool isDuplicated = drawWithProbability(m_duplicates);
    const int copies = drawWithProbability(m_loss) ? 0 : (isDuplicated ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy) {
        m_time.runAfter(drawLatency(),
                        [this, from, to, payload = byte_buffer(bytes.begin(), bytes.end())] {
                            const auto target = m_nodes.find(to);
                            if (target != m_nodes.end() && !isCut(from, to)) {
                                target->second.handler(from, payload);
                            }
                        });
    }
}

void replay_network::sendOverStream(const endpoint &from, const endpoint &to, byte_view bytes)
{
    stream &connection = m_streams[{from, to}];
    const std::uint64_t sequence = ++connection.lastSentSequence;
    const milliseconds retransmission =
        drawWithProbability(m_loss) ? retransmissionDelay : milliseconds(0);
    // Keeps the order: a packet is never delivered before an earlier one.
    connection.lastArrivalAt =
        std::max(connection.lastArrivalAt, m_time.monotonic() + retransmission + drawLatency());
    const int copies = drawWithProbability(m_duplicatesToUpstreams) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        m_time.runAfter(
            connection.lastArrivalAt - m_time.monotonic(),
            [this, from, to, sequence, payload = byte_buffer(bytes.begin(), bytes.end())] {
                deliverFromStream(from, to, sequence, payload);
            });
    }
}

void replay_network::deliverFromStream(const endpoint &from, const endpoint &to,
                                       std::uint64_t sequence, const byte_buffer &bytes)
{
    stream &connection = m_streams[{from, to}];
    const auto target = m_nodes.find(to);
    if (target == m_nodes.end() || isCut(from, to)
        || sequence <= connection.lastDeliveredSequence) {
        return;
    }
    connection.lastDeliveredSequence = sequence;
    target->second.handler(from, bytes);
}

void replay_network::deliver(const endpoint &from, const endpoint &to,
                             std::function<void()> delivery)
{
    m_time.runAfter(drawLatency(), [this, from, to, delivery = std::move(delivery)] {
        if (!isCut(from, to)) {
            delivery();
        }
    });
}

void replay_network::cut(const std::string &a, const std::string &b)
{
    m_cuts.emplace(a, b);
}

void replay_network::heal(const std::string &a, const std::string &b)
{
    m_cuts.erase({a, b});
    m_cuts.erase({b, a});
}

bool replay_network::isCut(const endpoint &from, const endpoint &to) const
{
    const auto source = m_nodes.find(from);
    const auto target = m_nodes.find(to);
    if (source == m_nodes.end() || target == m_nodes.end() || from == to) {
        return false;
    }
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const auto &cut) {
        return (nodeMatches(source->second, cut.first) && nodeMatches(target->second, cut.second))
            || (nodeMatches(source->second, cut.second) && nodeMatches(target->second, cut.first));
    });
}

bool replay_network::isCutFromPlatform(const endpoint &address) const
{
    const auto found = m_nodes.find(address);
    return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const auto &cut) {
        return cut.second == "platform" && nodeMatches(found->second, cut.first);
    });
}

bool replay_network::nodeMatches(const node &item, const std::string &name) const
{
    return name == "all" || item.name == name || item.zone == name;
}

milliseconds replay_network::drawLatency()
{
    boost::random::uniform_int_distribution<std::int64_t> jitterMs(0, m_jitter.count());
    return m_latency + milliseconds(jitterMs(m_random));
}

bool replay_network::drawWithProbability(double probability)
{
    return probability > 0
        && boost::random::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

} // namespace figstair
