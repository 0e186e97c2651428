#include "bambootack/dispatch/customer_sketch.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(customer_sketch)

// Guards against a heavy customer that is not detected among many light ones.
BOOST_AUTO_TEST_CASE(the_share_of_a_heavy_customer_is_estimated) {
  dispatch::CustomerSketch sketch;
  const auto heavy = dispatch::CellsOf("heavy");
  core::Time now{};
  for (int i = 0; i < 1000; ++i) {
    sketch.RecordRequest(heavy, now);
    sketch.RecordRequest(dispatch::CellsOf(std::to_string(i)), now);
    now += milliseconds(1);
  }
  BOOST_TEST(sketch.Share(heavy) > 0.49);
  BOOST_TEST(sketch.Share(dispatch::CellsOf("500")) < 0.05);
}

// Guards against a customer that is classified as heavy by its first request.
BOOST_AUTO_TEST_CASE(little_traffic_has_no_heavy_customer) {
  dispatch::CustomerSketch sketch;
  const auto only = dispatch::CellsOf("only");
  sketch.RecordRequest(only, core::Time{});
  BOOST_TEST(sketch.Share(only) == 0.0);
}

// Guards against a customer that stays heavy after its flood has ended, and
// against overflow of the weights in a long-running process.
BOOST_AUTO_TEST_CASE(old_traffic_does_not_count) {
  const auto before = dispatch::CellsOf("before");
  const auto after = dispatch::CellsOf("after");
  for (const core::Duration pause :
       {core::Duration(seconds(20)), core::Duration(hours(24 * 365))}) {
    dispatch::CustomerSketch sketch;
    core::Time now{};
    for (int i = 0; i < 100; ++i) {
      sketch.RecordRequest(before, now);
    }
    now += pause;
    for (int i = 0; i < 100; ++i) {
      sketch.RecordRequest(after, now);
    }
    BOOST_TEST(sketch.Share(before) < 0.01);
    BOOST_TEST(sketch.Share(after) > 0.99);
  }
}

BOOST_AUTO_TEST_SUITE_END()
