#include "figstair/host/store_session.h"

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"

using namespace figstair;

namespace {

/// A store whose answers the test gives.
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
        ended.push_back(lease);
    }
    void announce(const host_record &, std::uint64_t lease,
                  store_handler<std::monostate> handler) override
    {
        announcedUnder.push_back(lease);
        announcements.push_back(std::move(handler));
    }
    void offerKey(const shared_key &, store_handler<std::monostate> handler) override
    {
        offers.push_back(std::move(handler));
    }
    std::uint64_t takeCallCount() override { return 0; }

    std::vector<store_handler<store_records>> lists;
    std::vector<store_handler<store_records>> watches;
    std::vector<std::uint64_t> watchedAfter;
    std::vector<store_handler<std::uint64_t>> grants;
    std::vector<store_handler<std::monostate>> renewals;
    std::vector<store_handler<std::monostate>> announcements;
    std::vector<store_handler<std::monostate>> offers;
    std::vector<std::uint64_t> announcedUnder;
    std::vector<std::uint64_t> ended;
};

class recording_environment : public store_session::environment
{
public:
    void relay(const entry_message &message) override { toAll.push_back(message); }
    void sendToPeer(const endpoint &to, const entry_message &message) override
    {
        askedLast = to;
        toOne.push_back(message);
    }
    void sendUnsigned(const endpoint &to, const unsigned_message &message) override
    {
        unsignedTo.push_back(to);
        unsignedSent.push_back(message);
    }
    peer_key key() const override { return peer_key{7}; }
    void adoptKey(const peer_key &key) override { keys.push_back(key); }
    void logEvent(std::string_view name, event_fields) override { events.emplace_back(name); }
    void count(entry_counter, std::uint64_t) override { }

