#include "figstair/core/view/upstream_directory.h"

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
    one_upstream() { directory.apply(entry(10), ms(1000)); }

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
    directory.apply(entry(11, true), ms(1100));
    CHECK(candidates() == 0);
    directory.apply(removal(12), ms(1200));
    CHECK(candidates() == 0);
    CHECK(directory.findTag(upstreamTag(5)) != noUpstream);
}

TEST_CASE_FIXTURE(one_upstream, "upstream_directory: an older change: ignored")
{
    directory.apply(removal(12), ms(1200));
    directory.apply(entry(11), ms(1300));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: left longer ago than the flow lifetime: forgotten")
{
    directory.apply(removal(12), ms(1200));
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
    directory.apply(bad, ms(1100));
    CHECK(candidates() == 0);
    record_change other = bad;
    other.upstreamId = 6;
    directory.apply(other, ms(1100));
    CHECK(directory.findTag(upstreamTag(6)) == noUpstream);
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: zone evacuated and back in use: cold for the given time")
{
    directory.setReturnColdTime(milliseconds(2400));
    directory.apply(evacuation(11, false), ms(1100));
    CHECK(candidates() == 0);
    directory.apply(evacuation(12, true), ms(2000));
    CHECK(candidates() == 1);
    CHECK(known().coldUntil == ms(4400));
}

TEST_CASE_FIXTURE(one_upstream, "upstream_directory: an unreadable evacuation: in force")
{
    record_change bad = evacuation(11, false);
    bad.content = record_change::unreadable{"garbage"};
    directory.apply(bad, ms(1100));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(one_upstream, "upstream_directory: cold time stated: cold for at least that long")
{
    directory.apply(entry(11, false, milliseconds(2000)), ms(1100));
    CHECK(known().coldUntil >= ms(3100));
    directory.apply(entry(12), ms(1200));
    CHECK(known().coldUntil >= ms(3100));
}

TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: lapsed after an outage: usable until the grace period ends")
{
    directory.keepLapsedUntil(ms(4000));
    directory.apply(removal(12), ms(2000));
    CHECK(candidates() == 1);
    SUBCASE("the entry returns: stays a candidate")
    {
        directory.apply(entry(13), ms(3000));
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
    directory.apply(entry(11, true), ms(1900));
    directory.apply(removal(12), ms(2000));
    directory.apply(entry(13), ms(2100));
    directory.apply(removal(14), ms(4200));
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
    directory.apply(evacuation(11, false), ms(1100));
    const std::vector<record_change> listing{entry(10)};
    directory.retain(listing, 12, ms(1200));
    CHECK(candidates() == 1);
}

// Guards against the full load on the cold upstreams of a zone that was taken back while the store
// dropped its history.
TEST_CASE_FIXTURE(one_upstream,
                  "upstream_directory: a listing ends an evacuation: cold for the given time")
{
    directory.setReturnColdTime(milliseconds(2400));
    directory.apply(evacuation(11, false), ms(1100));
    const std::vector<record_change> listing{entry(10)};
    directory.retain(listing, 12, ms(1200));
    CHECK(known().coldUntil == ms(3600));
    directory.retain(listing, 13, ms(2000));
    CHECK(known().coldUntil == ms(3600));
}

namespace {

/// The upstream of a record with the key hash 1, and records of another writer with its id.
struct upstream_and_foreign_record : public one_upstream
{
    static record_change keyed(record_change change, std::uint64_t keyHash)
    {
        change.keyHash = keyHash;
        return change;
    }
    upstream_and_foreign_record() { directory.apply(keyed(entry(11), 1), ms(1000)); }
};

} // namespace

// Guards against a live upstream that gets no flows because another writer's record, under another
// key, has the same id.
TEST_CASE_FIXTURE(upstream_and_foreign_record,
                  "upstream_directory: another record with the id of a listed upstream: ignored")
{
    record_change foreign = keyed(entry(12), 2);
    SUBCASE("unreadable")
    {
        foreign.content = record_change::unreadable{"not an object"};
    }
    SUBCASE("draining")
    {
        foreign = keyed(entry(12, true), 2);
    }
    SUBCASE("removed")
    {
        foreign.content = record_change::removed{};
    }
    directory.apply(foreign, ms(1100));
    CHECK(candidates() == 1);
    CHECK(known().revision == 11);
    SUBCASE("the own record is removed, the other is listed")
    {
        directory.retain(std::vector<record_change>{foreign}, 20, ms(1200));
        CHECK(candidates() == 0);
    }
    SUBCASE("the own record changes")
    {
        directory.apply(keyed(entry(13, true), 1), ms(1200));
        CHECK(candidates() == 0);
    }
}

TEST_CASE_FIXTURE(upstream_and_foreign_record,
                  "upstream_directory: an upstream is gone, its id is listed under another key: "
                  "used")
{
    directory.apply(keyed(removal(12), 1), ms(1100));
    CHECK(candidates() == 0);
    directory.apply(keyed(entry(13), 2), ms(1200));
    CHECK(candidates() == 1);
}

TEST_CASE_FIXTURE(upstream_and_foreign_record,
                  "upstream_directory: a snapshot: the receiver ignores other records too")
{
    std::vector<record_change> snapshot;
    directory.appendSnapshot(ms(1100), snapshot);
    upstream_directory receiver{milliseconds(60000)};
    for (const record_change &change : snapshot) {
        receiver.apply(change, ms(1100));
    }
    record_change foreign = keyed(entry(12), 2);
    foreign.content = record_change::unreadable{"not an object"};
    receiver.apply(foreign, ms(1200));
    CHECK(receiver.candidates("desk", receiver.zoneNumber("north")).size() == 1);
}

namespace {

/// An upstream of a zone whose evacuations are marked in the store.
struct upstream_with_marks : public one_upstream
{
    upstream_with_marks() { directory.setReturnColdTime(milliseconds(2400)); }

    static record_change mark(std::uint64_t revision, bool isRemoved = false)
    {
        record_change change;
        change.kind = record_kind::evacuationMark;
        change.name = "north";
        change.revision = revision;
        if (!isRemoved) {
            change.content = evacuation_mark{};
        }
        return change;
    }
};

} // namespace

// Guards against the full load on the cold upstreams of a zone that was taken back just before this
// host started or listed the store.
TEST_CASE_FIXTURE(upstream_with_marks,
                  "upstream_directory: a mark of an evacuation that was not seen: cold for the "
                  "given time")
{
    directory.apply(mark(12), ms(1100));
    CHECK(candidates() == 1);
    CHECK(known().coldUntil == ms(3500));
    directory.apply(mark(12), ms(2000)); // listed again
    CHECK(known().coldUntil == ms(3500));
}

TEST_CASE_FIXTURE(upstream_with_marks,
                  "upstream_directory: a zone is evacuated and taken back: marked, and no longer "
                  "once its upstreams have stated that they are cold")
{
    CHECK_FALSE(directory.dueMark(ms(1000)));
    directory.apply(evacuation(11, false), ms(1100));
    REQUIRE(directory.dueMark(ms(1100)));
    CHECK(directory.dueMark(ms(1100))->zone == "north");
    CHECK_FALSE(directory.dueMark(ms(1100))->isRemoval);
    directory.apply(mark(12), ms(1200));
    CHECK_FALSE(directory.dueMark(ms(1200)));
    directory.apply(evacuation(13, true), ms(5000));
    CHECK_FALSE(directory.dueMark(ms(7300)));
    SUBCASE("no other evacuation")
    {
        REQUIRE(directory.dueMark(ms(7400)));
        CHECK(directory.dueMark(ms(7400))->isRemoval);
        directory.apply(mark(14, true), ms(7500));
        CHECK_FALSE(directory.dueMark(ms(9000)));
    }
    SUBCASE("evacuated again before that: marked again")
    {
        directory.apply(evacuation(14, false), ms(6000));
        REQUIRE(directory.dueMark(ms(6000)));
        CHECK_FALSE(directory.dueMark(ms(6000))->isRemoval);
        directory.apply(mark(15), ms(6100));
        CHECK_FALSE(directory.dueMark(ms(9000)));
    }
}

TEST_CASE_FIXTURE(upstream_with_marks,
                  "upstream_directory: a listing lacks a mark: it is no longer removed")
{
    directory.apply(mark(12), ms(1100));
    REQUIRE(directory.dueMark(ms(4000)));
    const std::vector<record_change> listing{entry(10)};
    directory.retain(listing, 13, ms(4000));
    CHECK_FALSE(directory.dueMark(ms(4000)));
}

namespace {

/// An upstream whose entry was last written with sequence number 9, in a store that is restored
/// from an older copy at time 2000. The grace period for missing entries ends at 4200.
struct upstream_of_restored_store : public one_upstream
{
    void restore(const std::vector<record_change> &copy)
    {
        directory.keepLapsedUntil(ms(4200));
        directory.onStoreRestored(ms(6800));
        for (const record_change &change : copy) {
            directory.apply(change, ms(2000));
        }
        directory.retain(copy, 8, ms(2000));
    }
    static record_change written(std::uint64_t sequence, std::uint64_t revision,
                                 bool isDraining = false, std::int64_t startedAtMs = 1000)
    {
        record_change change = entry(revision, isDraining);
        std::get<upstream_record>(change.content).sequence = sequence;
        std::get<upstream_record>(change.content).startedAtMs = startedAtMs;
        return change;
    }
};

} // namespace

TEST_CASE_FIXTURE(upstream_of_restored_store,
                  "upstream_directory: draining, restored as ready: stays draining")
{
    directory.apply(written(9, 12, true), ms(1100));
    restore({written(5, 4)});
    CHECK(candidates() == 0);
    directory.advance(ms(10000));
    CHECK(candidates() == 0);
    CHECK(known().isListed);
    SUBCASE("its removal in the restored store counts")
    {
        directory.apply(removal(9), ms(10000));
        CHECK_FALSE(known().isListed);
    }
    SUBCASE("its next start counts")
    {
        directory.apply(written(1, 9, false, 9000), ms(10000));
        CHECK(candidates() == 1);
    }
}

TEST_CASE_FIXTURE(upstream_of_restored_store,
                  "upstream_directory: entry restored and written again: the last one counts")
{
    directory.apply(written(9, 12), ms(1100));
    restore({written(5, 4)});
    CHECK(candidates() == 1);
    directory.apply(written(9, 6), ms(2100));
    directory.apply(written(10, 9, true), ms(2200));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(upstream_of_restored_store,
                  "upstream_directory: gone, restored as ready: no candidate until it has surely "
                  "written again")
{
    directory.apply(written(9, 12), ms(1100));
    directory.apply(removal(13), ms(1200));
    restore({written(9, 4)});
    directory.advance(ms(6700));
    CHECK(candidates() == 0);
    SUBCASE("the entry expires")
    {
        directory.apply(removal(9), ms(6700));
        directory.advance(ms(10000));
        CHECK(candidates() == 0);
    }
    SUBCASE("the entry stands longer than that of a silent upstream")
    {
        directory.advance(ms(6800));
        CHECK(candidates() == 1);
    }
    SUBCASE("the upstream writes again")
    {
        directory.apply(written(10, 9), ms(6700));
        CHECK(candidates() == 1);
    }
}

TEST_CASE_FIXTURE(upstream_of_restored_store,
                  "upstream_directory: started again, restored as it was before: the later start "
                  "counts")
{
    directory.apply(written(9, 12, false, 1000), ms(1100));
    directory.apply(written(2, 13, true, 1900), ms(1900));
    restore({written(9, 4, false, 1000)});
    CHECK(candidates() == 0);
    CHECK(known().entry.startedAtMs == 1900);
}

TEST_CASE_FIXTURE(upstream_of_restored_store,
                  "upstream_directory: started again long after the restoration, by a clock that "
                  "was set back: the later entry counts")
{
    directory.apply(written(9, 12, false, 9000), ms(1100));
    restore({written(9, 4, false, 9000)});
    directory.apply(written(1, 9, true, 8000), ms(7000));
    CHECK(candidates() == 0);
}

TEST_CASE_FIXTURE(upstream_of_restored_store,
                  "upstream_directory: evacuation requested after the copy: in force until it can "
                  "be back")
{
    directory.setReturnColdTime(milliseconds(2400));
    directory.apply(evacuation(12, false), ms(1100));
    restore({entry(4)});
    CHECK(candidates() == 0);
    SUBCASE("it is requested again")
    {
        directory.apply(evacuation(9, false), ms(3000));
        directory.advance(ms(10000));
        CHECK(candidates() == 0);
    }
    SUBCASE("it is not")
    {
        directory.advance(ms(4200));
        CHECK(candidates() == 1);
        CHECK(known().coldUntil == ms(6600));
    }
}
