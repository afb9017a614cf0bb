// Measures memory, message sizes and time of the control functions of entry hosts, at three sizes
// each.

#include <chrono>
#include <iostream>

#include <malloc.h>

#include "entry/entry_doubles.h"
#include "figstair/core/flow/entry_core.h"
#include "figstair/wire/entry_message.h"

using namespace figstair;

namespace {

constexpr unsigned zoneCount = 23;

std::string zoneName(std::uint64_t number)
{
    return "zone-" + std::to_string(number % zoneCount);
}

record_change upstreamChange(std::uint64_t id)
{
    upstream_record entry;
    entry.id = id;
    entry.address = *parseEndpoint("10.128.0.9:8080");
    entry.service = "service-" + std::to_string(id % 100);
    entry.zone = zoneName(id);
    entry.slots = 4;
    entry.startedAtMs = 1700000000000;
    return changeOf(entry, id);
}

host_record hostRecord(std::uint64_t number)
{
    return host_record{"frontend-" + zoneName(number) + "-" + std::to_string(number),
                       zoneName(number), *parseEndpoint("10.1.0.10:7720"), 1, 100};
}

route_config configWith(std::size_t routes)
{
    route_config config;
    config.version = 1;
    for (std::size_t index = 0; index < routes; ++index) {
        config.routes.push_back(route{"r-" + std::to_string(index),
                                      0xC6120001 + static_cast<std::uint32_t>(index),
                                      443,
                                      {{"service-" + std::to_string(index % 100), 1}},
                                      milliseconds(4000),
                                      milliseconds(250),
                                      1});
    }
    return config;
}

/// A host with an empty view.
struct bare_host
{
    static entry_settings settings()
    {
        entry_settings result;
        result.self = hostRecord(0);
        return result;
    }

    fake_clock clock;
    silent_output output;
    entry_core core{settings(), clock, 1, output};
};

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/// Returns the mean duration of @p what over @p rounds calls.
template <typename action> double meanMicroseconds(unsigned rounds, action what)
{
    const auto start = std::chrono::steady_clock::now();
    for (unsigned round = 0; round < rounds; ++round) {
        what();
    }
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - start;
    return time.count() / rounds;
}

void print(const char *what, std::size_t size, double value, const char *unit)
{
    std::cout << "| " << what << " | " << size << " | " << value << " | " << unit << " |\n";
}

void measureUpstreams(std::size_t count)
{
    bare_host host;
    const std::size_t before = heapBytes();
    for (std::uint64_t id = 1; id <= count; ++id) {
        host.core.onRecordChange(upstreamChange(id));
    }
    host.core.directory().candidates("service-1", 0);
    print("upstream known", count, double(heapBytes() - before) / double(count), "bytes each");
    print("change of one upstream, lists built anew", count,
          meanMicroseconds(20,
                           [&] {
                               host.core.onRecordChange(upstreamChange(5));
                               host.core.directory().candidates("service-1", 0);
                           }),
          "us");
    print("report made", count,
          meanMicroseconds(50,
                           [&] {
                               host.clock.advance(milliseconds(1000));
                               (void)host.core.takeDueReport();
                           }),
          "us");
}

void measureRoutes(std::size_t count)
{
    bare_host host;
    const route_config config = configWith(count);
    record_change change;
    change.content = config;
    const std::size_t before = heapBytes();
    host.core.onRecordChange(change);
    print("route known", count, double(heapBytes() - before) / double(count), "bytes each");
    route_config next = config;
    ++next.version;
    next.routes.back().timeout += milliseconds(1);
    print("patch of one changed route made", count,
          meanMicroseconds(10, [&] { (void)patchBetween(config, next); }), "us");
    view_changes changes;
    change.content = patchBetween(config, next);
    changes.records.push_back(change);
    print("patch of one changed route on the wire", count,
          double(encodeEntryMessage(peer_key{}, changes).size()), "bytes");
}

void measureHosts(std::size_t count)
{
    bare_host host;
    const std::size_t before = heapBytes();
    for (std::uint64_t number = 1; number <= count; ++number) {
        record_change change;
        change.kind = record_kind::host;
        change.name = hostRecord(number).name;
        change.content = hostRecord(number);
        host.core.onRecordChange(change);
    }
    print("host known", count, double(heapBytes() - before) / double(count), "bytes each");
    const peer_roster &roster = host.core.roster();
    print("roster looked through", count,
          meanMicroseconds(20,
                           [&] {
                               host.clock.advance(milliseconds(100));
                               host.core.tick();
                           }),
          "us");
    print("targets of a report", count,
          meanMicroseconds(20, [&] { (void)roster.reportTargets(1); }), "us");
    print("rank of this host", count,
          meanMicroseconds(20, [&] { (void)roster.rankOf(1, host.clock.monotonic()); }), "us");
}

void measureReport(std::size_t rows)
{
    peer_report report;
    report.sender = hostRecord(1);
    for (std::size_t row = 0; row < rows; ++row) {
        report.rows.push_back(load_row{static_cast<std::uint32_t>(row + 1), 1, 0, false});
    }
    const byte_buffer bytes = encodeEntryMessage(peer_key{}, report);
    print("report on the wire", rows, double(bytes.size()), "bytes");
    print("report written", rows,
          meanMicroseconds(2000, [&] { (void)encodeEntryMessage(peer_key{}, report); }), "us");
    print("report read", rows,
          meanMicroseconds(2000, [&] { (void)decodeEntryMessage(peer_key{}, bytes); }), "us");
}

} // namespace

int main()
{
    std::cout << "| what | size | value | unit |\n|---|---|---|---|\n";
    for (const std::size_t count : {730U, 7300U, 73000U}) {
        measureUpstreams(count);
    }
    for (const std::size_t count : {170U, 1700U, 17000U}) {
        measureRoutes(count);
    }
    for (const std::size_t count : {100U, 1000U, 10000U}) {
        measureHosts(count);
    }
    for (const std::size_t rows : {5U, 20U, 80U}) {
        measureReport(rows);
    }
    return 0;
}
