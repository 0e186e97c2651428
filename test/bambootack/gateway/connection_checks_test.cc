#include "bambootack/gateway/connection_checks.h"

#include <boost/test/unit_test.hpp>

namespace bambootack::gateway {

using std::chrono::milliseconds;

namespace {

constexpr core::Duration kInterval = milliseconds(250);

struct ChecksFixture {
  void Request() { checks.Request("a", "10.0.0.1:80", now); }

  bool IsDue() {
    const auto due = checks.TakeDue(now);
    return due.size() == 1 && due[0].server == "a" &&
           due[0].address == "10.0.0.1:80";
  }

  auto Record(ConnectionResult result) {
    return checks.RecordResult("a", result, now);
  }

  core::Time now{core::Duration(1'000'000)};
  ConnectionChecks checks;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(connection_checks, ChecksFixture)

BOOST_AUTO_TEST_CASE(a_server_that_accepts_a_connection_is_listening) {
  Request();
  BOOST_TEST(IsDue());
  const auto verdict = Record(ConnectionResult::kAccepted);
  BOOST_TEST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->listening);
  BOOST_TEST(!checks.NextTimer().has_value());
}

// Guards against a server that counts as down because it refused a connection
// beyond its limit.
BOOST_AUTO_TEST_CASE(two_refusals_in_a_row_show_that_a_server_is_down) {
  Request();
  for (const ConnectionResult other :
       {ConnectionResult::kFailed, ConnectionResult::kFailed}) {
    BOOST_TEST(IsDue());
    BOOST_TEST(!Record(ConnectionResult::kRefused).has_value());
    now += kInterval;
    BOOST_TEST(IsDue());
    BOOST_TEST(!Record(other).has_value());
    now += kInterval;
  }
  BOOST_TEST(IsDue());
  BOOST_TEST(!Record(ConnectionResult::kRefused).has_value());
  BOOST_TEST(!IsDue());
  now += kInterval;
  BOOST_TEST((checks.NextTimer() == now));
  BOOST_TEST(IsDue());
  const auto verdict = Record(ConnectionResult::kRefused);
  BOOST_TEST_REQUIRE(verdict.has_value());
  BOOST_TEST(!verdict->listening);
}

// Guards against a server behind a cut link that is connected to for ever.
BOOST_AUTO_TEST_CASE(checks_that_show_nothing_end) {
  Request();
  int checked = 0;
  for (int i = 0; i < 100; ++i) {
    if (IsDue()) {
      ++checked;
      Record(ConnectionResult::kFailed);
    }
    now += kInterval;
  }
  BOOST_TEST(checked == 5);
}

// Guards against a connection for each request that a faulty server resets.
BOOST_AUTO_TEST_CASE(a_server_is_checked_at_a_limited_rate) {
  const core::Time end = now + std::chrono::seconds(10);
  int checked = 0;
  for (; now < end; now += milliseconds(10)) {
    Request();
    if (IsDue()) {
      ++checked;
      Record(ConnectionResult::kAccepted);
    }
  }
  BOOST_TEST(checked == 10);
}

// Guards against a verdict on a loss from a check that began before it.
BOOST_AUTO_TEST_CASE(a_loss_during_a_check_is_checked_again) {
  Request();
  BOOST_TEST(IsDue());
  const core::Time began = now;
  now += milliseconds(10);
  Request();
  const auto verdict = Record(ConnectionResult::kAccepted);
  BOOST_TEST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->began == began));
  now = began + std::chrono::seconds(1);
  BOOST_TEST(IsDue());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway
