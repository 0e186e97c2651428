#include "bambootack/dispatch/fair_tags.h"

#include <boost/test/unit_test.hpp>

namespace dispatch = bambootack::dispatch;

BOOST_AUTO_TEST_SUITE(fair_tags)

// Guards against a flood of one customer that is served in the same round as
// the requests of others.
BOOST_AUTO_TEST_CASE(a_flood_is_divided_into_later_rounds) {
  dispatch::FairTags tags;
  const auto flood = dispatch::CellsOf("flood");
  for (std::uint64_t i = 0; i < 10 * dispatch::kFairQuantum; ++i) {
    BOOST_TEST(tags.RoundOf(flood) == i / dispatch::kFairQuantum);
    tags.OnEnqueued(flood);
  }
  BOOST_TEST(tags.RoundOf(dispatch::CellsOf("light")) == 0u);
}

// Guards against credit for idle time: a customer that was idle would be served
// before all others for a long time.
BOOST_AUTO_TEST_CASE(an_idle_customer_joins_the_current_round) {
  dispatch::FairTags tags;
  tags.AdvanceTo(7);
  BOOST_TEST(tags.RoundOf(dispatch::CellsOf("new")) == 7u);
}

// Guards against a customer that is still at a disadvantage after the queue was
// empty.
BOOST_AUTO_TEST_CASE(an_empty_queue_resets_the_rounds) {
  dispatch::FairTags tags;
  const auto flood = dispatch::CellsOf("flood");
  for (int i = 0; i < 100; ++i) {
    tags.OnEnqueued(flood);
  }
  tags.OnQueueEmpty();
  BOOST_TEST(tags.RoundOf(flood) == tags.RoundOf(dispatch::CellsOf("light")));
}

BOOST_AUTO_TEST_SUITE_END()
