#include "figstair/core/view/report_exchange.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"

using namespace figstair;

namespace {

/// One host with 1,000 upstreams in its zone and a given number of other hosts.
class exchange_fixture
{
public:
    explicit exchange_fixture(unsigned otherHosts)
    {
        for (std::uint64_t id = 1; id <= 1000; ++id) {
            upstream_record entry;
            entry.id = id;
            entry.service = "desk";
            entry.zone = "here";
            directory.apply(changeOf(entry, id), now);
        }
        for (unsigned number = 2; number < otherHosts + 2; ++number) {
            receiveReport(number, {});
        }
    }

    static host_record hostOf(unsigned number)
    {
        return host_record{"h" + std::to_string(number), "here",
                           endpoint{{}, static_cast<std::uint16_t>(number)}, 1};
    }

    /// @p revision: of the sender's view; the one of this host is 20.
    void receiveReport(unsigned number, std::vector<load_row> rows, bool isNews = false,
                       std::uint64_t revision = 20)
    {
        peer_report report;
        report.viewRevision = revision;
        report.sender = hostOf(number);
        report.isDelta = isNews;
        report.rows = std::move(rows);
        reports.onReport(report, store_position{0, 20}, now);
    }

    /// Runs for @p time and returns the reports sent.
    std::vector<outgoing_report> run(milliseconds time)
    {
        std::vector<outgoing_report> sent;
        const monotonic_time end = now + time;
        for (; now < end; now += milliseconds(10)) {
            if (now >= reports.nextDeadline()) {
                if (auto due = reports.takeDue(now)) {
                    sent.push_back(std::move(*due));
                }
            }
        }
        return sent;
    }

    upstream_index indexOf(std::uint64_t id) const { return directory.findTag(upstreamTag(id)); }

    void eject(std::uint64_t id)
    {
        health.onTimeout(indexOf(id), now);
        health.onTimeout(indexOf(id), now);
    }

    /// Ids from 1 to 1,000 whose trials @p host owns.
    std::vector<std::uint64_t> ownedBy(const std::string &host) const
    {
        std::vector<std::uint64_t> ids;
        for (std::uint64_t id = 1; id <= 1000; ++id) {
            if (roster.ownerOf(id, "here", now) == host) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    monotonic_time now{milliseconds(10000)};
    upstream_directory directory{milliseconds(60000)};
    load_board loads{directory};
    upstream_health health;
    peer_roster roster{hostOf(1)};
    report_exchange reports{directory, loads, health, roster};
};

class small_fleet : public exchange_fixture
{
public:
    small_fleet()
        : exchange_fixture(8)
    {
    }
};

class large_fleet : public exchange_fixture
{
public:
    large_fleet()
        : exchange_fixture(100)
    {
    }
};

} // namespace

TEST_CASE_FIXTURE(small_fleet,
                  "report_exchange: news in a small fleet: a full report to all hosts at once")
{
    run(milliseconds(20));
    eject(1);
    reports.noteNews();
    const auto sent = run(milliseconds(20));
    REQUIRE(sent.size() == 1);
    CHECK_FALSE(sent[0].report.isDelta);
    CHECK(sent[0].targets.size() == 8);
}

TEST_CASE_FIXTURE(
    large_fleet, "report_exchange: continuous news in a large fleet: messages and rows are bounded")
{
    run(milliseconds(20));
    std::size_t messages = 0;
    std::size_t rows = 0;
    for (int round = 0; round < 100; ++round) {
        for (std::uint64_t id = 1; id <= 1000; ++id) {
            health.onTimeout(indexOf(id), now);
        }
        reports.noteNews();
        for (const outgoing_report &sent : run(milliseconds(50))) {
            if (sent.report.isDelta) {
                messages += sent.targets.size();
                rows = std::max(rows, sent.report.rows.size());
            }
        }
    }
    // 5 s; the first message goes out at once.
    CHECK(messages <= 5 * 75 + 100);
    CHECK(messages >= 100);
    CHECK(rows <= 64);
}

TEST_CASE_FIXTURE(large_fleet,
                  "report_exchange: a lost zone in a large fleet: each report has all owned "
                  "ejections, and the others in rotation")
{
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        eject(id);
    }
    now += milliseconds(300); // its own timeouts are no longer recent
    const std::vector<std::uint64_t> owned = ownedBy("h1");
    REQUIRE_FALSE(owned.empty());
    std::set<std::uint32_t> reportedTags;
    for (const outgoing_report &sent : run(milliseconds(150 * 18))) {
        std::set<std::uint32_t> tags;
        for (const load_row &row : sent.report.rows) {
            tags.insert(row.tag);
            CHECK(row.isEjected);
        }
        CHECK(tags.size() <= owned.size() + 64);
        for (const std::uint64_t id : owned) {
            CHECK(tags.count(upstreamTag(id)) == 1);
        }
        reportedTags.insert(tags.begin(), tags.end());
    }
    CHECK(reportedTags.size() == 1000);
}

TEST_CASE_FIXTURE(
    large_fleet, "report_exchange: another host ejects an owned upstream: news to the zone at once")
{
    run(milliseconds(20));
    const std::uint64_t id = ownedBy("h1").front();
    receiveReport(2, {load_row{upstreamTag(id), 0, 0, true}}, true);
    CHECK(health.isEjected(indexOf(id)));
    const auto sent = run(milliseconds(20));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].report.isDelta);
    CHECK(sent[0].targets.size() == 100);
    REQUIRE(sent[0].report.rows.size() == 1);
    CHECK(sent[0].report.rows[0].tag == upstreamTag(id));
}

TEST_CASE_FIXTURE(
    large_fleet,
    "report_exchange: an ejection by the owner: applies here until the owner's report omits it")
{
    const std::uint64_t id = ownedBy("h2").front();
    receiveReport(2, {load_row{upstreamTag(id), 0, 0, true}}, true);
    now += milliseconds(400);
    CHECK(health.eligibilityOf(indexOf(id), now) == placement_eligibility::none);
    receiveReport(3, {}); // not the owner
    CHECK(health.isEjected(indexOf(id)));
    now += milliseconds(600);
    receiveReport(2, {}, true); // news clears nothing
    CHECK(health.isEjected(indexOf(id)));
    receiveReport(2, {});
    CHECK_FALSE(health.isEjected(indexOf(id)));
}

// Guards against the full load on an upstream that came back cold after all other hosts ejected it:
// a host that had just started knew only the upstream's answers.
TEST_CASE_FIXTURE(small_fleet,
                  "report_exchange: an ejection by the owner in a small fleet, no history of the "
                  "upstream here: applies until the owner omits it")
{
    const std::uint64_t id = ownedBy("h2").front();
    SUBCASE("no answer yet") { }
    SUBCASE("first answers a moment ago")
    {
        health.onAnswered(indexOf(id), now);
        now += milliseconds(100);
        health.onAnswered(indexOf(id), now);
    }
    receiveReport(2, {load_row{upstreamTag(id), 0, 0, true}});
    CHECK(health.eligibilityOf(indexOf(id), now) == placement_eligibility::none);
    now += milliseconds(600);
    receiveReport(2, {});
    CHECK(health.eligibilityOf(indexOf(id), now) == placement_eligibility::unrestricted);
}

// Guards against an ejection that never ends: the owner took the reports of the hosts that followed
// it for evidence of their own, and ejected the upstream again after each successful trial.
TEST_CASE_FIXTURE(small_fleet,
                  "report_exchange: an ejection that only follows the owner's: not reported, until "
                  "the upstream does not answer here either")
{
    const std::uint64_t id = ownedBy("h2").front();
    receiveReport(2, {load_row{upstreamTag(id), 0, 0, true}});
    REQUIRE(health.isEjected(indexOf(id)));
    const auto isReported = [&] {
        bool isEjected = false;
        for (const outgoing_report &sent : run(milliseconds(150))) {
            for (const load_row &row : sent.report.rows) {
                isEjected = isEjected || (row.tag == upstreamTag(id) && row.isEjected);
            }
        }
        return isEjected;
    };
    CHECK_FALSE(isReported());
    health.onTimeout(indexOf(id), now);
    CHECK(isReported());
}

// Guards against a new owner that does not report an ejection which it took over from the owner
// before: all other hosts would end theirs and send flows to a dead upstream.
TEST_CASE_FIXTURE(small_fleet,
                  "report_exchange: an ejection that follows the owner's, this host becomes the "
                  "owner: reported")
{
    const auto isReported = [&](std::uint64_t id) {
        bool isEjected = false;
        for (const outgoing_report &sent : run(milliseconds(150))) {
            for (const load_row &row : sent.report.rows) {
                isEjected = isEjected || (row.tag == upstreamTag(id) && row.isEjected);
            }
        }
        return isEjected;
    };
    std::vector<load_row> rows;
    const std::vector<std::uint64_t> ids = ownedBy("h2");
    rows.reserve(ids.size());
    for (const std::uint64_t id : ids) {
        rows.push_back(load_row{upstreamTag(id), 0, 0, true});
    }
    receiveReport(2, rows);
    now += milliseconds(500); // all other hosts are silent, so this one owns all
    CHECK(isReported(ids.front()));
}

// Guards against the full load on a returned upstream at a host that became its owner by its start.
TEST_CASE_FIXTURE(
    small_fleet,
    "report_exchange: another host reports an ejection of an owned upstream without a "
    "history here: ejected despite its first answers")
{
    const std::uint64_t id = ownedBy("h1").front();
    health.onAnswered(indexOf(id), now);
    receiveReport(2, {load_row{upstreamTag(id), 0, 0, true}});
    CHECK(health.isEjected(indexOf(id)));
}

// Guards against one owner that is cut off from an upstream taking it from all other hosts.
TEST_CASE_FIXTURE(small_fleet,
                  "report_exchange: an ejection by the owner in a small fleet, a history of the "
                  "upstream here: only suspected")
{
    const std::uint64_t id = ownedBy("h2").front();
    health.onAnswered(indexOf(id), now);
    now += milliseconds(2000);
    receiveReport(2, {load_row{upstreamTag(id), 0, 0, true}});
    CHECK(health.eligibilityOf(indexOf(id), now) == placement_eligibility::lastResort);
}

// Guards against the full load on an upstream that restarted cold: its owner, which had the new
// entry, no longer reported it as ejected, and hosts without the entry took that for a recovery.
TEST_CASE_FIXTURE(large_fleet,
                  "report_exchange: the owner has a newer view and omits an ejection: it applies "
                  "here until the views are equal")
{
    const std::uint64_t id = ownedBy("h2").front();
    receiveReport(2, {load_row{upstreamTag(id), 0, 0, true}}, true);
    now += milliseconds(1000);
    receiveReport(2, {}, false, 21);
    CHECK(health.isEjected(indexOf(id)));
    receiveReport(2, {}, false, 20);
    CHECK_FALSE(health.isEjected(indexOf(id)));
}

TEST_CASE_FIXTURE(large_fleet,
                  "report_exchange: an ejection by a host that is not the owner: suspected "
                  "here, until that expires")
{
    const std::uint64_t id = ownedBy("h2").front();
    receiveReport(3, {load_row{upstreamTag(id), 0, 0, true}}, true);
    CHECK(health.eligibilityOf(indexOf(id), now) == placement_eligibility::lastResort);
    now += milliseconds(400);
    CHECK(health.eligibilityOf(indexOf(id), now) == placement_eligibility::unrestricted);
}

TEST_CASE_FIXTURE(large_fleet,
                  "report_exchange: news of another host: its loads stay as reported before")
{
    receiveReport(2, {load_row{upstreamTag(7), 3, 0, false}});
    CHECK(loads.openRequests(indexOf(7)) == 3);
    receiveReport(2, {load_row{upstreamTag(8), 0, 0, false, false, true}}, true);
    CHECK(loads.openRequests(indexOf(7)) == 3);
    receiveReport(2, {});
    CHECK(loads.openRequests(indexOf(7)) == 0);
}

TEST_CASE_FIXTURE(large_fleet, "report_exchange: leaving: reported to the whole zone at once")
{
    run(milliseconds(20));
    reports.leave();
    const auto sent = run(milliseconds(20));
    REQUIRE_FALSE(sent.empty());
    CHECK(sent[0].report.isLeaving);
    CHECK(sent[0].targets.size() == 100);
}
