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

/// Simulated network: carries datagrams, upstream streams and peer messages between nodes, with the
/// latency, partitions, loss and duplication that the trace configures.
class replay_network
{
public:
    using datagram_handler = std::function<void(const endpoint &from, const byte_buffer &bytes)>;

    /// @p latency is the one-way latency of every message, before jitter.
    replay_network(timeline &time, std::uint64_t seed, milliseconds latency);

    /// Registers the node that receives datagrams for @p address, in place of any earlier one.
    void addNode(const std::string &name, const std::string &zone, const endpoint &address,
                 datagram_handler handler);

    /// Sends a datagram; it may be lost, duplicated or reordered.
    void send(const endpoint &from, const endpoint &to, byte_view bytes);

    /// Sends over the ordered stream from @p from to @p to, one end of which is an upstream. Lost
    /// packets are retransmitted and the receiver drops duplicates, so each arrives at most once
    /// and in order. Packets that arrive during a cut are lost.
    void sendOverStream(const endpoint &from, const endpoint &to, byte_view bytes);

    /// Runs @p delivery after the latency unless the two nodes are cut off from each other by then.
    /// Carries messages over peer links.
    void deliver(const endpoint &from, const endpoint &to, std::function<void()> delivery);

    /// Partitions @p a from @p b, each the name of a node or a zone, or "all"; "platform" as @p b
    /// is the platform.
    void cut(const std::string &a, const std::string &b);

    /// Removes the partition between @p a and @p b.
    void heal(const std::string &a, const std::string &b);
    bool isCut(const endpoint &from, const endpoint &to) const;
    bool isCutFromPlatform(const endpoint &address) const;

    /// Sets the probability that a datagram is lost or a stream packet is retransmitted.
    void setLoss(double probability) { m_loss = probability; }
    /// Sets the probability that a datagram is duplicated.
    void setDuplicates(double probability) { m_duplicates = probability; }

    /// Sets the probability that a stream packet is duplicated.
    void setDuplicatesToUpstreams(double probability) { m_duplicatesToUpstreams = probability; }

    /// Adds up to @p jitter, drawn uniformly, to each latency.
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
        std::uint64_t lastDeliveredSequence = 0; ///< packets up to this one are duplicates
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