    std::vector<entry_message> toAll;
    std::vector<entry_message> toOne;
    endpoint askedLast;
    std::vector<endpoint> unsignedTo;
    std::vector<unsigned_message> unsignedSent;
    std::vector<peer_key> keys;
    std::vector<std::string> events;
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
                                                  milliseconds(30000), seeds, 1, surroundings);
        session->tick();
    }

    /// Answers the first listing and lets the host settle.
    void start(std::uint64_t revision, std::vector<record_change> records)
    {
        answerList(revision, std::move(records));
        pass(1300);
        REQUIRE(store->watches.size() == 1);
    }
    void answerList(std::uint64_t revision, std::vector<record_change> records)
    {
        REQUIRE_FALSE(store->lists.empty());
        const auto handler = std::exchange(store->lists.back(), {});
        handler(store_records{std::move(records), revision});
    }
    void answerWatch(std::uint64_t revision, std::vector<record_change> records)
    {
        const auto handler = std::exchange(store->watches.back(), {});
        handler(store_records{std::move(records), revision});
        pass(300);
    }
    void failWatch(store_error::reason why)
    {
        const auto handler = std::exchange(store->watches.back(), {});
        handler(store_error{why, "test"});
    }
    std::size_t candidates()
    {
        upstream_directory &directory = core->directory();
        return directory.candidates("desk", directory.zoneNumber("z")).size();
    }
    void pass(std::int64_t time)
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
    recording_environment surroundings;
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
    CHECK(store->announcedUnder.back() == 77);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: just started: hears others out before it waits for changes itself")
{
    answerList(20, {upstreamChange(1, 10)});
    pass(1100);
    CHECK(store->watches.empty());
    pass(200);
    REQUIRE(store->watches.size() == 1);
    CHECK(store->watchedAfter.back() == 20);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: another host's key won: it is adopted, not the own")
{
    start(20, {});
    store->offers.back()(store_error{store_error::reason::conflict, ""});
    CHECK(surroundings.keys.empty());
    record_change change;
    change.kind = record_kind::key;
    change.revision = 21;
    change.content = shared_key{peer_key{9}};
    answerWatch(21, {change});
    REQUIRE(surroundings.keys.size() == 1);
    CHECK(surroundings.keys.front() == peer_key{9});
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: changes come: applied, passed on, given to who asks")
{
    start(20, {upstreamChange(1, 10)});
    answerWatch(22, {upstreamChange(2, 22)});
    CHECK(candidates() == 2);
    REQUIRE(surroundings.toAll.size() == 1);
    CHECK(std::get<view_changes>(surroundings.toAll.back()).after == 20);
    answerWatch(25, {upstreamChange(3, 25)});
    session->onPull(view_pull{20, {}});
    REQUIRE(surroundings.toOne.size() == 1);
    const auto &changes = std::get<view_changes>(surroundings.toOne.back());
    CHECK(changes.after == 20);
    CHECK(changes.revision == 25);
    CHECK(changes.records.size() == 2);
    session->onPull(view_pull{5, {}});
    CHECK(surroundings.toOne.size() == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: changes passed on by another host: applied once, in order")
{
    answerList(20, {});
    session->onPassedOn(
        view_changes{20, 24, milliseconds(1), milliseconds(0), {upstreamChange(5, 24)}});
    CHECK(candidates() == 1);
    session->onPassedOn(
        view_changes{30, 31, milliseconds(1), milliseconds(0), {upstreamChange(6, 31)}});
    CHECK(candidates() == 1);
    CHECK(session->feed().revision() == 24);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: an entry lapses while the store is away: kept until it may be back")
{
    start(20, {upstreamChange(1, 10)});
    failWatch(store_error::reason::unreachable);
    pass(3000);
    REQUIRE(store->watches.back());
    answerWatch(30, {upstreamChange(1, 30, true)});
    CHECK(candidates() == 1);
    pass(1700);
    CHECK(candidates() == 1);
    pass(500);
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: history gone: lists again, what left meanwhile is gone")
{
    start(20, {upstreamChange(1, 10), upstreamChange(2, 11)});
    failWatch(store_error::reason::historyGone);
    REQUIRE(store->lists.size() == 2);
    answerList(40, {upstreamChange(2, 11)});
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: the lease has ended: announced anew under another")
{
    answerList(20, {});
    store->grants.back()(std::uint64_t{77});
    store->announcements.back()(std::monostate{});
    pass(10100);
    REQUIRE(store->renewals.size() == 1);
    store->renewals.back()(store_error{store_error::reason::leaseGone, "404"});
    pass(20);
    REQUIRE(store->grants.size() == 2);
    store->grants.back()(std::uint64_t{78});
    CHECK(store->announcedUnder.back() == 78);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: the own announcement is taken away: announced anew at once")
{
    start(20, {});
    store->grants.back()(std::uint64_t{77});
    store->announcements.back()(std::monostate{});
    record_change change;
    change.kind = record_kind::host;
    change.name = "h1";
    change.revision = 30;
    answerWatch(30, {change});
    pass(20);
    CHECK(store->grants.size() == 2);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: stopped as planned: takes its announcement back, never again announces")
{
    answerList(20, {});
    store->grants.back()(std::uint64_t{77});
    store->announcements.back()(std::monostate{});
    session->withdraw();
    CHECK(store->ended.back() == 77);
    pass(20000);
    CHECK(store->grants.size() == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: the store is lost and regained: one line each")
{
    start(20, {});
    for (int attempt = 0; attempt < 5; ++attempt) {
        failWatch(store_error::reason::refused);
        pass(2000);
    }
    answerWatch(20, {});
    CHECK(std::count(surroundings.events.begin(), surroundings.events.end(), "store_lost") == 1);
    CHECK(std::count(surroundings.events.begin(), surroundings.events.end(), "store_regained")
          == 1);
}

TEST_CASE_FIXTURE(session_with_store,
                  "store_session: started while the store refuses: takes a seed's view, once")
{
    store->lists.back()(store_error{store_error::reason::unreachable, "reset"});
    pass(300);
    REQUIRE_FALSE(surroundings.unsignedSent.empty());
    CHECK((surroundings.unsignedTo.back() == seeds.front()));
    const auto request = std::get<view_request>(surroundings.unsignedSent.back());
    view_snapshot snapshot{request.nonce + 1, peer_key{9}, 40, milliseconds(50), {}};
    snapshot.records.push_back(upstreamChange(1, 30));
    session->onSnapshot(snapshot);
    CHECK(candidates() == 0);
    snapshot.nonce = request.nonce;
    session->onSnapshot(snapshot);
    CHECK(candidates() == 1);
    CHECK(session->feed().revision() == 40);
    CHECK(surroundings.keys.back() == peer_key{9});
    snapshot.records.clear();
    session->onSnapshot(snapshot);
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: a whole view is asked for: given to hosts that the store named only")
{
    record_change known;
    known.kind = record_kind::host;
    known.name = "h2";
    known.revision = 3;
    known.content = host_record{"h2", "z", *parseEndpoint("10.0.0.2:7720"), 5, 0};
    answerList(20, {upstreamChange(1, 10), known});
    session->onViewRequest(*parseEndpoint("10.0.0.3:7720"), view_request{4, "h2"});
    session->onViewRequest(*parseEndpoint("10.0.0.2:7720"), view_request{4, "h3"});
    CHECK(surroundings.unsignedSent.empty());
    session->onViewRequest(*parseEndpoint("10.0.0.2:7720"), view_request{4, "h2"});
    REQUIRE(surroundings.unsignedSent.size() == 1);
    const auto &snapshot = std::get<view_snapshot>(surroundings.unsignedSent.front());
    CHECK(snapshot.nonce == 4);
    CHECK(snapshot.revision == 20);
    CHECK(snapshot.key == peer_key{7});
    CHECK(snapshot.records.size() == 4);
}

namespace {

/// 2,000 changes, as when a large zone's upstreams return together.
std::vector<record_change> zoneReturns()
{
    std::vector<record_change> changes;
    for (std::uint64_t id = 1; id <= 2000; ++id) {
        changes.push_back(upstreamChange(id, 20 + id));
    }
    return changes;
}

/// Hands @p messages to @p host as they would arrive: those that are too large do not.
void passOn(const std::vector<entry_message> &messages, session_with_store &host)
{
    const peer_key key{7};
    for (const entry_message &message : messages) {
        const byte_buffer bytes = encodeEntryMessage(key, message);
        CHECK(bytes.size() <= maxEntryMessageBytes);
        if (bytes.size() <= maxEntryMessageBytes) {
            host.session->onPassedOn(std::get<view_changes>(message));
        }
    }
}

} // namespace

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: 2,000 upstreams change at once: passed on in messages that arrive")
{
    start(20, {});
    session_with_store other;
    other.answerList(20, {});
    surroundings.toAll.clear();
    answerWatch(2020, zoneReturns());
    passOn(surroundings.toAll, other);
    CHECK(other.candidates() == 2000);
    CHECK(other.session->feed().revision() == 2020);
}

TEST_CASE_FIXTURE(
    session_with_store,
    "store_session: a host that missed 2,000 changes asks: gets them in messages that "
    "arrive")
{
    start(20, {});
    answerWatch(2020, zoneReturns());
    session_with_store other;
    other.answerList(20, {});
    session->onPull(view_pull{20, {}});
    passOn(surroundings.toOne, other);
    CHECK(other.candidates() == 2000);
}

namespace {

/// The same session among many stronger hosts of its zone.
class session_in_zone : public session_with_store
{
public:
    void hear(unsigned hosts, std::uint64_t revision)
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

    /// Lets the view become too old, and answers the call that follows.
    void readByItself(std::uint64_t revision)
    {
        pass(2500);
        REQUIRE_FALSE(store->watches.empty());
        surroundings.toAll.clear();
        answerWatch(revision, {upstreamChange(5, revision)});
    }
};

} // namespace

TEST_CASE_FIXTURE(session_in_zone,
                  "store_session: a read that brings what others have already: is not passed on")
{
    answerList(20, {});
    hear(5, 900);
    readByItself(520);
    CHECK(surroundings.toAll.empty());
    hear(5, 900);
    pass(500);
    answerWatch(900, {upstreamChange(6, 900)});
    CHECK(surroundings.toAll.size() == 1);
}

TEST_CASE_FIXTURE(
    session_in_zone,
    "store_session: no news for a while in a large zone: the first hosts read for all, "
    "the others for themselves")
{
    answerList(20, {});
    SUBCASE("among the first")
    {
        hear(5, 20);
        readByItself(30);
        CHECK(surroundings.toAll.size() == 1);
    }
    SUBCASE("behind many")
    {
        hear(60, 20);
        readByItself(30);
        CHECK(surroundings.toAll.empty());
    }
}

TEST_CASE_FIXTURE(session_in_zone,
                  "store_session: hosts of two zones are ahead: one of the own zone is asked, else "
                  "another")
{
    start(20, {});
    const auto state = [this](std::uint16_t port, const std::string &zone) {
        peer_report report;
        report.sender = host_record{"p" + std::to_string(port), zone, endpoint{{}, port}, 1, 0};
        report.viewRevision = 25;
        report.viewAge = milliseconds(50);
        session->onPeerReport(report);
    };
    SUBCASE("both")
    {
        state(1, "z");
        state(2, "far");
        pass(200);
        CHECK(surroundings.askedLast.port == 1);
    }
    SUBCASE("the own zone's falls silent after a question")
    {
        state(1, "z");
        pass(130);
        state(2, "far");
        pass(200);
        CHECK(surroundings.askedLast.port == 2);
    }
}
