#include "bambootack/gateway/send_budget.h"

#include <boost/test/unit_test.hpp>

namespace bambootack::gateway {

using std::chrono::milliseconds;

namespace {

struct Fixture {
  core::Time now{core::Duration(1'000'000)};
  SendBudget budget{1000, 500};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(send_budget, Fixture)

BOOST_AUTO_TEST_CASE(a_burst_is_followed_by_the_sustained_rate) {
  BOOST_TEST(budget.TrySpend(300, now));
  BOOST_TEST(budget.TrySpend(200, now));
  BOOST_TEST(!budget.TrySpend(1, now));
  BOOST_TEST(budget.TrySpend(100, now + milliseconds(100)));
  BOOST_TEST(!budget.TrySpend(1, now + milliseconds(100)));
}

// Guards against state that is larger than the burst and can never be sent.
BOOST_AUTO_TEST_CASE(a_message_larger_than_the_burst_delays_later_ones) {
  BOOST_TEST(budget.TrySpend(2000, now));
  BOOST_TEST(!budget.TrySpend(1, now + milliseconds(1499)));
  BOOST_TEST(budget.TrySpend(1, now + milliseconds(1501)));
}

BOOST_AUTO_TEST_CASE(a_whole_message_needs_room_for_all_its_bytes) {
  BOOST_TEST(!budget.TrySpendWhole(501, now));
  BOOST_TEST(budget.TrySpendWhole(400, now));
  BOOST_TEST(!budget.TrySpendWhole(200, now));
  BOOST_TEST(budget.TrySpendWhole(200, now + milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway
