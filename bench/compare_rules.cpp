// Simulates several rules by which hosts share the concurrency limits of upstreams, on the same
// arrivals: hashing only, uncoordinated choice of two, equal shares per host, and one gate per
// upstream, which runs the production admission code. The gate is also simulated while a fraction
// of the requests still reaches the previous gate of each upstream.

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include "benchmark_scene.h"
#include "figstair/core/gate/order_ledger.h"
#include "figstair/core/gate/upstream_gate.h"
#include "figstair/replay/timeline.h"

using namespace bench;

namespace {

constexpr std::size_t upstreamCount = 15;
constexpr std::uint32_t slotsPerUpstream = 4;
constexpr double meanServiceMs = 100;
constexpr milliseconds reportInterval{50};
constexpr milliseconds duration{120000};
constexpr milliseconds budget{300};
constexpr std::uint64_t seed = 1;
constexpr std::size_t callerCount = 500;

/// Totals of one simulation.
struct outcome
{
    std::uint64_t offered = 0;
    std::uint64_t started = 0;
    std::uint64_t overLimit = 0; ///< started while all slots of the upstream were in use
    std::uint64_t refused = 0;
    std::size_t peak = 0; ///< highest concurrency at any upstream
    /// Completed requests by upstream.
    std::vector<std::uint64_t> served = std::vector<std::uint64_t>(upstreamCount);
};

/// Upstreams without admission control: every request starts at once and takes an exponentially
/// distributed time.
class upstream_model
{
public:
    upstream_model(timeline &time, std::mt19937_64 &random, outcome &result)
        : m_time(time)
        , m_random(random)
        , m_result(result)
        , m_running(upstreamCount)
    {
    }

    /// Starts a request; @p done is called when it completes.
    void start(std::size_t upstream, const std::function<void()> &done)
    {
        ++m_result.started;
        m_result.overLimit += m_running[upstream] >= slotsPerUpstream ? 1 : 0;
        ++m_running[upstream];
        m_result.peak = std::max(m_result.peak, m_running[upstream]);
        boost::random::exponential_distribution<> length(1.0 / meanServiceMs);
        m_time.runAfter(milliseconds(static_cast<std::int64_t>(length(m_random)) + 1),
                        [this, upstream, done] {
                            --m_running[upstream];
                            ++m_result.served[upstream];
                            done();
                        });
    }

    std::size_t running(std::size_t upstream) const { return m_running[upstream]; }

private:
    timeline &m_time;
    std::mt19937_64 &m_random;
    outcome &m_result;
    std::vector<std::size_t> m_running;
};

/// A rule by which hosts choose upstreams and admit requests.
class sharing_rule
{
public:
    virtual ~sharing_rule() = default;

    /// Sends a request that arrived at @p host to an upstream or refuses it.
    virtual void place(std::size_t host, std::size_t caller) = 0;

    /// Runs periodic work, every 5 ms.
    virtual void tick() { }
};

/// Draws two different upstreams.
std::pair<std::size_t, std::size_t> drawTwo(std::mt19937_64 &random)
{
    boost::random::uniform_int_distribution<std::size_t> any(0, upstreamCount - 1);
    boost::random::uniform_int_distribution<std::size_t> other(1, upstreamCount - 1);
    const std::size_t first = any(random);
    return {first, (first + other(random)) % upstreamCount};
}

/// Chooses the upstream by a hash of the caller and never refuses.
class hash_only : public sharing_rule
{
public:
    explicit hash_only(upstream_model &upstreams)
        : m_upstreams(upstreams)
    {
    }
    void place(std::size_t, std::size_t caller) override
    {
        const std::uint64_t hash = caller * 0x9E3779B97F4A7C15ULL;
        m_upstreams.start((hash >> 32U) % upstreamCount, [] {});
    }

private:
    upstream_model &m_upstreams;
};

/// Takes the less loaded of two random upstreams according to the last load reports. Choices since
/// the last report, up to reportInterval ago, are not seen.
class uncoordinated_choice : public sharing_rule
{
public:
    uncoordinated_choice(upstream_model &upstreams, timeline &time, std::mt19937_64 &random,
                         outcome &result)
        : m_upstreams(upstreams)
        , m_time(time)
        , m_random(random)
        , m_result(result)
        , m_reported(upstreamCount)
    {
    }
    void place(std::size_t, std::size_t) override
    {
        const auto [a, b] = drawTwo(m_random);
        const std::size_t best = m_reported[a] <= m_reported[b] ? a : b;
        if (m_reported[best] >= slotsPerUpstream) {
            ++m_result.refused;
            return;
        }
        m_upstreams.start(best, [] {});
    }
    void tick() override
    {
        if (m_time.monotonic() < m_nextReport) {
            return;
        }
        m_nextReport = m_time.monotonic() + reportInterval;
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            m_reported[upstream] = m_upstreams.running(upstream);
        }
    }

private:
    upstream_model &m_upstreams;
    timeline &m_time;
    std::mt19937_64 &m_random;
    outcome &m_result;
    std::vector<std::size_t> m_reported;
    monotonic_time m_nextReport{};
};

