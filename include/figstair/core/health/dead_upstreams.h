#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/view/upstream_directory.h"

namespace figstair {

/// Judges which upstreams are dead, by data on open flows that they did not acknowledge.
///
/// Load pattern: upstreams stop answering while flows that carry many requests are open to them.
/// Callers get nothing on such a flow and would wait until their deadline.
///
/// The evidence has to be such that no busy, slow, cold or draining upstream gives it. An upstream
/// acknowledges data before it works on it, whatever its load, so missing acknowledgements count.
/// Unanswered SYNs do not: an upstream with all its connections in use sends nothing. One host
/// alone proves nothing either, since its own links may be down. Any later answer of the upstream
/// ends the evidence against it.
class dead_upstreams
{
public:
    /// The host @p observer (a hash of its name) saw data that the upstream did not acknowledge.
    void onUnacknowledged(upstream_index upstream, std::uint64_t observer, monotonic_time now);

    /// The same for a packet that this host, @p self, forwarded at @p sentAt: each one that is not
    /// acknowledged counts, while the reports of another host count as one.
    void onUnacknowledgedHere(upstream_index upstream, std::uint64_t self, monotonic_time sentAt,
                              monotonic_time now);

    /// The upstream answered through any host at about @p when.
    void onAnswered(upstream_index upstream, monotonic_time when);

    /// Forgets the evidence: the upstream restarted, or its index now names another one.
    void reset(upstream_index upstream) { m_records.erase(upstream); }

    /// Forgets all evidence: answers may have been missed.
    void clear() { m_records.clear(); }

    /// Removes evidence that is too old to matter, and returns the upstreams that count as dead
    /// since the last call.
    std::vector<upstream_index> advance(monotonic_time now);

    /// Ends the verdict on upstreams that left no data unacknowledged since @p before. Their
    /// evidence stays, and several hosts have to agree again.
    void endVerdicts(monotonic_time before);

    /// Whether enough packets were lost at the upstream since its last answer, some of them
    /// recently seen by another host than @p self, that they are no losses of the network.
    bool isConfirmedByPeers(upstream_index upstream, std::uint64_t self, monotonic_time now) const;

    /// Whether any host saw unacknowledged data since the last answer.
    bool hasUnacknowledged(upstream_index upstream) const;

    /// Whether several hosts agreed, at the last advance(), for long enough that the upstream
    /// acknowledges nothing. Stays true until it answers or restarts, or until endVerdicts().
    bool isDead(upstream_index upstream) const;

    /// Upstreams that @p observer saw leave data unacknowledged at or after @p since, with no
    /// answer after it; at most @p maxCount.
    std::vector<upstream_index> observedBy(std::uint64_t observer, monotonic_time since,
                                           std::size_t maxCount) const;

    /// Unacknowledged data of one upstream that one host saw, without an answer since.
    struct observation
    {
        std::uint64_t observer = 0;
        monotonic_time firstAt{}; ///< zero: no observation
        monotonic_time lastAt{};
        /// When the latest packet was forwarded. For another host, which repeats its reports, when
        /// it first reported.
        monotonic_time sentAt{};
        unsigned packets = 0; ///< known to be unacknowledged; 1 for another host
    };

    /// Calls @p visit with the upstream and the observation, for each one.
    template <typename visitor> void forEachObservation(visitor visit) const
    {
        for (const auto &[upstream, item] : m_records) {
            for (const observation &seen : item.observations) {
                if (seen.firstAt != monotonic_time{}) {
                    visit(upstream, seen);
                }
            }
        }
    }

    std::size_t size() const { return m_records.size(); }

private:
    /// Hosts kept for each upstream. More than are needed, so that old ones do not displace new
    /// ones.
    static constexpr std::size_t maxObservers = 8;

    struct record
    {
        std::array<observation, maxObservers> observations;
        bool isDead = false;
    };

    record *recordFor(upstream_index upstream);
    observation *noteUnacknowledged(upstream_index upstream, std::uint64_t observer,
                                    monotonic_time now);
    static bool isConclusive(const record &item, monotonic_time now);

    std::unordered_map<upstream_index, record> m_records;
};

} // namespace figstair
