// Benchmarks of the operations of a host, and of how their cost scales with the size of the system.

#include <benchmark/benchmark.h>
#include <boost/leaf.hpp>

#include "benchmark_scene.h"
#include "figstair/core/gate/gate_map.h"
#include "figstair/core/gate/order_ledger.h"
#include "figstair/core/gate/placement.h"
#include "figstair/core/gate/upstream_gate.h"
#include "figstair/table/edit.h"
#include "figstair/wire/gossip_codec.h"

namespace leaf = boost::leaf;
using namespace bench;

namespace {

flow_token sampleToken()
{
    return flow_token{3, 17, 99, wall_time(milliseconds(1700000000000)), 42, 7};
}

/// Flow-token keys of a small table and a token minted with them.
struct keys_scene
{
    keys_scene()
        : rows(makeTable(4))
        , keys(secret, milliseconds(0))
    {
        keys.update(rows);
        token = keys.mint(sampleToken(), wall_time(milliseconds(1700000000000)));
    }

    table rows;
    token_keys keys;
    flow_token_bytes token{};
};

/// Discards everything that a gate sends; remembers the ID of the last message to an upstream.
class silent_sender : public gate_sender
{
public:
    void sendToUpstream(const upstream_entry &, const datagram &message) override
    {
        lastWork = message.requestId;
    }
    void sendToCaller(const endpoint &, const datagram &) override { }
    byte_buffer renewedToken(const work_request &, std::uint32_t) override { return {}; }

    std::uint64_t lastWork = 0;
};

void mintToken(benchmark::State &state)
{
    const keys_scene scene;
    for (auto _ : state) {
        benchmark::DoNotOptimize(
            scene.keys.mint(sampleToken(), wall_time(milliseconds(1700000000000))));
    }
}
BENCHMARK(mintToken);

void checkToken(benchmark::State &state)
{
    const keys_scene scene;
    for (auto _ : state) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(token, scene.keys.verify(scene.token));
                benchmark::DoNotOptimize(token);
                return {};
            },
            [] {});
    }
}
BENCHMARK(checkToken);

datagram sampleRequest(const keys_scene &scene, byte_view payload)
{
    datagram message;
    message.type = datagram_type::forwardRequest;
    message.requestId = 0x1122334455667788ULL;
    message.token = scene.token;
    message.budgetMs = 3000;
    message.caller = addressOf(5, 4000);
    message.hopsLeft = 3;
    message.traceId = 1;
    message.payload = payload;
    return message;
}

void routePacket(benchmark::State &state)
{
    // Work of a receiving host for each request: decode it, verify the token, look up the upstream
    // and its gate, encode the request for the gate and sign it.
    const std::size_t hosts = 10000;
    const std::size_t upstreams = static_cast<std::size_t>(state.range(0));
    bench_clock clock;
    counting_output output;
    const table rows = makeTable(upstreams);
    std::vector<member> hostsList = makeMembers(hosts);
    membership members(hostsList.front(), membership_settings(), clock, 1, output);
    members.mergeMembers(hostsList);
    const gate_map gates(members, rows);
    const keys_scene scene;
    const byte_buffer payload(200, 'x');
    byte_buffer packet;
    encodeDatagram(sampleRequest(scene, payload), packet);
    std::uint32_t id = 0;
    const auto services = static_cast<std::uint32_t>(rows.services().size());
    for (auto _ : state) {
        std::size_t consumed = 0;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message, decodeDatagram(packet, consumed));
                BOOST_LEAF_AUTO(token, scene.keys.verify(message.token));
                benchmark::DoNotOptimize(token);
                id = (id + 1) % static_cast<std::uint32_t>(upstreams);
                const member *gate = gates.gateOf(*rows.upstream(services + 1 + id));
                byte_buffer out;
                out.reserve(maxDatagramBytes);
                encodeDatagram(message, out);
                signPeerDatagram(secret, out);
                benchmark::DoNotOptimize(gate);
                benchmark::DoNotOptimize(out.data());
                return {};
            },
            [] {});
    }
}
BENCHMARK(routePacket)->Arg(730)->Arg(7300)->Arg(73000);

void chooseGateAnew(benchmark::State &state)
{
    bench_clock clock;
    counting_output output;
    const table rows = makeTable(7300);
    std::vector<member> hostsList = makeMembers(static_cast<std::size_t>(state.range(0)));
    membership members(hostsList.front(), membership_settings(), clock, 1, output);
    members.mergeMembers(hostsList);
    const auto services = static_cast<std::uint32_t>(rows.services().size());
    std::uint32_t id = 0;
    auto gates = std::make_unique<gate_map>(members, rows);
    for (auto _ : state) {
        id = (id + 1) % 7300;
        if (id == 0) {
            gates = std::make_unique<gate_map>(members, rows);
        }
        benchmark::DoNotOptimize(gates->gateOf(*rows.upstream(services + 1 + id)));
    }
}
BENCHMARK(chooseGateAnew)->Arg(100)->Arg(1000)->Arg(10000);

void drawCandidates(benchmark::State &state)
{
    bench_clock clock;
    counting_output output;
    const table rows = makeTable(static_cast<std::size_t>(state.range(0)));
    std::vector<member> hostsList = makeMembers(100);
    membership members(hostsList.front(), membership_settings(), clock, 1, output);
    members.mergeMembers(hostsList);
    const placement places(rows, members);
    std::mt19937_64 random(1);
    const auto services = static_cast<std::uint32_t>(rows.services().size());
    std::uint32_t id = 0;
    for (auto _ : state) {
        id = id % services + 1;
        benchmark::DoNotOptimize(places.draw(*rows.service(id), 4, random));
    }
}
BENCHMARK(drawCandidates)->Arg(730)->Arg(73000);

