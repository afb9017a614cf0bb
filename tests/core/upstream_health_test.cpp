#include "figstair/core/health/upstream_health.h"

#include <doctest/doctest.h>

using namespace figstair;

namespace {

monotonic_time ms(std::int64_t value)
{
    return monotonic_time(milliseconds(10000 + value));
}

constexpr upstream_index testUpstream = 3;

struct ejected_upstream
{
    ejected_upstream()
    {
        health.onTimeout(testUpstream, ms(0));
        health.onTimeout(testUpstream, ms(10));
    }

    upstream_health health;
};

} // namespace

TEST_CASE(
    "upstream_health: one timeout: last resort until the suspicion expires or an answer comes")
{
    upstream_health health;
    health.onTimeout(testUpstream, ms(0));
    CHECK(health.eligibilityOf(testUpstream, ms(1)) == placement_eligibility::lastResort);
    SUBCASE("the suspicion expires")
    {
        CHECK(health.eligibilityOf(testUpstream, ms(1000)) == placement_eligibility::unrestricted);
    }
    SUBCASE("an answer")
    {
        health.onAnswered(testUpstream, ms(2));
        CHECK(health.eligibilityOf(testUpstream, ms(3)) == placement_eligibility::unrestricted);
    }
}

TEST_CASE_FIXTURE(ejected_upstream,
                  "upstream_health: ejected: one trial after the backoff, then none until it ends")
{
    CHECK(health.isEjected(testUpstream));
    CHECK(health.eligibilityOf(testUpstream, ms(100)) == placement_eligibility::none);
    CHECK(health.eligibilityOf(testUpstream, ms(600)) == placement_eligibility::trial);
    health.onTrialSent(testUpstream, ms(600));
    CHECK(health.eligibilityOf(testUpstream, ms(601)) == placement_eligibility::none);
}

TEST_CASE_FIXTURE(ejected_upstream,
                  "upstream_health: trials fail: the backoff doubles up to its maximum")
{
    std::int64_t now = 10;
    std::int64_t backoff = 0;
    for (int failure = 0; failure < 8; ++failure) {
        const std::int64_t start = now;
        while (health.eligibilityOf(testUpstream, ms(now)) != placement_eligibility::trial) {
            now += 10;
            REQUIRE(now < 100000);
        }
        CHECK(now - start >= backoff);
        backoff = now - start;
        CHECK(backoff <= 8000 + 10);
        health.onTrialSent(testUpstream, ms(now));
        health.onTimeout(testUpstream, ms(now));
    }
    CHECK(backoff >= 4000);
}

TEST_CASE_FIXTURE(ejected_upstream,
                  "upstream_health: a trial is answered: on probation, then unrestricted")
{
    CHECK(health.eligibilityOf(testUpstream, ms(600)) == placement_eligibility::trial);
    health.onAnswered(testUpstream, ms(620));
    CHECK(health.isEjected(testUpstream));
    CHECK(health.eligibilityOf(testUpstream, ms(2300)) == placement_eligibility::unrestricted);
}

TEST_CASE("upstream_health: answered through another host: known, but not as a local answer")
{
    upstream_health health;
    health.onAnswered(testUpstream, ms(0));
    health.onAnsweredAtPeer(testUpstream, ms(50));
    health.onAnsweredAtPeer(testUpstream, ms(40));
    CHECK(health.lastAnswerTime(testUpstream) == ms(50));
    CHECK(health.lastLocalAnswerTime(testUpstream) == ms(0));
}

TEST_CASE("upstream_health: another host ejects it: ejected here by the owner of its trials only")
{
    upstream_health health;
    SUBCASE("not the owner of its trials")
    {
        health.onEjectedByPeer(testUpstream, false, ms(0));
        CHECK(health.eligibilityOf(testUpstream, ms(1)) == placement_eligibility::lastResort);
        CHECK_FALSE(health.isEjected(testUpstream));
    }
    SUBCASE("the owner of its trials")
    {
        health.onEjectedByPeer(testUpstream, true, ms(0));
        CHECK(health.isEjected(testUpstream));
    }
    SUBCASE("the owner, with a recent answer")
    {
        health.onAnswered(testUpstream, ms(0));
        health.onEjectedByPeer(testUpstream, true, ms(10));
        CHECK(health.eligibilityOf(testUpstream, ms(11)) == placement_eligibility::unrestricted);
    }
}

TEST_CASE_FIXTURE(ejected_upstream,
                  "upstream_health: the owner of its trials clears it: ignored until the owner can "
                  "know, then unrestricted")
{
    health.onClearedByOwner(testUpstream, ms(100));
    CHECK(health.isEjected(testUpstream));
    health.onClearedByOwner(testUpstream, ms(600));
    CHECK(health.eligibilityOf(testUpstream, ms(601)) == placement_eligibility::unrestricted);
}

TEST_CASE(
    "upstream_health: the owner of its trials ejects it: ejected here until the owner clears it")
{
    upstream_health health;
    SUBCASE("no recent answer here")
    {
        health.onEjectedByOwner(testUpstream, ms(0));
        CHECK(health.eligibilityOf(testUpstream, ms(1)) == placement_eligibility::none);
        CHECK(health.stateSince(testUpstream) == ms(0));
        health.onClearedByOwner(testUpstream, ms(1000));
        CHECK(health.eligibilityOf(testUpstream, ms(1001)) == placement_eligibility::unrestricted);
    }
    SUBCASE("a recent answer here takes precedence")
    {
        health.onAnswered(testUpstream, ms(0));
        health.onEjectedByOwner(testUpstream, ms(10));
        CHECK(health.eligibilityOf(testUpstream, ms(11)) == placement_eligibility::unrestricted);
    }
}

TEST_CASE("upstream_health: more suspected than asked for: the latest are returned")
{
    upstream_health health;
    for (upstream_index upstream = 0; upstream < 5; ++upstream) {
        health.onTimeout(upstream, ms(10 * std::int64_t(upstream)));
    }
    CHECK(health.locallySuspected(ms(50), 2) == std::vector<upstream_index>{4, 3});
    CHECK(health.locallySuspected(ms(1000), 2).empty());
}

TEST_CASE_FIXTURE(ejected_upstream, "upstream_health: reset: unrestricted")
{
    health.reset(testUpstream);
    CHECK(health.eligibilityOf(testUpstream, ms(20)) == placement_eligibility::unrestricted);
}
