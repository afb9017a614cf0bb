#include <doctest/doctest.h>

#include "figstair/core/fair_queue.h"
#include "figstair/core/gate/retry_budget.h"
#include "figstair/core/gate/warm_up.h"

using namespace figstair;

namespace {

constexpr std::uint64_t heavyCaller = 1;
constexpr std::uint64_t lightCaller = 2;

struct full_queue
{
    full_queue()
    {
        for (std::uint64_t item = 0; item < 8; ++item) {
            queue.push(heavyCaller, item);
        }
    }

    fair_queue queue{8};
};

} // namespace

TEST_CASE_FIXTURE(full_queue, "fair_queue: full of one caller's items: another's item replaces one")
{
    const auto dropped = queue.push(lightCaller, 100);
    REQUIRE(dropped.has_value());
    CHECK(*dropped == 7);
    CHECK(queue.size() == 8);
    CHECK(*queue.pop() == 0);
    CHECK(*queue.pop() == 100);
    CHECK(*queue.pop() == 1);
}

TEST_CASE_FIXTURE(full_queue, "fair_queue: full of one caller's items: its next item is rejected")
{
    CHECK(*queue.push(heavyCaller, 50) == 50);
    CHECK(queue.size() == 8);
}

TEST_CASE_FIXTURE(full_queue, "fair_queue: a removed item: is not served")
{
    CHECK(queue.remove(heavyCaller, 0));
    CHECK_FALSE(queue.remove(heavyCaller, 0));
    CHECK(*queue.pop() == 1);
}

TEST_CASE("retry_budget: no successes: retries stop once the tokens are spent")
{
    retry_budget budget(0.1, 3);
    int taken = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
        taken += budget.tryAcquire() ? 1 : 0;
    }
    CHECK(taken == 3);
    for (int success = 0; success < 11; ++success) {
        budget.onSuccess();
    }
    CHECK(budget.tryAcquire());
    CHECK_FALSE(budget.tryAcquire());
}

TEST_CASE("warm_up: time alone or completions alone: keep the initial limit")
{
    const monotonic_time start{milliseconds(0)};
    warm_up ramp;
    ramp.start(start, 1);
    const milliseconds warmup(1000);
    CHECK(ramp.limit(start + milliseconds(5000), 4, warmup) == 1);
    for (int completion = 0; completion < 8; ++completion) {
        ramp.onCompletion();
    }
    CHECK(ramp.limit(start, 4, warmup) == 1);
    CHECK(ramp.limit(start + milliseconds(500), 4, warmup) == 2);
    CHECK_FALSE(ramp.isComplete(start + milliseconds(999), 4, warmup));
    CHECK(ramp.limit(start + milliseconds(1000), 4, warmup) == 4);
    CHECK(ramp.isComplete(start + milliseconds(1000), 4, warmup));
}