void admitAndAnswer(benchmark::State &state)
{
    bench_clock clock;
    counting_output output;
    silent_sender sender;
    order_ledger ledger(1000, 1000);
    const table rows = makeTable(4);
    upstream_gate gate(*rows.upstream(2), upstream_gate_settings(), clock, ledger, sender, output,
                       1);
    gate.onReport(upstream_report{1, upstream_phase::ready, 0});
    const byte_buffer payload(200, 'x');
    std::uint64_t id = 0;
    for (auto _ : state) {
        work_request request;
        request.callerHash = id % 50;
        request.key = order_key{id % 1000, ++id};
        request.service = "service-0";
        request.budget = milliseconds(1000);
        request.payload = payload;
        gate.submit(std::move(request));
        datagram answer;
        answer.type = datagram_type::answer;
        answer.requestId = sender.lastWork;
        answer.partTotal = 1;
        answer.payload = payload;
        gate.onAnswer(answer);
    }
}
BENCHMARK(admitAndAnswer);

void applyOneEdit(benchmark::State &state)
{
    table rows = makeTable(static_cast<std::size_t>(state.range(0)));
    const std::vector<table_row> all = makeRows(static_cast<std::size_t>(state.range(0)));
    table_edit edit;
    edit.editId = "e";
    edit.changes.push_back(row_change{false, all[all.size() - 2]});
    for (auto _ : state) {
        edit.revision = rows.revision() + 1;
        edit.parentDigest = rows.digest();
        edit.changes[0].row.weight = edit.changes[0].row.weight % 9 + 1;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(rows.apply(edit));
                return {};
            },
            [] {});
    }
    state.counters["edit_bytes"] = static_cast<double>(encodeEdit(edit).size());
}
BENCHMARK(applyOneEdit)->Arg(730)->Arg(73000);

void restoreTable(benchmark::State &state)
{
    const std::vector<table_row> rows = makeRows(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        table result;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(result.restore(1, "d", rows));
                return {};
            },
            [] {});
        benchmark::DoNotOptimize(result);
    }
}
BENCHMARK(restoreTable)->Arg(7300)->Arg(73000)->Unit(benchmark::kMillisecond);

void addOrderRecord(benchmark::State &state)
{
    order_ledger ledger(static_cast<std::size_t>(1) << 30U, 1000);
    std::uint64_t id = 0;
    for (auto _ : state) {
        ++id;
        ledger.add(order_key{id, id}, 1, order_state::notRun,
                   wall_time(milliseconds(static_cast<std::int64_t>(id))));
        if (id > 40000) {
            ledger.expire(wall_time(milliseconds(static_cast<std::int64_t>(id - 40000))));
        }
    }
}
BENCHMARK(addOrderRecord);

gossip_message sampleGossip()
{
    gossip_message message;
    message.sender = "host-1";
    message.tableDigest = std::string(32, 'd');
    const std::vector<member> members = makeMembers(7);
    message.updates.assign(members.begin(), members.end());
    return message;
}

void encodeGossipMessage(benchmark::State &state)
{
    const gossip_message message = sampleGossip();
    for (auto _ : state) {
        benchmark::DoNotOptimize(encodeGossip(message));
    }
    state.counters["bytes"] = static_cast<double>(encodeGossip(message).size());
}
BENCHMARK(encodeGossipMessage);

void decodeGossipMessage(benchmark::State &state)
{
    const byte_buffer bytes = encodeGossip(sampleGossip());
    for (auto _ : state) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message, decodeGossip(bytes));
                benchmark::DoNotOptimize(message);
                return {};
            },
            [] {});
    }
}
BENCHMARK(decodeGossipMessage);

void memberChange(benchmark::State &state)
{
    // The record of one host changes; everything derived from the records is rebuilt.
    bench_clock clock;
    counting_output output;
    std::vector<member> hostsList = makeMembers(static_cast<std::size_t>(state.range(0)));
    membership members(hostsList.front(), membership_settings(), clock, 1, output);
    members.mergeMembers(hostsList);
    for (auto _ : state) {
        member &changed = hostsList[1 + state.iterations() % (hostsList.size() - 1)];
        ++changed.refutation;
        members.mergeMembers({changed});
        benchmark::DoNotOptimize(members.eligible(changed.zone));
    }
}
BENCHMARK(memberChange)->Arg(100)->Arg(1000)->Arg(10000);

void membershipSecond(benchmark::State &state)
{
    // One second of membership ticks on a host while no member changes.
    bench_clock clock;
    counting_output output;
    std::vector<member> hostsList = makeMembers(static_cast<std::size_t>(state.range(0)));
    membership members(hostsList.front(), membership_settings(), clock, 1, output);
    members.mergeMembers(hostsList);
    std::uint64_t seconds = 0;
    for (auto _ : state) {
        for (int tick = 0; tick < 50; ++tick) {
            clock.now += milliseconds(20);
            members.tick();
            output.answerPings(members);
        }
        ++seconds;
    }
    state.counters["bytes_per_second"] =
        static_cast<double>(output.bytes) / static_cast<double>(seconds);
    state.counters["datagrams_per_second"] =
        static_cast<double>(output.datagrams) / static_cast<double>(seconds);
}
BENCHMARK(membershipSecond)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(20);

} // namespace

BENCHMARK_MAIN();