/// Gives each host a fixed share of all slots; a host uses only its own.
class equal_shares : public sharing_rule
{
public:
    equal_shares(upstream_model &upstreams, std::size_t hosts, std::mt19937_64 &random,
                 outcome &result)
        : m_upstreams(upstreams)
        , m_random(random)
        , m_result(result)
        , m_freeSlots(hosts, std::vector<std::uint32_t>(upstreamCount))
    {
        // A slot belongs to exactly one host; with more hosts than slots some hosts have none.
        for (std::size_t slot = 0; slot < upstreamCount * slotsPerUpstream; ++slot) {
            ++m_freeSlots[slot % hosts][slot / slotsPerUpstream];
        }
    }
    void place(std::size_t host, std::size_t) override
    {
        const auto [a, b] = drawTwo(m_random);
        std::vector<std::uint32_t> &freeSlots = m_freeSlots[host];
        const std::size_t best = freeSlots[a] >= freeSlots[b] ? a : b;
        if (freeSlots[best] == 0) {
            ++m_result.refused;
            return;
        }
        --freeSlots[best];
        m_upstreams.start(best, [&freeSlots, best] { ++freeSlots[best]; });
    }

private:
    upstream_model &m_upstreams;
    std::mt19937_64 &m_random;
    outcome &m_result;
    std::vector<std::vector<std::uint32_t>> m_freeSlots;
};

/// Puts the production upstream_gate in front of each upstream, and a second one, the previous
/// gate, that receives a fraction of the requests.
class gates : public sharing_rule, public gate_sender
{
public:
    gates(upstream_model &upstreams, timeline &time, std::mt19937_64 &random, outcome &result,
          double shareAtOldGate, bool reportsArrive)
        : m_upstreams(upstreams)
        , m_time(time)
        , m_random(random)
        , m_result(result)
        , m_oldGateShare(shareAtOldGate)
        , m_deliversReports(reportsArrive)
    {
        upstream_entry entry;
        entry.weight = 1;
        entry.slots = slotsPerUpstream;
        entry.connections = 100000;
        entry.coldLimit = slotsPerUpstream;
        for (std::size_t index = 0; index < 2 * upstreamCount; ++index) {
            entry.id = static_cast<std::uint32_t>(index);
            m_gates.push_back(std::make_unique<upstream_gate>(
                entry, upstream_gate_settings(), time, m_ledger, *this, m_output, index << 40U));
            m_gates.back()->onReport(upstream_report{1, upstream_phase::ready, 0});
        }
    }

    void place(std::size_t, std::size_t caller) override
    {
        const auto [a, b] = drawTwo(m_random);
        boost::random::uniform_real_distribution<> unitInterval(0, 1);
        const std::size_t gateOffset = unitInterval(m_random) < m_oldGateShare ? upstreamCount : 0;
        upstream_gate *best = m_gates[a + gateOffset].get();
        if (m_gates[b + gateOffset]->load() < best->load()) {
            best = m_gates[b + gateOffset].get();
        }
        work_request request;
        request.caller.port = 1;
        request.callerHash = caller;
        request.key = order_key{caller, ++m_requestId};
        request.budget = budget;
        best->submit(std::move(request));
    }

    void tick() override
    {
        for (const auto &gate : m_gates) {
            gate->tick();
        }
    }

    void sendToUpstream(const upstream_entry &upstream, const datagram &message) override
    {
        upstream_gate *gate = m_gates[upstream.id].get();
        const std::size_t index = upstream.id % upstreamCount;
        if (message.type == datagram_type::probe) {
            m_time.runAfter(milliseconds(1),
                            [this, gate, index] { gate->onReport(report(index)); });
            return;
        }
        if (message.type != datagram_type::upstreamRequest) {
            return;
        }
        m_upstreams.start(index, [this, gate, index, id = message.requestId] {
            datagram answer;
            answer.type = datagram_type::answer;
            answer.requestId = id;
            answer.partTotal = 1;
            answer.hasReport = m_deliversReports;
            answer.report = report(index);
            gate->onAnswer(answer);
        });
    }
    void sendToCaller(const endpoint &, const datagram &message) override
    {
        m_result.refused += message.type == datagram_type::refusal ? 1 : 0;
    }
    byte_buffer renewedToken(const work_request &, std::uint32_t) override { return {}; }

private:
    upstream_report report(std::size_t index) const
    {
        const std::size_t running = m_deliversReports ? m_upstreams.running(index) : 0;
        return upstream_report{1, upstream_phase::ready, static_cast<std::uint32_t>(running)};
    }

