#include "figstair/core/view/view_feed.h"

#include <deque>
#include <set>

#include <doctest/doctest.h>

using namespace figstair;

namespace {

monotonic_time ms(std::int64_t value)
{
    return monotonic_time(milliseconds(100000 + value));
}

store_position at(std::uint64_t revision)
{
    return {1, revision};
}

/// A feed that has listed the store at revision 50 at time 0.
struct listed_feed
{
    listed_feed()
    {
        CHECK(feed.nextCall(ms(0), 0).operation == feed_call::kind::list);
        feed.onListed(at(50), ms(0));
    }

    view_feed feed{1};
};

} // namespace

TEST_CASE_FIXTURE(
    listed_feed,
    "view_feed: first-ranked host: watches the store, one call at a time, several changes in one")
{
    const feed_call call = feed.nextCall(ms(1), 0);
    CHECK(call.operation == feed_call::kind::watch);
    CHECK(call.afterRevision == 50);
    CHECK(feed.nextCall(ms(2), 0).operation == feed_call::kind::none);
    feed.onWatched(at(53), ms(300));
    CHECK(feed.nextCall(ms(301), 0).operation == feed_call::kind::none);
    CHECK(feed.nextCall(ms(501), 0).afterRevision == 53);
}

TEST_CASE_FIXTURE(
    listed_feed,
    "view_feed: the process is paused while an answer waits for it: the view is as old "
    "as the answer")
{
    const feed_call call = feed.nextCall(ms(1), 0);
    constexpr std::int64_t resumedAt = 10000;
    feed.onWatched(at(53), ms(resumedAt));
    const monotonic_time latestAnswer = ms(1) + call.maxWait;
    CHECK(feed.lastReadAge(ms(resumedAt)) >= ms(resumedAt) - latestAnswer);
    CHECK(feed.age(ms(resumedAt)) >= ms(resumedAt) - latestAnswer);
}

TEST_CASE_FIXTURE(
    listed_feed,
    "view_feed: suspended while an answer waits for it, and the clock with it: the view is as old "
    "as the answer")
{
    constexpr milliseconds suspension{10000};
    const feed_call call = feed.nextCall(ms(1), 0);
    SUBCASE("noticed before the answer is read")
    {
        feed.onFreeze(suspension);
        feed.onWatched(at(53), ms(300));
    }
    SUBCASE("noticed after the answer is read")
    {
        feed.onWatched(at(53), ms(300));
        feed.onFreeze(suspension);
    }
    const milliseconds leastAge = suspension - call.maxWait;
    CHECK(feed.age(ms(300)) >= leastAge);
    CHECK(feed.lastReadAge(ms(300)) >= leastAge);
}

TEST_CASE_FIXTURE(listed_feed, "view_feed: another host: reads only when its view is too old")
{
    CHECK(feed.nextCall(ms(1000), 1).operation == feed_call::kind::none);
    feed.onPeerView(at(50), milliseconds(100), ms(1000));
    CHECK(feed.nextCall(ms(2000), 1).operation == feed_call::kind::none);
    CHECK(feed.nextCall(ms(2600), 1).operation == feed_call::kind::watch);
}

TEST_CASE_FIXTURE(listed_feed, "view_feed: nothing is relayed: read within the tightest bound")
{
    // Any host must have a change 3 s after the store, the duration of a call included.
    std::int64_t now = 0;
    while (feed.nextCall(ms(now), 8).operation == feed_call::kind::none) {
        now += 10;
    }
    CHECK(now + 900 < 3000);
}

