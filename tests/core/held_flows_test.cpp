#include "figstair/core/flow/held_flows.h"

#include <doctest/doctest.h>

using namespace figstair;

namespace {

monotonic_time ms(std::int64_t value)
{
    return monotonic_time(milliseconds(10000 + value));
}

held_flow heldFlow(std::uint16_t port, held_rank rank, std::uint32_t caller = 7,
                   std::int64_t expiresAt = 100, const std::string &service = "desk")
{
    return held_flow{
        flow_id{caller, 1, port, 443}, service, {1}, rank, 0, rank.isLate, ms(0), ms(expiresAt)};
}

constexpr held_rank urgent{false, 1};
constexpr held_rank lessUrgent{false, 2};
constexpr held_rank lateUrgent{true, 1};

struct queues
{
    unsigned popPort(const std::string &service = "desk")
    {
        return held.pop(service).flow.callerPort;
    }

    held_flows held{4};
};

} // namespace

TEST_CASE_FIXTURE(queues,
                  "held_flows: several ranks: in time before late, urgent first, callers "
                  "in turn")
{
    held.push(heldFlow(1, lateUrgent));
    held.push(heldFlow(2, lessUrgent));
    held.push(heldFlow(3, urgent));
    held.push(heldFlow(4, urgent));
    held.push(heldFlow(5, urgent, 8));
    CHECK(held.front("desk")->flow.callerPort == 3);
    CHECK(popPort() == 3);
    CHECK(popPort() == 5);
    CHECK(popPort() == 4);
    CHECK(popPort() == 2);
    CHECK(popPort() == 1);
    CHECK(held.isEmpty());
    CHECK(held.front("desk") == nullptr);
}

TEST_CASE_FIXTURE(queues, "held_flows: flows of two services: each has its own queue")
{
    held.push(heldFlow(1, urgent));
    held.push(heldFlow(2, lessUrgent, 7, 100, "catalogue"));
    CHECK(held.services().size() == 2);
    CHECK(popPort("catalogue") == 2);
    CHECK(held.services() == std::vector<std::string>{"desk"});
}

TEST_CASE_FIXTURE(queues, "held_flows: flows have expired: are taken, wherever they are queued")
{
    held.push(heldFlow(1, urgent, 7, 500));
    held.push(heldFlow(2, urgent, 7, 50));
    held.push(heldFlow(3, urgent, 7, 40));
    const std::vector<held_flow> expired = held.takeExpired(ms(50));
    REQUIRE(expired.size() == 2);
    CHECK(expired[0].flow.callerPort == 3);
    CHECK(held.size() == 1);
    CHECK(popPort() == 1);
    CHECK(held.takeExpired(ms(1000)).empty());
}

TEST_CASE_FIXTURE(queues,
                  "held_flows: full of one caller's flows: another caller's takes the "
                  "place of one")
{
    for (std::uint16_t port = 1; port <= 4; ++port) {
        CHECK_FALSE(held.push(heldFlow(port, urgent)).has_value());
    }
    CHECK(held.push(heldFlow(5, urgent, 8))->flow.callerPort == 4);
    CHECK(held.push(heldFlow(6, urgent))->flow.callerPort == 6);
    CHECK(held.size() == 4);
    CHECK(held.takeExpired(ms(1000)).size() == 4);
}

TEST_CASE_FIXTURE(queues,
                  "held_flows: a caller with many held flows: another caller's flow has "
                  "few before it")
{
    for (std::uint16_t port = 1; port <= 4; ++port) {
        held.push(heldFlow(port, urgent));
    }
    CHECK(held.aheadOf("desk", urgent, 7) == 4);
    CHECK(held.aheadOf("desk", urgent, 8) == 1);
    CHECK(held.aheadOf("desk", lateUrgent, 8) == 4);
    CHECK(held.aheadOf("desk", held_rank{false, 0}, 8) == 0);
    CHECK(held.hasRankOrBefore("desk", lessUrgent));
    CHECK_FALSE(held.hasRankOrBefore("desk", held_rank{false, 0}));
    CHECK_FALSE(held.hasRankOrBefore("catalogue", lateUrgent));
}

TEST_CASE_FIXTURE(queues, "held_flows: extended flows that match: are taken, others stay")
{
    held.push(heldFlow(1, lateUrgent));
    held.push(heldFlow(2, lateUrgent));
    held.push(heldFlow(3, urgent));
    const auto taken = held.takeExtendedIf(
        "desk", [](const held_flow &item) { return item.flow.callerPort != 2; });
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].flow.callerPort == 1);
    CHECK(held.size() == 2);
}
