#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figstair/core/clock_source.h"
#include "figstair/core/gate/flow_token.h"
#include "figstair/core/gate/host_output.h"
#include "figstair/core/gate/membership.h"
#include "figstair/table/table.h"

namespace bench {

using namespace figstair;

constexpr std::size_t zoneCount = 23;
constexpr std::size_t upstreamsPerService = 4;
constexpr peer_key secret{1, 2, 3, 4};

/// Manually advanced clock.
class bench_clock : public clock_source
{
public:
    monotonic_time monotonic() const override { return now; }
    wall_time wall() const override
    {
        return wall_time(milliseconds(1700000000000)) + (now - monotonic_time());
    }
    monotonic_time now{milliseconds(1000)};
};

/// Counts the datagrams and bytes that a host sends, and discards them.
class counting_output : public host_output, public membership_output
{
public:
    void sendDatagram(const endpoint &, byte_view view) override
    {
        ++datagrams;
        bytes += view.size();
    }
    void sendToUpstream(const endpoint &upstream, byte_view view) override
    {
        sendDatagram(upstream, view);
    }
    void requestMembers(const member &, const member_slice &) override { }
    void requestTable(const member &, std::uint64_t) override { }
    void sendHandover(const member &, const order_handover &) override { }
    void logEvent(std::string_view, event_fields) override { }
    void count(counter, std::uint64_t) override { }
    void observe(distribution, milliseconds) override { }
    void recordSpan(const span_record &) override { }
    void sendGossip(datagram_type type, std::uint64_t sequence, const endpoint &to,
                    gossip_message &message) override;

    /// Acknowledges to @p members all pings that it sent since the last call.
    void answerPings(membership &members);

    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;

private:
    std::vector<std::pair<std::uint64_t, endpoint>> m_pings;
};

/// Name of the availability zone of host or upstream @p index.
std::string zoneName(std::size_t index);
/// Returns 10.x.y.z:@p port, unique for each @p index below 2^24.
endpoint addressOf(std::size_t index, std::uint16_t port);

/// Returns the rows of a table with @p upstreams upstreams, their services and zones, and one
/// flow-token key, which is the last row.
std::vector<table_row> makeRows(std::size_t upstreams);

/// Returns a table with the rows of makeRows().
table makeTable(std::size_t upstreams);

/// Returns the member records of @p count hosts, distributed evenly over the zones.
std::vector<member> makeMembers(std::size_t count);

/// Returns the heap memory that this process uses, in bytes.
std::size_t allocatedBytes();

} // namespace bench
