#include "figstair/core/upstream_directory.h"

#include <doctest/doctest.h>

#include "entry/entry_doubles.h"

using namespace figstair;

namespace {

monotonic_time ms(std::int64_t value)
{
    return monotonic_time(milliseconds(value));
}

struct one_upstream
{
    one_upstream() { directory.apply(entry(10), ms(1000), milliseconds(0)); }

    static record_change entry(std::uint64_t revision, bool isDraining = false,
                               milliseconds coldFor = milliseconds(0))
    {
        upstream_record content;
        content.id = 5;
        content.service = "desk";
        content.zone = "north";
        content.slots = 4;
        content.isDraining = isDraining;
        content.coldFor = coldFor;
        return changeOf(content, revision);
    }
    static record_change removal(std::uint64_t revision)
    {
        record_change change = entry(revision);
        change.content = record_change::removed{};
        return change;
    }
    static record_change evacuation(std::uint64_t revision, bool isRemoved)
    {
        record_change change;
        change.kind = record_kind::evacuation;
        change.name = "north";
        change.revision = revision;
        if (!isRemoved) {
            change.content = zone_evacuation{};
        }
        return change;
    }
    std::size_t candidates() { return directory.candidates("desk", north()).size(); }
    std::uint16_t north() { return directory.zoneNumber("north"); }
    const known_upstream &known() { return directory.at(directory.findTag(upstreamTag(5))); }

    upstream_directory directory{milliseconds(60000)};
};

} // namespace

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: draining or removed: no candidate, its tag still resolves")
{
    CHECK(candidates() == 1);
    directory.apply(entry(11, true), ms(1100), milliseconds(0));
    CHECK(candidates() == 0);
    directory.apply(removal(12), ms(1200), milliseconds(0));
    CHECK(candidates() == 0);
    CHECK(directory.findTag(upstreamTag(5)) != noUpstream);
}

TEST_CASE_FIXTURE(one_upstream, "upstream_directory: an older change: ignored")
{
    directory.apply(removal(12), ms(1200), milliseconds(0));
    directory.apply(entry(11), ms(1300), milliseconds(0));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: left longer ago than the flow lifetime: forgotten")
{
    directory.apply(removal(12), ms(1200), milliseconds(0));
    directory.advance(ms(61000));
    CHECK(directory.findTag(upstreamTag(5)) != noUpstream);
    directory.advance(ms(62500));
    CHECK(directory.findTag(upstreamTag(5)) == noUpstream);
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: an unreadable entry: no candidate, and no new upstream")
{
    record_change bad = entry(11);
    bad.content = record_change::unreadable{"no number"};
    directory.apply(bad, ms(1100), milliseconds(0));
    CHECK(candidates() == 0);
    record_change other = bad;
    other.upstreamId = 6;
    directory.apply(other, ms(1100), milliseconds(0));
    CHECK(directory.findTag(upstreamTag(6)) == noUpstream);
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: zone evacuated and back in use: cold for the given time")
{
    directory.apply(evacuation(11, false), ms(1100), milliseconds(2400));
    CHECK(candidates() == 0);
    directory.apply(evacuation(12, true), ms(2000), milliseconds(2400));
    CHECK(candidates() == 1);
    CHECK(known().coldUntil == ms(4400));
}

TEST_CASE_FIXTURE(one_upstream, "upstream_directory: an unreadable evacuation: in force")
{
    record_change bad = evacuation(11, false);
    bad.content = record_change::unreadable{"garbage"};
    directory.apply(bad, ms(1100), milliseconds(0));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(one_upstream, "upstream_directory: cold time stated: cold for at least that long")
{
    directory.apply(entry(11, false, milliseconds(2000)), ms(1100), milliseconds(0));
    CHECK(known().coldUntil >= ms(3100));
    directory.apply(entry(12), ms(1200), milliseconds(0));
    CHECK(known().coldUntil >= ms(3100));
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: lapsed after an outage: usable until the grace period ends")
{
    directory.keepLapsedUntil(ms(4000));
    directory.apply(removal(12), ms(2000), milliseconds(0));
    CHECK(candidates() == 1);
    SUBCASE("the entry returns: stays a candidate")
    {
        directory.apply(entry(13), ms(3000), milliseconds(0));
        directory.advance(ms(4100));
        CHECK(candidates() == 1);
    }
    SUBCASE("the entry stays missing: no candidate")
    {
        directory.advance(ms(4100));
        CHECK(candidates() == 0);
    }
}

TEST_CASE_FIXTURE(one_upstream, "upstream_directory: draining and lapsed: no candidate at once")
{
    directory.keepLapsedUntil(ms(4000));
    directory.apply(entry(11, true), ms(1900), milliseconds(0));
    directory.apply(removal(12), ms(2000), milliseconds(0));
    directory.apply(entry(13), ms(2100), milliseconds(0));
    directory.apply(removal(14), ms(4200), milliseconds(0));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(
    one_upstream,
    "upstream_directory: a listing without it: removed, unless changed after the listing")
{
    directory.retain({}, 9, ms(1100));
    CHECK(candidates() == 1);
    directory.retain({}, 10, ms(1100));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: a listing without the evacuation: no longer in force")
{
    directory.apply(evacuation(11, false), ms(1100), milliseconds(0));
    const std::vector<record_change> listing{entry(10)};
    directory.retain(listing, 12, ms(1200));
    CHECK(candidates() == 1);
}
