#include "bambootack/gateway/graceful_shutdown.h"

#include <boost/test/unit_test.hpp>

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using std::chrono::milliseconds;

namespace {

constexpr core::Time kStart{core::Duration(1'000'000)};
constexpr milliseconds kGrace{2500};
constexpr milliseconds kLimit{5800};

gateway::GracefulShutdown Begin() { return {kStart, kGrace, kLimit}; }

}  // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

// Guards against a VM that has a request in flight at every moment and
// therefore takes new ones until it is killed, which cuts the last of them.
BOOST_AUTO_TEST_CASE(a_busy_vm_refuses_new_requests_after_the_grace_time) {
  gateway::GracefulShutdown stop = Begin();
  for (milliseconds at{0}; at < milliseconds(4000); at += milliseconds(50)) {
    stop.RecordInFlight(3, kStart + at);
    BOOST_TEST(stop.RefusesNewRequests(kStart + at) == (at >= kGrace),
               at.count());
  }
}

// Guards against an exit while answers are still due.
BOOST_AUTO_TEST_CASE(it_ends_only_when_idle) {
  gateway::GracefulShutdown stop = Begin();
  stop.RecordInFlight(1, kStart + milliseconds(3000));
  BOOST_TEST(!stop.IsComplete(kStart + milliseconds(3100)));
  stop.RecordInFlight(0, kStart + milliseconds(3100));
  BOOST_TEST(!stop.IsComplete(kStart + milliseconds(3199)));
  BOOST_TEST(stop.IsComplete(kStart + milliseconds(3200)));
}

// Guards against an idle VM that leaves before its callers know it.
BOOST_AUTO_TEST_CASE(an_idle_vm_stays_for_the_grace_time) {
  gateway::GracefulShutdown stop = Begin();
  stop.RecordInFlight(0, kStart);
  BOOST_TEST(!stop.IsComplete(kStart + milliseconds(2499)));
  BOOST_TEST(stop.IsComplete(kStart + kGrace));
}

// Guards against a stop that never ends.
BOOST_AUTO_TEST_CASE(it_ends_at_its_limit) {
  gateway::GracefulShutdown stop = Begin();
  stop.RecordInFlight(1, kStart + milliseconds(5799));
  BOOST_TEST(stop.IsComplete(kStart + kLimit));
}

// Guards against a timer that sleeps past a step.
BOOST_AUTO_TEST_CASE(its_timer_wakes_for_each_step) {
  gateway::GracefulShutdown stop = Begin();
  BOOST_TEST((stop.NextTimer(kStart) == kStart + kGrace));
  const core::Time later = kStart + milliseconds(2600);
  stop.RecordInFlight(1, later);
  BOOST_TEST((stop.NextTimer(later) == later + milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()
