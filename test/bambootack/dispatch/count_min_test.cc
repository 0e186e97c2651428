#include "bambootack/dispatch/count_min.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace dispatch = bambootack::dispatch;

BOOST_AUTO_TEST_SUITE(count_min)

// Guards against a customer that exceeds a limit because its estimate is too
// low.
RC_BOOST_PROP(an_estimate_is_never_below_the_true_count,
              (const std::vector<std::uint16_t>& requests)) {
  dispatch::CountMin sketch;
  std::map<std::string, double> exact;
  for (const std::uint16_t it : requests) {
    const std::string customer = std::to_string(it);
    const auto cells = dispatch::CellsOf(customer);
    sketch.Raise(cells, sketch.Estimate(cells) + 1.0);
    exact[customer] += 1.0;
  }
  for (const auto& [customer, count] : exact) {
    RC_ASSERT(sketch.Estimate(dispatch::CellsOf(customer)) >= count);
  }
}

// Guards against row hashes that are not independent, so that two customers
// that collide in one row collide in all.
BOOST_AUTO_TEST_CASE(customers_share_no_full_set_of_cells) {
  constexpr int kCustomers = 2000;
  std::map<dispatch::SketchCells, int> seen;
  for (int i = 0; i < kCustomers; ++i) {
    ++seen[dispatch::CellsOf("customer-" + std::to_string(i))];
  }
  BOOST_TEST(seen.size() == kCustomers);
}

BOOST_AUTO_TEST_SUITE_END()
