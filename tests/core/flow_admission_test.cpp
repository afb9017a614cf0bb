#include "figstair/core/load/flow_admission.h"

#include <doctest/doctest.h>

#include "figstair/core/load/caller_shares.h"

using namespace figstair;

namespace {

const std::string service = "desk";

/// A service whose requests work for 50 ms, with handshakes of 10 ms.
struct admission_scene
{
    admission_request request(unsigned priority = 1, milliseconds age = milliseconds(0),
                              milliseconds target = milliseconds(250)) const
    {
        return admission_request{service, priority,         priority <= 1,   age,
                                 target,  milliseconds(60), milliseconds(10)};
    }

    /// New flows of @p priority for @p time, @p perSecond of them.
    void arrive(unsigned priority, int perSecond, std::int64_t time)
    {
        for (std::int64_t step = 0; step < time * perSecond / 1000; ++step) {
            now += milliseconds(1000 / perSecond);
            admission.onArrival(service, priority, now);
        }
    }

    monotonic_time now{milliseconds(10000)};
    flow_admission admission;
};

} // namespace

TEST_CASE_FIXTURE(admission_scene,
                  "flow_admission: requests on the network: count as open without "
                  "using a slot")
{
    CHECK(flow_admission::workTime(request()) == doctest::Approx(50));
    CHECK(flow_admission::freeLimit(request()) == doctest::Approx(1.4));
}

TEST_CASE_FIXTURE(admission_scene, "flow_admission: a less urgent flow: leaves room in the queues")
{
    CHECK(flow_admission::queueLimit(request(2)) < flow_admission::queueLimit(request(1)));
    CHECK(flow_admission::queueLimit(request(2)) > flow_admission::freeLimit(request(2)));
}

TEST_CASE_FIXTURE(admission_scene, "flow_admission: the target has passed: only what others leave")
{
    const admission_request late = request(1, milliseconds(200));
    CHECK_FALSE(flow_admission::canMeetTarget(late));
    CHECK(flow_admission::queueLimit(late) < flow_admission::freeLimit(late));
    CHECK(flow_admission::canMeetTarget(request(1, milliseconds(200), milliseconds(400))));
}

TEST_CASE_FIXTURE(admission_scene, "flow_admission: a slot is free soon: the flow is held")
{
    const admission_verdict verdict = admission.decide(request(), service_backlog{1, 200}, now);
    CHECK(verdict.outcome == admission_outcome::hold);
    CHECK(verdict.predictedWait == milliseconds(10));
}

TEST_CASE_FIXTURE(admission_scene,
                  "flow_admission: the queue is longer than the time left, late "
                  "flows get nothing: refused at once")
{
    const service_backlog backlog{50, 200, milliseconds(300)};
    const admission_verdict verdict = admission.decide(request(), backlog, now);
    CHECK(verdict.outcome == admission_outcome::refuse);
}

TEST_CASE_FIXTURE(admission_scene,
                  "flow_admission: urgent flows take all slots: a less urgent one "
                  "is not held in time")
{
    arrive(1, 200, 2000);
    const service_backlog backlog{0, 200, milliseconds(300)};
    CHECK(admission.decide(request(2), backlog, now).outcome == admission_outcome::refuse);
    CHECK(admission.decide(request(1), backlog, now).outcome == admission_outcome::hold);
}

TEST_CASE_FIXTURE(admission_scene,
                  "flow_admission: little is known: late flows are held as long as "
                  "all slots would serve them in time")
{
    const admission_request late = request(1, milliseconds(200));
    CHECK(admission.decide(late, service_backlog{100, 200}, now).outcome
          == admission_outcome::holdExtended);
    CHECK(admission.decide(late, service_backlog{400, 200}, now).outcome
          == admission_outcome::refuse);
}

TEST_CASE_FIXTURE(admission_scene,
                  "flow_admission: late flows are placed at a good rate: more are "
                  "held")
{
    for (int step = 0; step < 40; ++step) {
        now += milliseconds(10);
        admission.onExtendedPlaced(service, now);
    }
    const service_backlog backlog{60, 200, milliseconds(300)};
    const admission_request late = request(1, milliseconds(200));
    CHECK(admission.decideExtended(late, backlog, now).outcome == admission_outcome::holdExtended);
}

TEST_CASE_FIXTURE(admission_scene,
                  "flow_admission: late flows are not placed: they are refused, "
                  "until none came for a while")
{
    const admission_request late = request(1, milliseconds(200));
    CHECK(admission.decideExtended(late, service_backlog{1, 200, milliseconds(300)}, now).outcome
          == admission_outcome::refuse);
    for (int step = 0; step < 10; ++step) {
        now += milliseconds(300);
        CHECK(admission.decideExtended(late, service_backlog{0, 200}, now).outcome
              == admission_outcome::refuse);
    }
    now += milliseconds(600);
    CHECK(admission.decideExtended(late, service_backlog{0, 200}, now).outcome
          == admission_outcome::holdExtended);
}

TEST_CASE_FIXTURE(admission_scene,
                  "flow_admission: hosts have just restarted: late flows are held "
                  "until the backlog had time to shrink")
{
    const admission_request late = request(1, milliseconds(200));
    service_backlog backlog{1, 200, milliseconds(300), true};
    CHECK(admission.decideExtended(late, backlog, now).outcome == admission_outcome::holdExtended);
    backlog.oldestExtendedWait = milliseconds(1100);
    CHECK(admission.decideExtended(late, backlog, now).outcome == admission_outcome::refuse);
}

TEST_CASE_FIXTURE(admission_scene, "flow_admission: the caller is about to give up: refused")
{
    CHECK(admission.decideExtended(request(1, milliseconds(1300)), service_backlog{0, 200}, now)
              .outcome
          == admission_outcome::refuse);
}

TEST_CASE("event_rate: a steady rate: is told soon, and falls when events cease")
{
    event_rate rate(milliseconds(300), milliseconds(30));
    monotonic_time now(milliseconds(1000));
    CHECK(rate.perSecond(now) == 0);
    for (int event = 0; event < 10; ++event) {
        now += milliseconds(10);
        rate.add(now);
    }
    CHECK(rate.perSecond(now) == doctest::Approx(100).epsilon(0.15));
    CHECK(rate.perSecond(now + milliseconds(900)) < 10);
}

TEST_CASE("caller_shares: one caller asks for most: only it gets less than it asks for")
{
    caller_shares shares;
    monotonic_time now(milliseconds(10000));
    for (int step = 0; step < 3000; ++step) {
        now += milliseconds(1);
        shares.onArrival(step % 2 == 0 ? 1 : 2 + static_cast<std::uint32_t>(step) % 50, now);
    }
    // 500 flows a second of one caller and 20 a second of each of 25 others.
    CHECK(shares.admissionProbability(1, 600, now) < 0.5);
    CHECK(shares.admissionProbability(3, 600, now) == doctest::Approx(1));
}

TEST_CASE("caller_shares: upstreams can serve all: nobody gets less")
{
    caller_shares shares;
    monotonic_time now(milliseconds(10000));
    for (int step = 0; step < 2000; ++step) {
        now += milliseconds(1);
        shares.onArrival(step % 10 == 0 ? 2 : 1, now);
    }
    CHECK(shares.admissionProbability(1, 2000, now) == doctest::Approx(1));
}

TEST_CASE("caller_shares: all ask for the same, for more than there is: nobody is treated worse")
{
    caller_shares shares;
    monotonic_time now(milliseconds(10000));
    for (int step = 0; step < 4000; ++step) {
        now += milliseconds(1);
        shares.onArrival(static_cast<std::uint32_t>(step) % 20, now);
    }
    for (std::uint32_t caller = 0; caller < 20; ++caller) {
        CHECK(shares.admissionProbability(caller, 100, now) == doctest::Approx(1));
    }
}
