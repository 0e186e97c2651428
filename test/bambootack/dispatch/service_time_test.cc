#include "bambootack/dispatch/service_time.h"

#include <boost/test/unit_test.hpp>

namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(service_time)

// Guards against admission by an outdated estimate after the servers became
// slower.
BOOST_AUTO_TEST_CASE(the_mean_follows_a_change) {
  dispatch::ServiceTime it;
  for (int i = 0; i < 100; ++i) {
    it.Add(milliseconds(20));
  }
  BOOST_TEST(core::ToMilliseconds(it.Mean()) == 20);
  for (int i = 0; i < 200; ++i) {
    it.Add(milliseconds(60));
  }
  BOOST_TEST(core::ToMilliseconds(it.Mean()) >= 59);
}

// Guards against a tail that ignores the deviation: requests would be started
// that end after their deadline.
BOOST_AUTO_TEST_CASE(the_tail_includes_the_deviation) {
  dispatch::ServiceTime it;
  for (int i = 0; i < 400; ++i) {
    it.Add(milliseconds(i % 2 == 0 ? 10 : 90));
  }
  BOOST_TEST(core::ToMilliseconds(it.Tail()) > 90);
}

BOOST_AUTO_TEST_SUITE_END()
