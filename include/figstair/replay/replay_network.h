#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "figstair/core/endpoint.h"
#include "figstair/replay/timeline.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Carries datagrams and peer messages between the replay's nodes, with the delays, cuts, losses
/// and duplicates that the trace states.
class replay_network
{
public:
    using datagram_handler = std::function<void(const endpoint &from, const byte_buffer &bytes)>;

    replay_network(timeline &time, std::uint64_t seed, milliseconds latency);

    void addNode(const std::string &name, const std::string &zone, const endpoint &address,
                 datagram_handler handler);

    void send(const endpoint &from, const endpoint &to, byte_view bytes);

    /// Sends over the stream from @p from to @p to, one end of which is an upstream: the network
    /// may double or lose packets, the receiving end drops repeats and lost ones are sent again. A
    /// cut ends the stream and what was on it.
    void sendOverStream(const endpoint &from, const endpoint &to, byte_view bytes);

    /// Runs @p delivery after the latency unless the way is cut; for messages over peer links.
    void deliver(const endpoint &from, const endpoint &to, std::function<void()> delivery);

    /// Stops all between @p a and @p b, each a node's or a zone's name, or "all".
    void cut(const std::string &a, const std::string &b);
    void heal(const std::string &a, const std::string &b);
    bool isCut(const endpoint &from, const endpoint &to) const;
    bool isCutFromPlatform(const endpoint &address) const;

    void setLoss(double probability) { m_loss = probability; }
    /// Doubles a share of the datagrams.
    void setDuplicates(double probability) { m_duplicates = probability; }

    /// Doubles a share of the packets of streams.
    void setDuplicatesToUpstreams(double probability) { m_duplicatesToUpstreams = probability; }
    void setJitter(milliseconds jitter) { m_jitter = jitter; }

private:
    struct node
    {
        std::string name;
        std::string zone;
        datagram_handler handler;
    };
    struct stream
    {
        std::uint64_t lastSentSequence = 0;
        std::uint64_t lastDeliveredSequence = 0; ///< packets up to this number are repeats
        monotonic_time lastArrivalAt{};
    };

    void deliverFromStream(const endpoint &from, const endpoint &to, std::uint64_t sequence,
                           const byte_buffer &bytes);
    bool nodeMatches(const node &item, const std::string &name) const;
    milliseconds drawLatency();
    bool drawWithProbability(double probability);

    timeline &m_time;
    std::mt19937_64 m_random;
    milliseconds m_latency;
    milliseconds m_jitter{0};
    double m_loss = 0;
    double m_duplicates = 0;
    double m_duplicatesToUpstreams = 0;
    std::map<endpoint, node> m_nodes;
    std::map<std::pair<endpoint, endpoint>, stream> m_streams;
    std::set<std::pair<std::string, std::string>> m_cuts;
};

} // namespace figstair
