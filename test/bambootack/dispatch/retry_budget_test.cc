#include "bambootack/dispatch/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace config = bambootack::config;
namespace dispatch = bambootack::dispatch;

BOOST_AUTO_TEST_SUITE(retry_budget)

// Guards against a retry storm: when every request fails, retries stay within
// their ratio of the first attempts.
BOOST_AUTO_TEST_CASE(retries_are_a_ratio_of_first_attempts) {
  dispatch::RetryBudget budget;
  budget.Configure(0.1);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordFirstAttempt();
    while (budget.TrySpend()) {
      ++retries;
    }
  }
  BOOST_TEST(retries >= 99);
  BOOST_TEST(retries <= 101);
}

// Guards against a long period without failures that allows a retry storm
// afterwards.
BOOST_AUTO_TEST_CASE(accumulated_retries_are_limited) {
  dispatch::RetryBudget budget;
  budget.Configure(0.1);
  for (int i = 0; i < 100'000; ++i) {
    budget.RecordFirstAttempt();
  }
  int retries = 0;
  while (budget.TrySpend()) {
    ++retries;
  }
  BOOST_TEST(retries <= 10);
}

// Guards against retries where the operator allows none, or of a service that
// the configuration does not have.
BOOST_AUTO_TEST_CASE(a_service_has_only_its_own_budget) {
  config::FleetConfig config;
  config.services["none"].retry_budget = 0.0;
  config.services["some"].retry_budget = 0.5;
  dispatch::RetryBudgets budgets;
  budgets.Configure(config);
  BOOST_TEST(!budgets.TrySpend("none"));
  BOOST_TEST(!budgets.TrySpend("unknown"));
  BOOST_TEST(budgets.TrySpend("some"));
  BOOST_TEST(!budgets.TrySpend("some"));
  budgets.RecordFirstAttempt("some");
  budgets.RecordFirstAttempt("some");
  budgets.Configure(config);
  BOOST_TEST(budgets.TrySpend("some"));
}

BOOST_AUTO_TEST_SUITE_END()
