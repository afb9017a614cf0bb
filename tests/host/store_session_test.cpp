#include "figstair/host/store_session.h"

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"
#include "errors.h"

using namespace figstair;

namespace {

/// A store whose replies are given by the test.
class scripted_store : public fleet_store
{
public:
    void list(store_handler<store_records> handler) override
    {
        lists.push_back(std::move(handler));
    }
    void watch(std::uint64_t revision, milliseconds, store_handler<store_records> handler) override
    {
        watchedAfter.push_back(revision);
        watches.push_back(std::move(handler));
    }
    void grantLease(milliseconds, store_handler<std::uint64_t> handler) override
    {
        grants.push_back(std::move(handler));
    }
    void renewLease(std::uint64_t, store_handler<std::monostate> handler) override
    {
        renewals.push_back(std::move(handler));
    }
    void endLease(std::uint64_t lease, store_handler<std::monostate>) override
    {
        endedLeases.push_back(lease);
    }
    void announce(const host_record &, std::uint64_t lease,
                  store_handler<std::monostate> handler) override
    {
        announcementLeases.push_back(lease);
        announcements.push_back(std::move(handler));
    }
    void offerKey(const shared_key &key, store_handler<std::monostate> handler) override
    {
        offeredKeys.push_back(key);
        offers.push_back(std::move(handler));
    }
    void markEvacuated(const std::string &zone, store_handler<std::monostate> handler) override
    {
        markedZones.push_back(zone);
        markCalls.push_back(std::move(handler));
    }
    void removeEvacuationMark(const std::string &zone,
                              store_handler<std::monostate> handler) override
    {
        unmarkedZones.push_back(zone);
        markCalls.push_back(std::move(handler));
    }
    std::uint64_t epoch() const override { return storeEpoch; }
    std::uint64_t takeCallCount() override { return 0; }

    std::uint64_t storeEpoch = 0; ///< that answers state
    std::vector<store_handler<store_records>> lists;
    std::vector<store_handler<store_records>> watches;
    std::vector<std::uint64_t> watchedAfter;
    std::vector<store_handler<std::uint64_t>> grants;
    std::vector<store_handler<std::monostate>> renewals;
    std::vector<store_handler<std::monostate>> announcements;
    std::vector<store_handler<std::monostate>> offers;
    std::vector<shared_key> offeredKeys;
    std::vector<std::string> markedZones;
    std::vector<std::string> unmarkedZones;
    std::vector<store_handler<std::monostate>> markCalls; ///< of both kinds
    std::vector<std::uint64_t> announcementLeases;
    std::vector<std::uint64_t> endedLeases;
};

class recording_environment : public store_session::environment
{
public:
    void relay(const entry_message &message) override { relayed.push_back(message); }
    void sendToPeer(const endpoint &to, const entry_message &message) override
    {
        lastPeer = to;
        sentToPeers.push_back(message);
    }
    void sendUnsigned(const endpoint &to, const unsigned_message &message) override
    {
        unsignedTargets.push_back(to);
        unsignedSent.push_back(message);
    }
    peer_key key() const override { return peer_key{7}; }
    void adoptKey(const peer_key &key) override { keys.push_back(key); }
    void logEvent(std::string_view name, event_fields) override { events.emplace_back(name); }
    void count(entry_counter which, std::uint64_t amount) override { counts[which] += amount; }
    void observe(entry_distribution, milliseconds) override { }

    std::vector<entry_message> relayed;
    std::vector<entry_message> sentToPeers;
    endpoint lastPeer;
    std::vector<endpoint> unsignedTargets;
    std::vector<unsigned_message> unsignedSent;
    std::vector<peer_key> keys;
    std::vector<std::string> events;
    std::map<entry_counter, std::uint64_t> counts;
};

record_change upstreamChange(std::uint64_t id, std::uint64_t revision, bool isRemoved = false)
{
    upstream_record entry;
    entry.id = id;
    entry.service = "desk";
    entry.zone = "z";
    record_change change = changeOf(entry, revision);
    if (isRemoved) {
        change.content = record_change::removed{};
    }
    return change;
}

struct session_with_store
{
    session_with_store()
    {
        settings.self = host_record{"h1", "z", {}, 1};
        core = std::make_unique<entry_core>(settings, clock, 1, output);
        auto owned = std::make_unique<scripted_store>();
        store = owned.get();
        session = std::make_unique<store_session>(std::move(owned), *core, clock, settings.self,
                                                  milliseconds(30000), seeds, 1, environment);
        session->tick();
    }

    /// Answers the first listing and waits until the host watches for changes.
    void start(std::uint64_t revision, std::vector<record_change> records)
    {
        answerList(revision, std::move(records));
        advance(1300);
        REQUIRE(store->watches.size() == 1);
    }
    void answerList(std::uint64_t revision, std::vector<record_change> records)
    {
        REQUIRE_FALSE(store->lists.empty());
        const auto handler = std::exchange(store->lists.back(), {});
        handler(store_records{std::move(records), revision, store->storeEpoch});
    }
    void answerWatch(std::uint64_t revision, std::vector<record_change> records)
    {
        const auto handler = std::exchange(store->watches.back(), {});
        handler(store_records{std::move(records), revision, store->storeEpoch});
        advance(300);
    }
    void failWatch(store_error::reason code)
    {
        const auto handler = std::exchange(store->watches.back(), {});
        handler(store_error{code, "test"});
    }
    std::size_t candidates()
    {
        upstream_directory &directory = core->directory();
        return directory.candidates("desk", directory.zoneNumber("z")).size();
    }
    void advance(std::int64_t time)
    {
        const monotonic_time end = clock.monotonic() + milliseconds(time);
        while (clock.monotonic() < end) {
            clock.advance(milliseconds(10));
            core->tick();
            session->tick();
        }
    }

    std::vector<endpoint> seeds{*parseEndpoint("10.0.0.8:7720")};
    fake_clock clock;
    silent_output output;
    entry_settings settings;
    recording_environment environment;
    std::unique_ptr<entry_core> core;
    scripted_store *store = nullptr;
    std::unique_ptr<store_session> session;
};

} // namespace

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: started: lists, offers a key, announces, watches")
{
    answerList(20, {upstreamChange(1, 10)});
    CHECK(candidates() == 1);
    CHECK(store->offers.size() == 1);
    REQUIRE(store->grants.size() == 1);
    store->grants.back()(std::uint64_t{77});
    CHECK(store->announcementLeases.back() == 77);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: just started: waits for other hosts' reports before it watches")
{
    answerList(20, {upstreamChange(1, 10)});
    advance(1100);
    CHECK(store->watches.empty());
    advance(200);
    REQUIRE(store->watches.size() == 1);
    CHECK(store->watchedAfter.back() == 20);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: another host's key was stored first: that one is adopted")
{
    start(20, {});
    store->offers.back()(store_error{store_error::reason::conflict, ""});
    CHECK(environment.keys.empty());
    record_change change;
    change.kind = record_kind::key;
    change.revision = 21;
    change.content = shared_key{peer_key{9}};
    answerWatch(21, {change});
    REQUIRE(environment.keys.size() == 1);
    CHECK(environment.keys.front() == peer_key{9});
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: changes from the store: applied, relayed, sent on request")
{
    start(20, {upstreamChange(1, 10)});
    answerWatch(22, {upstreamChange(2, 22)});
    CHECK(candidates() == 2);
    REQUIRE(environment.relayed.size() == 1);
    CHECK(std::get<view_changes>(environment.relayed.back()).after == 20);
    answerWatch(25, {upstreamChange(3, 25)});
    session->onPull(view_pull{20, {}});
    REQUIRE(environment.sentToPeers.size() == 1);
    const auto &changes = std::get<view_changes>(environment.sentToPeers.back());
    CHECK(changes.after == 20);
    CHECK(changes.revision == 25);
    CHECK(changes.records.size() == 2);
    session->onPull(view_pull{5, {}});
    CHECK(environment.sentToPeers.size() == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: changes passed on by another host: applied only without a gap")
{
    answerList(20, {});
    session->onRelayedChanges(
        view_changes{20, 24, milliseconds(1), milliseconds(0), {upstreamChange(5, 24)}});
    CHECK(candidates() == 1);
    session->onRelayedChanges(
        view_changes{30, 31, milliseconds(1), milliseconds(0), {upstreamChange(6, 31)}});
    CHECK(candidates() == 1);
    CHECK(session->feed().position().revision == 24);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: an entry lapses while the store is unreachable: kept for a grace period")
{
    start(20, {upstreamChange(1, 10)});
    failWatch(store_error::reason::unreachable);
    advance(3000);
    REQUIRE(store->watches.back());
    answerWatch(30, {upstreamChange(1, 30, true)});
    CHECK(candidates() == 1);
    advance(1700);
    CHECK(candidates() == 1);
    advance(500);
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: history gone: lists again, drops removed upstreams")
{
    start(20, {upstreamChange(1, 10), upstreamChange(2, 11)});
    failWatch(store_error::reason::historyGone);
    REQUIRE(store->lists.size() == 2);
    answerList(40, {upstreamChange(2, 11)});
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: the lease has expired: announced again under a new one")
{
    answerList(20, {});
    store->grants.back()(std::uint64_t{77});
    store->announcements.back()(std::monostate{});
    advance(10100);
    REQUIRE(store->renewals.size() == 1);
    store->renewals.back()(store_error{store_error::reason::leaseGone, "404"});
    advance(20);
    REQUIRE(store->grants.size() == 2);
    store->grants.back()(std::uint64_t{78});
    CHECK(store->announcementLeases.back() == 78);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: the own announcement is removed: announced again at once")
{
    start(20, {});
    store->grants.back()(std::uint64_t{77});
    store->announcements.back()(std::monostate{});
    record_change change;
    change.kind = record_kind::host;
    change.name = "h1";
    change.revision = 30;
    answerWatch(30, {change});
    advance(20);
    CHECK(store->grants.size() == 2);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: planned stop: ends its lease, does not announce again")
{
    answerList(20, {});
    store->grants.back()(std::uint64_t{77});
    store->announcements.back()(std::monostate{});
    session->withdraw();
    CHECK(store->endedLeases.back() == 77);
    advance(20000);
    CHECK(store->grants.size() == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: the store is lost and regained: one log line each")
{
    start(20, {});
    for (int attempt = 0; attempt < 5; ++attempt) {
        failWatch(store_error::reason::refused);
        advance(2000);
    }
    answerWatch(20, {});
    CHECK(std::count(environment.events.begin(), environment.events.end(), "store_lost") == 1);
    CHECK(std::count(environment.events.begin(), environment.events.end(), "store_regained") == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: started while the store is unreachable: takes a seed's view once")
{
    store->lists.back()(store_error{store_error::reason::unreachable, "reset"});
    advance(300);
    REQUIRE_FALSE(environment.unsignedSent.empty());
    CHECK((environment.unsignedTargets.back() == seeds.front()));
    const auto request = std::get<view_request>(environment.unsignedSent.back());
    view_snapshot snapshot{request.nonce + 1, peer_key{9}, 40, milliseconds(50), {}};
    snapshot.records.push_back(upstreamChange(1, 30));
    session->onSnapshot(snapshot);
    CHECK(candidates() == 0);
    snapshot.nonce = request.nonce;
    session->onSnapshot(snapshot);
    CHECK(candidates() == 1);
    CHECK(session->feed().position().revision == 40);
    CHECK(environment.keys.back() == peer_key{9});
    snapshot.records.clear();
    session->onSnapshot(snapshot);
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: a whole view is requested: sent only to hosts listed in the store")
{
    record_change known;
    known.kind = record_kind::host;
    known.name = "h2";
    known.revision = 3;
    known.content = host_record{"h2", "z", *parseEndpoint("10.0.0.2:7720"), 5, 0};
    answerList(20, {upstreamChange(1, 10), known});
    session->onViewRequest(*parseEndpoint("10.0.0.3:7720"), view_request{4, "h2"});
    session->onViewRequest(*parseEndpoint("10.0.0.2:7720"), view_request{4, "h3"});
    CHECK(environment.unsignedSent.empty());
    session->onViewRequest(*parseEndpoint("10.0.0.2:7720"), view_request{4, "h2"});
    REQUIRE(environment.unsignedSent.size() == 1);
    const auto &snapshot = std::get<view_snapshot>(environment.unsignedSent.front());
    CHECK(snapshot.nonce == 4);
    CHECK(snapshot.revision == 20);
    CHECK(snapshot.key == peer_key{7});
    CHECK(snapshot.records.size() == 4);
}

namespace {

/// 2,000 changes, as when all upstreams of a large zone recover together.
std::vector<record_change> zoneRecoveryChanges()
{
    std::vector<record_change> changes;
    for (std::uint64_t id = 1; id <= 2000; ++id) {
        changes.push_back(upstreamChange(id, 20 + id));
    }
    return changes;
}

/// Delivers @p messages to @p host, except those above the maximum message size.
void deliver(const std::vector<entry_message> &messages, session_with_store &host)
{
    const peer_key key{7};
    for (const entry_message &message : messages) {
        const byte_buffer bytes = encodeEntryMessage(key, message);
        CHECK(bytes.size() <= maxEntryMessageBytes);
        if (bytes.size() <= maxEntryMessageBytes) {
            const entry_message read = valueOf([&] { return decodeEntryMessage(key, bytes); });
            host.session->onRelayedChanges(std::get<view_changes>(read));
        }
    }
}

} // namespace

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: 2,000 upstreams change at once: relayed within the message size limit")
{
    start(20, {});
    session_with_store other;
    other.answerList(20, {});
    environment.relayed.clear();
    answerWatch(2020, zoneRecoveryChanges());
    deliver(environment.relayed, other);
    CHECK(other.candidates() == 2000);
    CHECK(other.session->feed().position().revision == 2020);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: a host that missed 2,000 changes: gets them within the message size limit")
{
    start(20, {});
    answerWatch(2020, zoneRecoveryChanges());
    session_with_store other;
    other.answerList(20, {});
    session->onPull(view_pull{20, {}});
    deliver(environment.sentToPeers, other);
    CHECK(other.candidates() == 2000);
}

namespace {

/// A configuration with @p routes routes, as the store reports it at @p revision.
record_change configWithRoutes(std::uint64_t version, std::size_t routes, std::uint64_t revision)
{
    route_config config;
    config.version = version;
    for (std::size_t number = 0; number < routes; ++number) {
        config.routes.push_back(route{"tenant-route-" + std::to_string(100000 + number),
                                      static_cast<std::uint32_t>(number + 1),
                                      443,
                                      {{"desk", 1}},
                                      milliseconds(4000),
                                      milliseconds(250),
                                      1});
    }
    record_change change;
    change.kind = record_kind::config;
    change.revision = revision;
    change.content = config;
    return change;
}

} // namespace

// Guards against hosts that fall behind when the configuration grows: a change above the size of a
// message was not relayed, so each host read the whole configuration from the store.
TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: the configuration grows by 1,400 routes: other hosts have it, and "
    "the drain after it, without reading the store")
{
    const std::vector<record_change> first{configWithRoutes(1, 40, 5), upstreamChange(1, 10)};
    start(20, first);
    session_with_store other;
    other.answerList(20, first);
    environment.relayed.clear();
    answerWatch(22, {configWithRoutes(2, 1440, 21), upstreamChange(1, 22, true)});
    deliver(environment.relayed, other);
    CHECK(other.core->configVersion() == 2);
    CHECK(other.core->config().routes.size() == 1440);
    CHECK(other.candidates() == 0);
    CHECK(other.session->feed().position().revision == 22);
    CHECK(other.store->lists.size() == 1);
    CHECK(other.store->watches.empty());
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: a part of a large change is lost: requested from another host, "
                  "not read from the store")
{
    const std::vector<record_change> first{configWithRoutes(1, 40, 5)};
    start(20, first);
    session_with_store other;
    other.answerList(20, first);
    environment.relayed.clear();
    answerWatch(21, {configWithRoutes(2, 1440, 21)});
    REQUIRE(environment.relayed.size() > 2);
    environment.relayed.erase(environment.relayed.begin() + 1);
    deliver(environment.relayed, other);
    CHECK(other.core->configVersion() == 1);
    peer_report report;
    report.sender = host_record{"h9", "z", *parseEndpoint("10.0.0.9:7720"), 1, 1000};
    report.viewRevision = 21;
    other.core->onPeerReport(report);
    other.session->onPeerReport(report);
    other.advance(200);
    REQUIRE(other.environment.sentToPeers.size() == 1);
    session->onPull(std::get<view_pull>(other.environment.sentToPeers.back()));
    deliver(environment.sentToPeers, other);
    CHECK(other.core->configVersion() == 2);
    CHECK(other.store->watches.empty());
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: the history is gone while the configuration grows: the large "
                  "difference reaches other hosts")
{
    const std::vector<record_change> first{configWithRoutes(1, 40, 5), upstreamChange(1, 10)};
    start(20, first);
    session_with_store other;
    other.answerList(20, first);
    failWatch(store_error::reason::historyGone);
    environment.relayed.clear();
    answerList(40, {configWithRoutes(2, 5640, 38)});
    deliver(environment.relayed, other);
    CHECK(other.core->configVersion() == 2);
    CHECK(other.candidates() == 0);
    CHECK(other.session->feed().position().revision == 40);
}

// Guards against hosts that relay a whole configuration, which all others have, because their own
// read of it ended after another host had relayed it to them.
TEST_CASE_FIXTURE(session_with_store,
                  "store_session: a read ends after its changes were relayed: only newer ones are "
                  "relayed and kept")
{
    start(20, {configWithRoutes(1, 40, 5)});
    const record_change grown = configWithRoutes(2, 1440, 21);
    view_changes relayed;
    relayed.after = 20;
    relayed.revision = 21;
    relayed.records.push_back(grown);
    session->onRelayedChanges(relayed);
    CHECK(core->configVersion() == 2);
    environment.relayed.clear();
    answerWatch(22, {grown, upstreamChange(7, 22)});
    CHECK(candidates() == 1);
    REQUIRE(environment.relayed.size() == 1);
    const auto &sent = std::get<view_changes>(environment.relayed.back());
    CHECK(sent.after == 21);
    CHECK(sent.revision == 22);
    CHECK(sent.records.size() == 1);
    session->onPull(view_pull{21, {}});
    REQUIRE(environment.sentToPeers.size() == 1);
    CHECK(std::get<view_changes>(environment.sentToPeers.back()).records.size() == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: a read ends with less than what was relayed meanwhile: confirms, "
                  "relays no changes")
{
    start(20, {});
    view_changes relayed;
    relayed.after = 20;
    relayed.revision = 23;
    relayed.records.push_back(upstreamChange(7, 23));
    session->onRelayedChanges(relayed);
    environment.relayed.clear();
    answerWatch(22, {upstreamChange(8, 22)});
    CHECK(session->feed().position().revision == 23);
    for (const entry_message &message : environment.relayed) {
        CHECK(std::get<view_changes>(message).records.empty());
    }
}

// Guards against hosts that start while the store is down and get no view, because it does not fit
// one message.
TEST_CASE_FIXTURE(session_with_store,
                  "store_session: started while the store is unreachable, the view is large: taken "
                  "from a seed in several messages")
{
    record_change starting;
    starting.kind = record_kind::host;
    starting.name = "h2";
    starting.revision = 3;
    starting.content = host_record{"h2", "z", *parseEndpoint("10.0.0.2:7720"), 5, 0};
    start(20, {configWithRoutes(2, 5640, 5), upstreamChange(1, 10), starting});
    session_with_store other;
    other.store->lists.back()(store_error{store_error::reason::unreachable, "reset"});
    other.advance(300);
    REQUIRE_FALSE(other.environment.unsignedSent.empty());
    auto request = std::get<view_request>(other.environment.unsignedSent.back());
    request.hostName = "h2";
    session->onViewRequest(*parseEndpoint("10.0.0.2:7720"), request);
    REQUIRE(environment.unsignedSent.size() > 2);
    for (const unsigned_message &message : environment.unsignedSent) {
        const byte_buffer bytes = encodeUnsigned(message);
        REQUIRE(bytes.size() <= maxEntryMessageBytes);
        const unsigned_message read = valueOf([&] { return decodeUnsigned(bytes); });
        CHECK_FALSE(other.session->feed().isLoaded());
        other.session->onSnapshot(std::get<view_snapshot>(read));
    }
    CHECK(other.session->feed().position().revision == 20);
    CHECK(other.core->config().routes.size() == 5640);
    CHECK(other.candidates() == 1);
    CHECK(other.environment.keys.back() == peer_key{7});
}

// Guards against a history that grows with the configuration instead of with the changes.
TEST_CASE_FIXTURE(session_with_store,
                  "store_session: large changes in a row: only the newest are kept for other hosts")
{
    start(20, {configWithRoutes(1, 40, 5)});
    for (std::uint64_t number = 1; number <= 8; ++number) {
        const std::size_t routes = number % 2 == 1 ? 9000 : 40;
        answerWatch(20 + number, {configWithRoutes(1 + number, routes, 20 + number)});
    }
    session->onPull(view_pull{20, {}});
    CHECK(environment.sentToPeers.empty());
    session->onPull(view_pull{27, {}});
    CHECK_FALSE(environment.sentToPeers.empty());
}

// Guards against hosts that miss changes after a compaction of the store: only the reader had them,
// by a listing, and what it relayed later did not follow the other hosts' views.
TEST_CASE_FIXTURE(session_with_store,
                  "store_session: history gone: other hosts get what the listing changed")
{
    record_change evacuation;
    evacuation.kind = record_kind::evacuation;
    evacuation.name = "far";
    evacuation.revision = 12;
    evacuation.content = zone_evacuation{};
    const std::vector<record_change> first{upstreamChange(1, 10), upstreamChange(2, 11),
                                           evacuation};
    start(20, first);
    session_with_store other;
    other.answerList(20, first);
    const std::uint16_t far = other.core->directory().zoneNumber("far");
    REQUIRE(other.core->directory().isEvacuated(far));
    environment.relayed.clear();
    failWatch(store_error::reason::historyGone);
    answerList(40, {upstreamChange(2, 11), upstreamChange(3, 35)});
    SUBCASE("relayed")
    {
        deliver(environment.relayed, other);
    }
    SUBCASE("on request")
    {
        session->onPull(view_pull{20, {}});
        deliver(environment.sentToPeers, other);
    }
    SUBCASE("relayed changes that follow the listing, on request")
    {
        advance(20);
        answerWatch(44, {upstreamChange(4, 44)});
        session->onPull(view_pull{20, {}});
        deliver(environment.sentToPeers, other);
        CHECK(other.session->feed().position().revision == 44);
        CHECK(other.candidates() == 3);
        return;
    }
    CHECK(other.session->feed().position().revision == 40);
    CHECK(other.candidates() == 2);
    CHECK_FALSE(other.core->directory().isCandidate(other.core->directory().findTag(upstreamTag(1)),
                                                    "desk"));
    CHECK_FALSE(other.core->directory().isEvacuated(far));
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: history gone, the listing changed more than a message holds: "
                  "other hosts get the difference, relayed and on request")
{
    start(20, {});
    session_with_store other;
    other.answerList(20, {});
    session_with_store late;
    late.answerList(20, {});
    failWatch(store_error::reason::historyGone);
    environment.relayed.clear();
    answerList(2020, zoneRecoveryChanges());
    deliver(environment.relayed, other);
    CHECK(other.candidates() == 2000);
    CHECK(other.session->feed().position().revision == 2020);
    session->onPull(view_pull{20, {}});
    deliver(environment.sentToPeers, late);
    CHECK(late.candidates() == 2000);
    CHECK(late.session->feed().position().revision == 2020);
}

namespace {

/// The same session among peers of its zone with a higher strength.
class session_in_zone : public session_with_store
{
public:
    void receiveReports(unsigned hosts, std::uint64_t revision)
    {
        for (unsigned number = 0; number < hosts; ++number) {
            peer_report report;
            report.sender =
                host_record{"peer-" + std::to_string(number), "z",
                            endpoint{{}, static_cast<std::uint16_t>(number + 1)}, 1, 1000};
            report.viewRevision = revision;
            core->onPeerReport(report);
            session->onPeerReport(report);
        }
    }

    /// Advances until the view is too old and answers the watch that follows.
    void readStoreDirectly(std::uint64_t revision)
    {
        advance(2500);
        REQUIRE_FALSE(store->watches.empty());
        environment.relayed.clear();
        answerWatch(revision, {upstreamChange(5, revision)});
    }
};

} // namespace

TEST_CASE_FIXTURE(session_in_zone,
                  "store_session: a read of changes that others already have: not relayed")
{
    answerList(20, {});
    receiveReports(5, 900);
    readStoreDirectly(520);
    CHECK(environment.relayed.empty());
    receiveReports(5, 900);
    advance(500);
    answerWatch(900, {upstreamChange(6, 900)});
    CHECK(environment.relayed.size() == 1);
}

TEST_CASE_FIXTURE(
    session_in_zone,
    "store_session: no changes for a while in a large zone: only the first hosts relay "
    "what they read")
{
    answerList(20, {});
    SUBCASE("among the first")
    {
        receiveReports(5, 20);
        readStoreDirectly(30);
        CHECK(environment.relayed.size() == 1);
    }
    SUBCASE("behind many")
    {
        receiveReports(60, 20);
        readStoreDirectly(30);
        CHECK(environment.relayed.empty());
    }
}

TEST_CASE_FIXTURE(
    session_in_zone,
    "store_session: hosts of two zones have a newer view: one of the own zone is asked, "
    "otherwise another")
{
    start(20, {});
    const auto receiveReport = [this](std::uint16_t port, const std::string &zone) {
        peer_report report;
        report.sender = host_record{"p" + std::to_string(port), zone, endpoint{{}, port}, 1, 0};
        report.viewRevision = 25;
        report.viewAge = milliseconds(50);
        session->onPeerReport(report);
    };
    SUBCASE("both")
    {
        receiveReport(1, "z");
        receiveReport(2, "far");
        advance(200);
        CHECK(environment.lastPeer.port == 1);
    }
    SUBCASE("no report from the own zone after a pull")
    {
        receiveReport(1, "z");
        advance(130);
        receiveReport(2, "far");
        advance(200);
        CHECK(environment.lastPeer.port == 2);
    }
}

namespace {

/// A host whose view other hosts confirm, and which does not run from then until resumed().
struct paused_session : public session_with_store
{
    paused_session()
    {
        answerList(20, {});
        session->onPeerMessagesRead();
    }
    milliseconds viewAge() { return session->feed().age(clock.monotonic()); }

    /// Delivers messages that were sent during the pause and say that the store has just answered.
    void readWaitingMessages()
    {
        session->onRelayedChanges(
            view_changes{20, 21, milliseconds(5), milliseconds(0), {upstreamChange(1, 21)}});
        peer_report report;
        report.sender = host_record{"h2", "z", endpoint{{}, 2}, 1, 0};
        report.viewRevision = 21;
        session->onPeerReport(report);
    }
};

} // namespace

TEST_CASE_FIXTURE(
    paused_session,
    "store_session: messages waited while this host was paused: applied, but the view "
    "is not as new as they were when they were sent")
{
    constexpr milliseconds pause{8000};
    SUBCASE("the clock went on")
    {
        clock.advance(pause);
    }
    SUBCASE("the machine was suspended, and the clock with it")
    {
        session->onFreeze(pause);
    }
    readWaitingMessages();
    CHECK(candidates() == 1);
    CHECK(viewAge() >= pause);
    CHECK(session->feed().lastReadAge(clock.monotonic()) >= pause);
    session->onPeerMessagesRead();
    readWaitingMessages();
    CHECK(viewAge() <= milliseconds(5));
}

TEST_CASE_FIXTURE(paused_session,
                  "store_session: this host was paused for a second: reads the store once, at once")
{
    session->onFreeze(milliseconds(1000));
    session->tick();
    REQUIRE(store->watches.size() == 1);
    answerWatch(22, {});
    CHECK(store->watches.size() == 1);
}

namespace {

record_change hostChange(const host_record &host, std::uint64_t revision)
{
    record_change change;
    change.kind = record_kind::host;
    change.name = host.name;
    change.revision = revision;
    change.content = host;
    return change;
}

record_change configChange(std::uint64_t version, std::uint64_t revision)
{
    route_config config;
    config.version = version;
    record_change change;
    change.revision = revision;
    change.content = config;
    return change;
}

/// A host that is announced, with a view at revision 31 of epoch 1, in which the upstreams 1 and 2
/// and the version 11 of the configuration were written.
struct session_before_restoration : public session_with_store
{
    session_before_restoration()
    {
        store->storeEpoch = 1;
        start(30, {configChange(8, 5), upstreamChange(1, 10), upstreamChange(2, 30)});
        store->grants.back()(std::uint64_t{77});
        store->announcements.back()(std::monostate{});
        answerWatch(31, {configChange(11, 31)});
        REQUIRE(store->watches.back());
    }

    /// The store returns from a copy, and its clients learn of it by the answer to the watch.
    void restore(std::uint64_t epoch)
    {
        store->storeEpoch = epoch;
        failWatch(store_error::reason::historyGone);
        REQUIRE(store->lists.back());
    }
};

} // namespace

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: the store is restored and assigns revisions again: changes with "
                  "known revisions are applied")
{
    restore(2);
    answerList(30, {configChange(11, 30), upstreamChange(1, 10), upstreamChange(2, 29)});
    CHECK(session->feed().position() == store_position{2, 30});
    advance(300);
    CHECK(store->watchedAfter.back() == 30);
    answerWatch(31, {configChange(14, 31), upstreamChange(2, 31, true)});
    CHECK(core->configVersion() == 14);
    advance(3000);
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: the store is restored and has reached the known revision again: "
                  "an answer of the new epoch is not taken as the changes since then")
{
    store->storeEpoch = 2;
    answerWatch(40, {upstreamChange(3, 40)});
    CHECK(candidates() == 2);
    CHECK(session->feed().position() == store_position{1, 31});
    answerList(40, {configChange(14, 35), upstreamChange(3, 40)});
    CHECK(core->configVersion() == 14);
    CHECK(session->feed().position() == store_position{2, 40});
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: any answer of a restored store: lists it at once")
{
    advance(10000);
    REQUIRE_FALSE(store->renewals.empty());
    failWatch(store_error::reason::unreachable);
    const std::size_t lists = store->lists.size();
    store->storeEpoch = 2;
    store->renewals.back()(std::monostate{});
    advance(10);
    CHECK(store->lists.size() == lists + 1);
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: another host has a view of the restored store: lists it, and "
                  "takes no changes of another epoch")
{
    SUBCASE("by a report")
    {
        peer_report report;
        report.sender = host_record{"h2", "z", endpoint{{}, 2}, 1, 0};
        report.viewEpoch = 2;
        report.viewRevision = 20;
        session->onPeerReport(report);
    }
    SUBCASE("by relayed changes")
    {
        session->onRelayedChanges(
            view_changes{31, 32, milliseconds(1), milliseconds(0), {upstreamChange(3, 32)}, 2});
    }
    CHECK(candidates() == 2);
    failWatch(store_error::reason::unreachable);
    const std::size_t lists = store->lists.size();
    advance(400);
    CHECK(store->lists.size() == lists + 1);
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: changes of an epoch that is over: neither applied nor sent")
{
    restore(2);
    answerList(30, {upstreamChange(1, 10), upstreamChange(2, 29)});
    session->onRelayedChanges(
        view_changes{30, 33, milliseconds(1), milliseconds(0), {upstreamChange(3, 33)}, 1});
    CHECK(candidates() == 2);
    answerWatch(31, {upstreamChange(4, 31)});
    environment.sentToPeers.clear();
    session->onPull(view_pull{30, {}, 1});
    CHECK(environment.sentToPeers.empty());
    session->onPull(view_pull{30, {}, 2});
    REQUIRE(environment.sentToPeers.size() == 1);
    CHECK(std::get<view_changes>(environment.sentToPeers.back()).epoch == 2);
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: a listing of an epoch that is over arrives late: listed again")
{
    restore(1);
    store->storeEpoch = 2;
    const auto handler = std::exchange(store->lists.back(), {});
    const std::size_t lists = store->lists.size();
    advance(10);
    handler(store_records{{upstreamChange(9, 40)}, 40, 1});
    CHECK(candidates() == 2);
    advance(300);
    CHECK(store->lists.size() == lists + 1);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: started after the restoration, with the view of a seed from before "
    "it: lists the store")
{
    store->storeEpoch = 2;
    const auto refuseListing = [this] {
        const auto handler = std::exchange(store->lists.back(), {});
        handler(store_error{store_error::reason::refused, "status 503"});
    };
    refuseListing();
    session->tick();
    REQUIRE_FALSE(environment.unsignedSent.empty());
    const auto request = std::get<view_request>(environment.unsignedSent.back());
    session->onSnapshot(view_snapshot{
        request.nonce, peer_key{9}, 40, milliseconds(50), {upstreamChange(1, 30)}, 1});
    CHECK(candidates() == 1);
    refuseListing();
    advance(400);
    REQUIRE(store->lists.back());
    answerList(20, {upstreamChange(1, 10), upstreamChange(2, 20)});
    CHECK(candidates() == 2);
    CHECK(session->feed().position() == store_position{2, 20});
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: the restored store lacks the announcement: announced again under "
                  "a new lease, the old one is not ended")
{
    restore(2);
    answerList(30, {});
    advance(20);
    REQUIRE(store->grants.size() == 2);
    store->grants.back()(std::uint64_t{12});
    CHECK(store->announcementLeases.back() == 12);
    CHECK(store->endedLeases.empty());
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: the restored store has the announcement: kept")
{
    restore(2);
    answerList(30, {hostChange(settings.self, 4)});
    advance(1000);
    CHECK(store->grants.size() == 1);
}

TEST_CASE_FIXTURE(
    session_before_restoration,
    "store_session: the restored store lacks the hosts' key: the known one is offered")
{
    restore(2);
    store->offeredKeys.clear();
    answerList(30, {});
    REQUIRE(store->offeredKeys.size() == 1);
    CHECK(store->offeredKeys.back().key == environment.key());
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: an upstream registered after the copy: kept until it can be back")
{
    restore(2);
    answerList(28, {upstreamChange(1, 10)});
    CHECK(candidates() == 2);
    SUBCASE("it is back")
    {
        answerWatch(29, {upstreamChange(2, 29)});
        advance(3000);
        CHECK(candidates() == 2);
    }
    SUBCASE("it is gone")
    {
        advance(3000);
        CHECK(candidates() == 1);
    }
}

TEST_CASE_FIXTURE(session_before_restoration,
                  "store_session: restored: one log line with both positions")
{
    restore(2);
    answerList(30, {upstreamChange(1, 10)});
    advance(2000);
    CHECK(std::count(environment.events.begin(), environment.events.end(), "store_restored") == 1);
}

namespace {

/// A session in a world with the upstream 1 in the zone "z", which is evacuated and taken back.
struct session_and_evacuation : public session_with_store
{
    static record_change change(record_kind kind, std::uint64_t revision, bool isRemoved = false)
    {
        record_change result;
        result.kind = kind;
        result.name = "z";
        result.revision = revision;
        if (!isRemoved && kind == record_kind::evacuation) {
            result.content = zone_evacuation{};
        } else if (!isRemoved) {
            result.content = evacuation_mark{};
        }
        return result;
    }
    bool isCold()
    {
        const upstream_directory &directory = core->directory();
        return clock.monotonic() < directory.at(directory.findTag(upstreamTag(1))).coldUntil;
    }
};

} // namespace

// Guards against a host that starts just after a zone was taken back and sends its full share to
// upstreams that do not state yet that they are cold.
TEST_CASE_FIXTURE(session_and_evacuation,
                  "store_session: started after a zone was taken back: its upstreams count as cold "
                  "for two heartbeats")
{
    answerList(20, {change(record_kind::evacuationMark, 12), upstreamChange(1, 10)});
    CHECK(isCold());
    advance(settings.heartbeat.count() * 2 - 100);
    CHECK(isCold());
    advance(200);
    CHECK_FALSE(isCold());
}

TEST_CASE_FIXTURE(session_and_evacuation,
                  "store_session: started with a view of a seed, after a zone was taken back: its "
                  "upstreams count as cold")
{
    session_and_evacuation seed;
    seed.start(20, {upstreamChange(1, 10)});
    seed.answerWatch(21, {change(record_kind::evacuation, 21)});
    seed.answerWatch(22, {change(record_kind::evacuationMark, 22)});
    seed.answerWatch(23, {change(record_kind::evacuation, 23, true)});
    store->lists.back()(store_error{store_error::reason::unreachable, "reset"});
    advance(300);
    REQUIRE_FALSE(environment.unsignedSent.empty());
    view_snapshot snapshot;
    snapshot.nonce = std::get<view_request>(environment.unsignedSent.back()).nonce;
    snapshot.revision = 23;
    snapshot.records = seed.core->snapshot();
    session->onSnapshot(snapshot);
    CHECK(isCold());
}

TEST_CASE_FIXTURE(session_and_evacuation,
                  "store_session: a zone is evacuated and taken back between two listings: its "
                  "upstreams count as cold, here and at the hosts that get the difference")
{
    start(20, {upstreamChange(1, 10)});
    session_and_evacuation other;
    other.answerList(20, {upstreamChange(1, 10)});
    environment.relayed.clear();
    failWatch(store_error::reason::historyGone);
    answerList(40, {change(record_kind::evacuationMark, 32), upstreamChange(1, 10)});
    CHECK(isCold());
    deliver(environment.relayed, other);
    CHECK(other.isCold());
}

TEST_CASE_FIXTURE(session_and_evacuation,
                  "store_session: the first host: marks an evacuation, and removes the mark after "
                  "two heartbeats in use")
{
    start(20, {upstreamChange(1, 10)});
    answerWatch(21, {change(record_kind::evacuation, 21)});
    REQUIRE(store->markedZones.size() == 1);
    CHECK(store->markedZones.front() == "z");
    store->markCalls.back()(std::monostate{});
    answerWatch(22, {change(record_kind::evacuationMark, 22)});
    advance(1000);
    CHECK(store->markedZones.size() == 1);
    answerWatch(23, {change(record_kind::evacuation, 23, true)});
    advance(settings.heartbeat.count());
    CHECK(store->unmarkedZones.empty());
    answerWatch(23, {});
    advance(settings.heartbeat.count());
    CHECK(store->unmarkedZones.size() == 1);
}

TEST_CASE_FIXTURE(session_and_evacuation,
                  "store_session: the store refuses to mark an evacuation: tried again, after a "
                  "pause")
{
    start(20, {upstreamChange(1, 10)});
    answerWatch(21, {change(record_kind::evacuation, 21)});
    for (std::size_t attempt = 1; attempt <= 3; ++attempt) {
        REQUIRE(store->markCalls.size() == attempt);
        store->markCalls.back()(store_error{store_error::reason::refused, "429"});
        advance(400);
        CHECK(store->markCalls.size() == attempt);
        advance(200);
    }
}

TEST_CASE_FIXTURE(session_in_zone,
                  "store_session: the first host does not mark an evacuation: another host does")
{
    record_change evacuation;
    evacuation.kind = record_kind::evacuation;
    evacuation.name = "far";
    evacuation.revision = 12;
    evacuation.content = zone_evacuation{};
    answerList(20, {evacuation});
    receiveReports(2, 20);
    advance(400);
    CHECK(store->markedZones.empty());
    for (int step = 0; step < 20; ++step) {
        receiveReports(2, 20);
        advance(100);
    }
    CHECK(store->markedZones.size() == 1);
}

// Guards against a view that counts as current although its configuration is older than the
// store's.
TEST_CASE_FIXTURE(session_with_store,
                  "store_session: a relayed configuration does not fit the one in force: the view "
                  "is not confirmed before a listing")
{
    route_config config;
    config.version = 1;
    record_change change;
    change.revision = 10;
    change.content = config;
    start(20, {change});
    core->onFreeze(milliseconds(2000));
    REQUIRE(core->isResuming());
    config_patch patch;
    patch.baseVersion = 7;
    patch.changed.version = 9;
    change.revision = 21;
    change.content = patch;
    session->onRelayedChanges({20, 21, milliseconds(0), milliseconds(0), {change}});
    CHECK(core->isResuming());
    REQUIRE(core->configVersion() == 1);
    failWatch(store_error::reason::unreachable);
    advance(200);
    REQUIRE(core->isResuming());
    config.version = 9;
    change.content = config;
    answerList(21, {change});
    CHECK_FALSE(core->isResuming());
    CHECK(core->configVersion() == 9);
}