    upstream_model &m_upstreams;
    timeline &m_time;
    std::mt19937_64 &m_random;
    outcome &m_result;
    double m_oldGateShare;
    bool m_deliversReports;
    counting_output m_output;
    order_ledger m_ledger{1, 1};
    std::vector<std::unique_ptr<upstream_gate>> m_gates;
    std::uint64_t m_requestId = 0;
};

using rule_maker = std::function<std::unique_ptr<sharing_rule>(
    upstream_model &, timeline &, std::mt19937_64 &, outcome &, std::size_t hosts)>;

outcome run(const rule_maker &make, double load, std::size_t hosts)
{
    timeline time;
    std::mt19937_64 arrivals(seed);
    std::mt19937_64 random(seed + 1);
    outcome result;
    upstream_model upstreams(time, random, result);
    const auto rule = make(upstreams, time, random, result, hosts);
    boost::random::exponential_distribution<> interarrivalTime(load * upstreamCount
                                                               * slotsPerUpstream / meanServiceMs);
    boost::random::uniform_int_distribution<std::size_t> anyHost(0, hosts - 1);
    boost::random::uniform_int_distribution<std::size_t> anyCaller(0, callerCount - 1);
    const monotonic_time end = time.monotonic() + duration;
    double nextArrivalMs = 0;
    const monotonic_time begin = time.monotonic();
    while (time.monotonic() < end) {
        time.runUntil(time.monotonic() + milliseconds(5));
        rule->tick();
        const auto elapsed = static_cast<double>((time.monotonic() - begin).count());
        while (nextArrivalMs < elapsed) {
            nextArrivalMs += interarrivalTime(arrivals);
            ++result.offered;
            rule->place(anyHost(arrivals), anyCaller(arrivals));
        }
    }
    return result;
}

void printRow(const std::string &name, std::size_t hosts, double load, const outcome &result)
{
    const double totalServed = [&] {
        double total = 0;
        for (const std::uint64_t served : result.served) {
            total += static_cast<double>(served);
        }
        return total;
    }();
    const auto maxServed =
        static_cast<double>(*std::max_element(result.served.begin(), result.served.end()));
    const auto percent = [](std::uint64_t part, std::uint64_t whole) {
        return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
    };
    std::cout << "| " << name << " | " << hosts << " | " << load << " | " << std::fixed
              << std::setprecision(1) << percent(result.overLimit, result.started) << "% | "
              << percent(result.refused, result.offered) << "% | "
              << static_cast<double>(result.peak) / slotsPerUpstream << " | "
              << std::setprecision(2)
              << (totalServed > 0 ? maxServed * upstreamCount / totalServed : 0) << " |\n"
              << std::defaultfloat;
}

} // namespace

int main()
{
    const std::vector<std::pair<std::string, rule_maker>> rules{
        {"hash only",
         [](upstream_model &upstreams, timeline &, std::mt19937_64 &, outcome &, std::size_t) {
             return std::make_unique<hash_only>(upstreams);
         }},
        {"uncoordinated choice of two",
         [](upstream_model &upstreams, timeline &time, std::mt19937_64 &random, outcome &result,
            std::size_t) {
             return std::make_unique<uncoordinated_choice>(upstreams, time, random, result);
         }},
        {"equal shares",
         [](upstream_model &upstreams, timeline &, std::mt19937_64 &random, outcome &result,
            std::size_t hosts) {
             return std::make_unique<equal_shares>(upstreams, hosts, random, result);
         }},
        {"gate",
         [](upstream_model &upstreams, timeline &time, std::mt19937_64 &random, outcome &result,
            std::size_t) {
             return std::make_unique<gates>(upstreams, time, random, result, 0.0, true);
         }},
        {"gate, 20% at an old gate, reports ignored",
         [](upstream_model &upstreams, timeline &time, std::mt19937_64 &random, outcome &result,
            std::size_t) {
             return std::make_unique<gates>(upstreams, time, random, result, 0.2, false);
         }},
        {"gate, 20% at an old gate",
         [](upstream_model &upstreams, timeline &time, std::mt19937_64 &random, outcome &result,
            std::size_t) {
             return std::make_unique<gates>(upstreams, time, random, result, 0.2, true);
         }}};
    std::cout << "| rule | hosts | offered load | started over the limit | refused | peak over "
                 "slots | most over mean served |\n|---|---|---|---|---|---|---|\n";
    for (const double load : {0.7, 2.0}) {
        for (const auto &[name, make] : rules) {
            for (const std::size_t hosts : {9, 435}) {
                printRow(name, hosts, load, run(make, load, hosts));
            }
        }
    }
    return 0;
}
