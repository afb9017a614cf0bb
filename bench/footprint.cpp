// Measures the memory of a host's state and the size of the messages that transfer it, for several
// numbers of items. Each line of output has: measurement, number of items, bytes, bytes per item.

#include <iostream>
#include <memory>

#include "benchmark_scene.h"
#include "figstair/core/gate/gate_map.h"
#include "figstair/core/gate/order_ledger.h"
#include "figstair/core/gate/upstream_gate.h"
#include "figstair/peer/peer_message.h"
#include "figstair/wire/gossip_codec.h"

using namespace bench;

namespace {

void print(const std::string &what, std::size_t size, std::size_t bytes)
{
    std::cout << what << " " << size << " " << bytes << " "
              << static_cast<double>(bytes) / static_cast<double>(size) << "\n";
}

/// Returns the growth of the heap, in bytes, while @p make runs. The caller keeps the objects that
/// @p make creates.
template <typename maker> std::size_t heapGrowth(maker make)
{
    const std::size_t before = allocatedBytes();
    make();
    return allocatedBytes() - before;
}

/// Discards everything that a gate sends.
class silent_sender : public gate_sender
{
public:
    void sendToUpstream(const upstream_entry &, const datagram &) override { }
    void sendToCaller(const endpoint &, const datagram &) override { }
    byte_buffer renewedToken(const work_request &, std::uint32_t) override { return {}; }
};

void measureTable(std::size_t upstreams)
{
    table rows;
    std::vector<table_row> all = makeRows(upstreams);
    const std::size_t bytes = heapGrowth([&] { rows = makeTable(upstreams); });
    print("table_upstreams", upstreams, bytes);
    table_reply reply;
    reply.isSnapshot = true;
    reply.rows = std::move(all);
    print("table_snapshot_message", upstreams, encodePeerMessage(secret, reply).size());
}

void measureMembers(std::size_t hosts, const bench_clock &clock, counting_output &output)
{
    const std::vector<member> list = makeMembers(hosts);
    std::unique_ptr<membership> members;
    const std::size_t bytes = heapGrowth([&] {
        members =
            std::make_unique<membership>(list.front(), membership_settings(), clock, 1, output);
        members->mergeMembers(list);
        members->eligible(list.front().zone);
    });
    print("members", hosts, bytes);
    print("members_message", hosts, encodeMembers(list).size());
}

void measureGateMap(std::size_t upstreams, const bench_clock &clock, counting_output &output)
{
    const table rows = makeTable(upstreams);
    const std::vector<member> list = makeMembers(100);
    membership members(list.front(), membership_settings(), clock, 1, output);
    members.mergeMembers(list);
    gate_map gates(members, rows);
    const std::size_t bytes = heapGrowth([&] {
        for (const auto &[id, upstream] : rows.upstreams()) {
            gates.gateOf(upstream);
        }
    });
    print("gate_map_upstreams", upstreams, bytes);
}

void measureLedger(std::size_t records)
{
    order_ledger ledger(records, std::size_t{1} << 30U);
    const byte_buffer payload(100, 'x');
    const std::size_t bytes = heapGrowth([&] {
        for (std::size_t index = 0; index < records; ++index) {
            order_record *record =
                ledger.add(order_key{index, index}, 1, order_state::answered,
                           wall_time(milliseconds(static_cast<std::int64_t>(index))));
            ledger.storePart(*record, 0, payload);
        }
    });
    print("order_records", records, bytes);
    const order_handover batch{{1}, 1, ledger.settledRecords(1)};
    print("handover_message", records, encodePeerMessage(secret, batch).size());
}

void measureFlows(std::size_t flows, const bench_clock &clock, counting_output &output)
{
    silent_sender sender;
    order_ledger ledger(1, 1);
    const table rows = makeTable(4);
    upstream_gate gate(*rows.upstream(2), upstream_gate_settings(), clock, ledger, sender, output,
                       1);
    const std::size_t bytes = heapGrowth([&] {
        for (std::size_t index = 0; index < flows; ++index) {
            gate.addFlow(index);
        }
    });
    print("flows_at_gate", flows, bytes);
}

} // namespace

int main()
{
    const bench_clock clock;
    counting_output output;
    for (const std::size_t size : {73000, 7300}) {
        measureTable(size);
        measureGateMap(size, clock, output);
    }
    for (const std::size_t size : {10000, 1000}) {
        measureMembers(size, clock, output);
    }
    for (const std::size_t size : {60000, 6000}) {
        measureLedger(size);
    }
    for (const std::size_t size : {200000, 20000}) {
        measureFlows(size, clock, output);
    }
    return 0;
}
