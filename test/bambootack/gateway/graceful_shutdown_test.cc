#include "bambootack/gateway/graceful_shutdown.h"

#include <boost/test/unit_test.hpp>

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using std::chrono::milliseconds;

namespace {

constexpr core::Time kStart{core::Duration(1'000'000)};
constexpr milliseconds kAccept{2500};
constexpr milliseconds kAnswer{5600};
constexpr milliseconds kExit{5800};

constexpr gateway::ShutdownSchedule kSchedule{kStart + kAccept,
                                              kStart + kAnswer, kStart + kExit};

}  // namespace

BOOST_AUTO_TEST_SUITE(graceful_shutdown)

// Guards against a VM that always has a request in flight and therefore accepts
// new ones until it is killed while some are in flight.
BOOST_AUTO_TEST_CASE(
    a_busy_vm_accepts_only_requests_that_end_in_time_after_the_first_period) {
  for (milliseconds at{0}; at < milliseconds(5800); at += milliseconds(50)) {
    const core::Time now = kStart + at;
    BOOST_TEST(
        kSchedule.Accepts(kStart + milliseconds(5601), now) == (at < kAccept),
        at.count());
    BOOST_TEST(kSchedule.Accepts(kStart + kAnswer, now), at.count());
  }
}

// Guards against constants of one platform: a grace of 6 s or 10 s, or one that
// is shorter than the balancer needs.
BOOST_AUTO_TEST_CASE(the_course_follows_from_the_grace) {
  for (const milliseconds grace :
       {milliseconds(500), milliseconds(2000), milliseconds(6000),
        milliseconds(10'000), milliseconds(60'000)}) {
    const auto plan = gateway::PlanShutdown(kStart, grace);
    BOOST_TEST((plan.accept_until < plan.answer_by), grace.count());
    // Requests that arrive within 3 s may be cut while a server executes them,
    // but only in the last sixth of the grace.
    BOOST_TEST((plan.accept_until <= kStart + milliseconds(3000)),
               grace.count());
    BOOST_TEST((plan.answer_by >= kStart + grace * 5 / 6), grace.count());
    BOOST_TEST((plan.answer_by < plan.exit_by), grace.count());
    BOOST_TEST((plan.exit_by < kStart + grace), grace.count());
  }
}

// Guards against an exit before the last answers are delivered.
BOOST_AUTO_TEST_CASE(a_shutdown_completes_only_when_idle) {
  gateway::GracefulShutdown shutdown(kSchedule);
  shutdown.RecordInFlight(1, kStart + milliseconds(3000));
  BOOST_TEST(!shutdown.IsComplete(kStart + milliseconds(3100)));
  shutdown.RecordInFlight(0, kStart + milliseconds(3100));
  BOOST_TEST(!shutdown.IsComplete(kStart + milliseconds(3199)));
  BOOST_TEST(shutdown.IsComplete(kStart + milliseconds(3200)));
}

// Guards against an idle VM that exits before its callers know of the shutdown.
BOOST_AUTO_TEST_CASE(an_idle_vm_stays_for_the_first_period) {
  gateway::GracefulShutdown shutdown(kSchedule);
  shutdown.RecordInFlight(0, kStart);
  BOOST_TEST(!shutdown.IsComplete(kStart + milliseconds(2499)));
  BOOST_TEST(shutdown.IsComplete(kStart + kAccept));
}

// Guards against a shutdown that never completes.
BOOST_AUTO_TEST_CASE(a_shutdown_completes_at_its_limit) {
  gateway::GracefulShutdown shutdown(kSchedule);
  shutdown.RecordInFlight(1, kStart + milliseconds(5799));
  BOOST_TEST(shutdown.IsComplete(kStart + kExit));
}

// Guards against a timer that fires after the time of a step.
BOOST_AUTO_TEST_CASE(the_timer_fires_for_each_step) {
  gateway::GracefulShutdown shutdown(kSchedule);
  BOOST_TEST((shutdown.NextTimer(kStart) == kStart + kAccept));
  const core::Time later = kStart + milliseconds(2600);
  shutdown.RecordInFlight(1, later);
  BOOST_TEST((shutdown.NextTimer(later) == later + milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()