TEST_CASE_FIXTURE(listed_feed, "view_feed: changes passed on: applied only without a gap")
{
    CHECK(feed.onRelayedChanges(50, at(52), milliseconds(5), milliseconds(0), ms(100)));
    CHECK(feed.position().revision == 52);
    CHECK_FALSE(feed.onRelayedChanges(53, at(54), milliseconds(5), milliseconds(0), ms(110)));
    CHECK(feed.position().revision == 52);
    CHECK_FALSE(feed.onRelayedChanges(50, at(52), milliseconds(5), milliseconds(0), ms(120)));
    CHECK(feed.onRelayedChanges(51, at(55), milliseconds(5), milliseconds(0), ms(130)));
    CHECK(feed.position().revision == 55);
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: others have a newer view: changes requested from them, then read")
{
    feed.onPeerView(at(60), milliseconds(0), ms(100));
    CHECK_FALSE(feed.takeDuePull(ms(110)));
    CHECK(feed.takeDuePull(ms(230)));
    CHECK_FALSE(feed.takeDuePull(ms(240)));
    CHECK(feed.nextCall(ms(300), 3).operation == feed_call::kind::none);
    CHECK(feed.nextCall(ms(600), 3).operation == feed_call::kind::watch);
    feed.onWatched(at(60), ms(610));
    CHECK_FALSE(feed.takeDuePull(ms(900)));
}

// Guards against hosts that never catch up after a compaction of the store: reports of other hosts
// with the same old view ended the wait for the changes that all of them lacked.
TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: hosts with the same old view report too: the missing changes are "
                  "still requested, then read")
{
    feed.onPeerView(at(60), milliseconds(0), ms(100));
    std::int64_t firstPull = 0;
    std::int64_t read = 0;
    for (std::int64_t now = 100; now < 1000 && read == 0; now += 10) {
        feed.onPeerView(at(50), milliseconds(20), ms(now));
        if (feed.takeDuePull(ms(now)) && firstPull == 0) {
            firstPull = now;
        }
        if (feed.nextCall(ms(now), 3).operation == feed_call::kind::watch) {
            read = now;
        }
    }
    CHECK(firstPull > 0);
    CHECK(firstPull <= 300);
    CHECK(read > firstPull);
    CHECK(read <= 600);
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: changes keep coming, each behind another host's report: not read")
{
    for (std::int64_t now = 100; now < 1300; now += 100) {
        const std::uint64_t revision = 50 + static_cast<std::uint64_t>(now / 100);
        feed.onPeerView(at(revision + 1), milliseconds(0), ms(now));
        CHECK(feed.onRelayedChanges(revision - 1, at(revision), milliseconds(50), milliseconds(0),
                                    ms(now + 50)));
        CHECK(feed.nextCall(ms(now + 60), 3).operation == feed_call::kind::none);
    }
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: an answer states a new epoch: listed at once, revisions start anew")
{
    feed.onStoreEpoch(2, ms(100));
    CHECK(feed.nextCall(ms(100), 3).operation == feed_call::kind::list);
    CHECK(feed.onListed({2, 40}, ms(110)));
    CHECK(feed.position() == store_position{2, 40});
    CHECK(feed.lapseGraceEnd() > ms(2000));
    CHECK_FALSE(feed.onRelayedChanges(50, {1, 60}, milliseconds(5), milliseconds(0), ms(120)));
    feed.onPeerView({1, 60}, milliseconds(0), ms(130));
    CHECK_FALSE(feed.takeDuePull(ms(400)));
    CHECK(feed.isUpToDate());
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: hosts report a new epoch: their listings are spread, within the "
                  "tightest bound")
{
    std::set<std::int64_t> times;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        view_feed host{seed};
        host.nextCall(ms(0), 5);
        host.onListed(at(50), ms(0));
        host.onPeerView({2, 10}, milliseconds(0), ms(100));
        std::int64_t now = 100;
        while (host.nextCall(ms(now), 5).operation == feed_call::kind::none) {
            now += 10;
        }
        times.insert(now);
    }
    CHECK(times.size() > 5);
    CHECK(*times.rbegin() + 900 < 3000);
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: the store answers in an older epoch than hosts report: calls pause")
{
    feed.onPeerView({2, 10}, milliseconds(0), ms(100));
    int calls = 0;
    for (std::int64_t now = 100; now < 5100; now += 10) {
        if (feed.nextCall(ms(now), 5).operation != feed_call::kind::none) {
            ++calls;
            CHECK_FALSE(feed.onListed(at(60), ms(now)));
        }
    }
    CHECK(calls >= 3);
    CHECK(calls <= 20);
}

TEST_CASE_FIXTURE(listed_feed, "view_feed: history gone: the store is listed at once")
{
    feed.nextCall(ms(1), 0);
    feed.onFailed(true, ms(5));
    CHECK(feed.nextCall(ms(5), 0).operation == feed_call::kind::list);
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: history gone after each listing: listed with growing pauses")
{
    int listings = 0;
    for (std::int64_t now = 10; now < 5010; now += 10) {
        const feed_call call = feed.nextCall(ms(now), 0);
        if (call.operation == feed_call::kind::list) {
            ++listings;
            feed.onListed(at(50), ms(now));
        } else if (call.operation == feed_call::kind::watch) {
            feed.onFailed(true, ms(now));
        }
    }
    CHECK(listings >= 4);
    CHECK(listings <= 15);
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: calls fail: retried with growing pauses, then a grace period")
{
    std::int64_t now = 10;
    std::int64_t last = now;
    int calls = 0;
    while (now < 5010) {
        if (feed.nextCall(ms(now), 0).operation != feed_call::kind::none) {
            ++calls;
            CHECK(now - last <= 1610);
            last = now;
            feed.onFailed(false, ms(now));
        }
        now += 10;
    }
    CHECK(calls >= 4);
    CHECK(calls <= 15);
    while (feed.nextCall(ms(now), 0).operation == feed_call::kind::none) {
        now += 10;
    }
    feed.onWatched(at(70), ms(now));
    // Expired entries are back within about 2 s of the end of the outage.
    CHECK(feed.lapseGraceEnd() >= ms(now + 2000));
    CHECK(feed.lapseGraceEnd() <= ms(now + 2500));
}

TEST_CASE_FIXTURE(listed_feed, "view_feed: a relayed grace period: applies here too")
{
    CHECK(feed.onRelayedChanges(50, at(52), milliseconds(5), milliseconds(1500), ms(100)));
    CHECK(feed.lapseGraceEnd() == ms(1600));
}

TEST_CASE("view_feed: no host reads, reports are delayed: views are not kept fresh by each other")
{
    // Messages between slow hosts are delayed by 100 ms; each host receives one every 20 ms.
    constexpr std::int64_t messageDelayMs = 100;
    view_feed first(1);
    view_feed second(2);
    for (view_feed *feed : {&first, &second}) {
        feed->nextCall(ms(0), 1);
        feed->onListed(at(50), ms(0));
    }
    std::int64_t now = 0;
    std::deque<std::pair<milliseconds, milliseconds>> inTransit;
    while (first.nextCall(ms(now), 1).operation == feed_call::kind::none && now < 10000) {
        inTransit.emplace_back(first.lastReadAge(ms(now)), second.lastReadAge(ms(now)));
        if (inTransit.size() > messageDelayMs / 20) {
            second.onPeerView(at(50), inTransit.front().first, ms(now));
            first.onPeerView(at(50), inTransit.front().second, ms(now));
            inTransit.pop_front();
        }
        now += 20;
    }
    CHECK(now <= 2000);
}

TEST_CASE_FIXTURE(
    listed_feed,
    "view_feed: a batch that ends before the revision of others: the next follows without delay")
{
    feed.onPeerView(at(2000), milliseconds(50), ms(10));
    CHECK_FALSE(feed.isUpToDate());
    REQUIRE(feed.nextCall(ms(600), 5).operation == feed_call::kind::watch);
    feed.onWatched(at(550), ms(650));
    CHECK_FALSE(feed.isUpToDate());
    feed.onPeerView(at(2000), milliseconds(50), ms(651));
    REQUIRE(feed.nextCall(ms(1101), 5).operation == feed_call::kind::watch);
    feed.onWatched(at(2000), ms(1200));
    CHECK(feed.isUpToDate());
}

// Guards against slow hosts that read a large configuration from the store while they receive it
// from another host, and then fall further behind.
TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: parts of a large change keep arriving: no read, until they stop")
{
    feed.onPeerView(at(51), milliseconds(0), ms(100));
    for (std::int64_t time = 200; time <= 3000; time += 200) {
        feed.onPartReceived(ms(time));
        CHECK(feed.nextCall(ms(time + 199), 5).operation == feed_call::kind::none);
        feed.takeDuePull(ms(time + 199));
        CHECK(feed.nextDeadline(ms(time + 199), 5) > ms(time + 199));
    }
    feed.onFreeze(milliseconds(600));
    CHECK(feed.nextCall(ms(3100), 5).operation == feed_call::kind::none);
    const monotonic_time deadline = feed.nextDeadline(ms(3100), 5);
    CHECK(deadline <= ms(3450));
    CHECK(feed.nextCall(deadline, 5).operation == feed_call::kind::watch);
}

TEST_CASE_FIXTURE(listed_feed,
                  "view_feed: the first-ranked host receives parts of a large change: still reads")
{
    feed.onPartReceived(ms(100));
    CHECK(feed.nextCall(ms(101), 0).operation == feed_call::kind::watch);
}
