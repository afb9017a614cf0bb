#include "fuzz/fuzzed_host.h"

namespace figstair {
namespace {

constexpr std::uint64_t listedRevision = 100;

entry_settings settings()
{
    entry_settings result;
    result.self = host_record{"h1", "near", {}, 1};
    result.maxFlows = 64;
    return result;
}

/// A route to a service with an upstream in each of two zones, and another host.
std::vector<record_change> listing()
{
    route_config config;
    config.version = 1;
    config.routes.push_back(route{"r",
                                  fuzzed_host::routeAddress,
                                  fuzzed_host::routePort,
                                  {{"desk", 1}},
                                  milliseconds(4000),
                                  milliseconds(250),
                                  0});
    record_change configChange;
    configChange.revision = 50;
    configChange.content = config;
    std::vector<record_change> records{configChange};
    for (const std::uint64_t id : {1, 2}) {
        upstream_record upstream;
        upstream.id = id;
        upstream.service = "desk";
        upstream.zone = id == 1 ? "near" : "far";
        upstream.slots = 2;
        upstream.startedAtMs = 1;
        records.push_back(changeOf(upstream, 50 + id));
    }
    record_change host;
    host.kind = record_kind::host;
    host.name = "h2";
    host.revision = 60;
    host.content = host_record{"h2", "far", endpoint{}, 1};
    records.push_back(host);
    return records;
}

} // namespace

/// Answers the first listing; no other call is ever answered.
class fuzzed_host::silent_store : public fleet_store
{
public:
    void list(store_handler<store_records> handler) override
    {
        if (!m_isListed) {
            m_isListed = true;
            handler(store_records{listing(), listedRevision});
        }
    }
    void watch(std::uint64_t, milliseconds, store_handler<store_records>) override { }
    void grantLease(milliseconds, store_handler<std::uint64_t>) override { }
    void renewLease(std::uint64_t, store_handler<std::monostate>) override { }
    void endLease(std::uint64_t, store_handler<std::monostate>) override { }
    void announce(const host_record &, std::uint64_t, store_handler<std::monostate>) override { }
    void offerKey(const shared_key &, store_handler<std::monostate>) override { }
    void markEvacuated(const std::string &, store_handler<std::monostate>) override { }
    void removeEvacuationMark(const std::string &, store_handler<std::monostate>) override { }
    std::uint64_t epoch() const override { return 0; }
    std::uint64_t takeCallCount() override { return 0; }

private:
    bool m_isListed = false;
};

/// Encodes what would be sent.
class fuzzed_host::silent_environment : public store_session::environment
{
public:
    void relay(const entry_message &message) override
    {
        encodeEntryMessage(fuzzed_host::key, message);
    }
    void sendToPeer(const endpoint &, const entry_message &message) override { relay(message); }
    void sendUnsigned(const endpoint &, const unsigned_message &message) override
    {
        encodeUnsigned(message);
    }
    peer_key key() const override { return fuzzed_host::key; }
    void adoptKey(const peer_key &) override { }
    void logEvent(std::string_view, event_fields) override { }
    void count(entry_counter, std::uint64_t) override { }
    void observe(entry_distribution, milliseconds) override { }
};

fuzzed_host::fuzzed_host()
    : m_core(settings(), m_clock, 1, m_output)
    , m_environment(std::make_unique<silent_environment>())
    , m_session(std::make_unique<store_session>(
          std::make_unique<silent_store>(), m_core, m_clock, settings().self, milliseconds(30000),
          std::vector<endpoint>{endpoint{}}, 1, *m_environment))
{
    m_session->tick();
    advance(milliseconds(1500));
}

fuzzed_host::~fuzzed_host() = default;

void fuzzed_host::advance(milliseconds time)
{
    constexpr milliseconds step{50};
    for (milliseconds passed{0}; passed < time; passed += step) {
        m_clock.advance(step);
        m_core.tick();
        m_session->tick();
        if (const auto report = m_core.takeDueReport()) {
            encodeEntryMessage(key, report->report);
        }
    }
}

void fuzzed_host::open(std::uint16_t port)
{
    flow_packet packet;
    packet.flow = flow_id{0x7F000001, routeAddress, port, routePort};
    packet.isSyn = true;
    packet.sequence = 1;
    const byte_buffer bytes{1};
    m_core.onPacket(packet, bytes);
}

void fuzzed_host::work()
{
    constexpr std::uint16_t callers = 12;
    for (std::uint16_t port = 1; port <= callers; ++port) {
        open(port);
    }
    advance(milliseconds(500));
    m_session->onPull(view_pull{listedRevision, endpoint{}});
    encodeUnsigned(view_snapshot{1, key, m_session->feed().position().revision, milliseconds(0),
                                 m_core.snapshot()});
}

} // namespace figstair
