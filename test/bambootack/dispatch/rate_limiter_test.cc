#include "bambootack/dispatch/rate_limiter.h"

#include <boost/test/unit_test.hpp>

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

config::FleetConfig ConfigWith(config::Limit limit) {
  config::FleetConfig config;
  config.services["visits"].id = "visits";
  config.services["pay"].id = "pay";
  config.routes["book"] = {"book", "POST", "/visits", "visits"};
  config.limits["l"] = std::move(limit);
  return config;
}

/// Requests admitted out of ten at the same time.
int AdmittedOfTen(dispatch::RateLimiter& limiter,
                  const dispatch::LimitSubject& subject, core::Time now) {
  int n = 0;
  for (int i = 0; i < 10; ++i) {
    n += limiter.Acquire(subject, now) ? 0 : 1;
  }
  return n;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limiter)

// Guards against a limit that applies to other requests than the ticket names.
BOOST_AUTO_TEST_CASE(each_field_selects_the_requests) {
  struct Case {
    config::Limit limit;
    std::string service;
    dispatch::LimitSubject subject;
    int expected;
  };
  const dispatch::LimitSubject book{"book", "anna", core::Rank::kUrgent};
  const auto limit = [](std::string service, std::string route,
                        std::string customer, std::optional<core::Rank> rank) {
    return config::Limit{"l",
                         std::move(service),
                         std::move(route),
                         std::move(customer),
                         rank,
                         1.0,
                         3.0};
  };
  const Case cases[] = {
      {limit("", "", "", {}), "visits", book, 3},
      {limit("visits", "", "", {}), "visits", book, 3},
      {limit("pay", "", "", {}), "visits", book, 10},
      {limit("", "book", "", {}), "visits", book, 3},
      {limit("", "book", "", {}), "pay", book, 10},
      {limit("", "read", "", {}), "visits", book, 10},
      {limit("", "", "", core::Rank::kUrgent), "visits", book, 3},
      {limit("", "", "", core::Rank::kNormal), "visits", book, 10},
      {limit("", "", "anna", {}), "visits", book, 3},
      {limit("", "", "bela", {}), "visits", book, 10},
      {limit("", "", "*", {}), "visits", book, 3},
  };
  for (const Case& it : cases) {
    dispatch::RateLimiter limiter;
    limiter.Configure(ConfigWith(it.limit), it.service, 1.0);
    BOOST_TEST(AdmittedOfTen(limiter, it.subject, core::Time{}) == it.expected);
  }
}

// Guards against a per-customer limit that one customer exhausts for all.
BOOST_AUTO_TEST_CASE(customers_do_not_share_a_bucket) {
  dispatch::RateLimiter limiter;
  limiter.Configure(ConfigWith({"l", "", "", "*", {}, 1.0, 3.0}), "visits",
                    1.0);
  const core::Time now{};
  BOOST_TEST(AdmittedOfTen(limiter, {"book", "anna", {}}, now) == 3);
  BOOST_TEST(AdmittedOfTen(limiter, {"book", "bela", {}}, now) == 3);
  BOOST_TEST(AdmittedOfTen(limiter, {"book", "anna", {}}, now + seconds(2)) ==
             2);
}

// Guards against dispatchers that together admit more than the rate, and
// against a retry delay that is too short.
BOOST_AUTO_TEST_CASE(a_share_of_the_rate_is_admitted) {
  dispatch::RateLimiter limiter;
  limiter.Configure(ConfigWith({"l", "", "", "", {}, 100.0, 1.0}), "visits",
                    0.25);
  core::Time now{};
  int admitted = 0;
  for (; now < core::Time{} + seconds(10); now += milliseconds(1)) {
    admitted += limiter.Acquire({"book", "anna", {}}, now) ? 0 : 1;
  }
  BOOST_TEST(admitted >= 249);
  BOOST_TEST(admitted <= 251);
  while (!limiter.Acquire({"book", "anna", {}}, now)) {
  }
  const auto delay = limiter.Acquire({"book", "anna", {}}, now);
  BOOST_REQUIRE(delay.has_value());
  BOOST_TEST(!limiter.Acquire({"book", "anna", {}}, now + *delay).has_value());
}

// Guards against a ticket that refills every bucket without a change of the
// limit.
BOOST_AUTO_TEST_CASE(an_unchanged_limit_keeps_its_tokens) {
  dispatch::RateLimiter limiter;
  const auto config = ConfigWith({"l", "", "", "*", {}, 1.0, 3.0});
  limiter.Configure(config, "visits", 1.0);
  BOOST_TEST(AdmittedOfTen(limiter, {"book", "anna", {}}, core::Time{}) == 3);
  limiter.Configure(config, "visits", 1.0);
  BOOST_TEST(AdmittedOfTen(limiter, {"book", "anna", {}}, core::Time{}) == 0);
}

// Guards against a rate of 0 that admits requests or causes a division by 0.
BOOST_AUTO_TEST_CASE(a_rate_of_zero_blocks) {
  dispatch::RateLimiter limiter;
  limiter.Configure(ConfigWith({"l", "", "", "*", {}, 0.0, 3.0}), "visits",
                    1.0);
  BOOST_TEST(AdmittedOfTen(limiter, {"book", "anna", {}}, core::Time{}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
