#include "bambootack/gateway/retry_allowance.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <vector>

namespace bambootack::gateway {

using std::chrono::milliseconds;

namespace {

constexpr core::Time kStart{core::Duration(1'000'000)};
constexpr core::Duration kLifetime = milliseconds(1000);

RetryAllowance MakeAllowance(double ratio, double burst) {
  RetryAllowance result;
  result.Configure(ratio, burst, kLifetime);
  return result;
}

int SpendAll(RetryAllowance& allowance, core::Time now) {
  int count = 0;
  while (allowance.TrySpend(now)) {
    ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_allowance)

// Guards against a budget that is divided into parts below one, none of which
// can ever be spent.
BOOST_AUTO_TEST_CASE(parts_of_a_burst_are_whole_and_add_up_to_at_most_it) {
  for (const double total : {0.0, 0.9, 1.0, 16.0, 57.6, 126.0, 453.6}) {
    for (const std::size_t parts : {1U, 3U, 18U, 53U, 442U, 8400U}) {
      double sum = 0.0;
      for (std::size_t i = 0; i < parts; ++i) {
        const double part = PartOfBurst(total, parts, i);
        BOOST_TEST(part == std::floor(part));
        sum += part;
      }
      BOOST_TEST(sum == std::floor(total), total << " in " << parts);
    }
  }
}

// Guards against groups of servers whose reads are never repeated because the
// burst of the fleet is smaller than the number of groups.
BOOST_AUTO_TEST_CASE(traffic_earns_retries_without_any_burst) {
  RetryAllowance allowance = MakeAllowance(0.2, 0.0);
  BOOST_TEST(SpendAll(allowance, kStart) == 0);
  for (int i = 0; i < 100; ++i) {
    allowance.RecordFirstAttempt(kStart);
  }
  BOOST_TEST(SpendAll(allowance, kStart + milliseconds(500)) == 19);
}

// Guards against credit of a busy period that is spent in a later one, in which
// fewer retries are allowed.
BOOST_AUTO_TEST_CASE(credit_expires_and_refills_only_the_burst) {
  RetryAllowance allowance = MakeAllowance(0.2, 3.0);
  BOOST_TEST(SpendAll(allowance, kStart) == 3);
  for (int i = 0; i < 100; ++i) {
    allowance.RecordFirstAttempt(kStart);
  }
  BOOST_TEST(SpendAll(allowance, kStart + milliseconds(1250)) == 3);
}

BOOST_AUTO_TEST_CASE(a_ratio_of_zero_allows_no_retries) {
  RetryAllowance allowance = MakeAllowance(0.0, 5.0);
  allowance.RecordFirstAttempt(kStart);
  BOOST_TEST(SpendAll(allowance, kStart) == 0);
}

BOOST_AUTO_TEST_CASE(a_changed_burst_does_not_refill_what_was_spent) {
  RetryAllowance allowance = MakeAllowance(0.2, 5.0);
  BOOST_TEST(SpendAll(allowance, kStart) == 5);
  allowance.Configure(0.2, 9.0, kLifetime);
  BOOST_TEST(SpendAll(allowance, kStart) == 0);
}

// In each period: retries <= burst + ratio * first attempts of the period and
// of one credit lifetime before it.
RC_BOOST_PROP(retries_of_any_period_stay_within_its_credit, ()) {
  constexpr double kRatio = 0.2;
  constexpr double kBurst = 2.0;
  struct Event {
    core::Time at;
    bool retry = false;
  };
  RetryAllowance allowance = MakeAllowance(kRatio, kBurst);
  std::vector<Event> events;
  core::Time now = kStart;
  const auto steps =
      *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 60));
  for (const int step : steps) {
    now += milliseconds(step);
    const bool retry = step % 3 == 0;
    if (retry && !allowance.TrySpend(now)) {
      continue;
    }
    if (!retry) {
      allowance.RecordFirstAttempt(now);
    }
    events.push_back({now, retry});
  }
  for (const Event& from : events) {
    double retries = 0.0;
    double firsts = 0.0;
    for (const Event& it : events) {
      const bool before_end = it.at <= from.at + milliseconds(3000);
      if (it.retry && it.at >= from.at && before_end) {
        retries += 1.0;
      } else if (!it.retry && it.at >= from.at - kLifetime && before_end) {
        firsts += 1.0;
      }
    }
    RC_ASSERT(retries <= kBurst + kRatio * firsts + 1e-6);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway
