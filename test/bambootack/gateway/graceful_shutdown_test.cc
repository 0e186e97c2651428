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

BOOST_AUTO_TEST_SUITE(graceful_shutdown)

// Guards against a VM that always has a request in flight and therefore accepts
// new ones until it is killed while some are in flight.
BOOST_AUTO_TEST_CASE(a_busy_vm_refuses_new_requests_after_the_grace_period) {
  gateway::GracefulShutdown shutdown = Begin();
  for (milliseconds at{0}; at < milliseconds(4000); at += milliseconds(50)) {
    shutdown.RecordInFlight(3, kStart + at);
    BOOST_TEST(shutdown.RefusesNewRequests(kStart + at) == (at >= kGrace),
               at.count());
  }
}

// Guards against an exit before the last answers are delivered.
BOOST_AUTO_TEST_CASE(a_shutdown_completes_only_when_idle) {
  gateway::GracefulShutdown shutdown = Begin();
  shutdown.RecordInFlight(1, kStart + milliseconds(3000));
  BOOST_TEST(!shutdown.IsComplete(kStart + milliseconds(3100)));
  shutdown.RecordInFlight(0, kStart + milliseconds(3100));
  BOOST_TEST(!shutdown.IsComplete(kStart + milliseconds(3199)));
  BOOST_TEST(shutdown.IsComplete(kStart + milliseconds(3200)));
}

// Guards against an idle VM that exits before its callers know of the shutdown.
BOOST_AUTO_TEST_CASE(an_idle_vm_stays_for_the_grace_period) {
  gateway::GracefulShutdown shutdown = Begin();
  shutdown.RecordInFlight(0, kStart);
  BOOST_TEST(!shutdown.IsComplete(kStart + milliseconds(2499)));
  BOOST_TEST(shutdown.IsComplete(kStart + kGrace));
}

// Guards against a shutdown that never completes.
BOOST_AUTO_TEST_CASE(a_shutdown_completes_at_its_limit) {
  gateway::GracefulShutdown shutdown = Begin();
  shutdown.RecordInFlight(1, kStart + milliseconds(5799));
  BOOST_TEST(shutdown.IsComplete(kStart + kLimit));
}

// Guards against a timer that fires after the time of a step.
BOOST_AUTO_TEST_CASE(the_timer_fires_for_each_step) {
  gateway::GracefulShutdown shutdown = Begin();
  BOOST_TEST((shutdown.NextTimer(kStart) == kStart + kGrace));
  const core::Time later = kStart + milliseconds(2600);
  shutdown.RecordInFlight(1, later);
  BOOST_TEST((shutdown.NextTimer(later) == later + milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()
