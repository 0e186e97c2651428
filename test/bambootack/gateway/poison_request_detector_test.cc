#include "bambootack/gateway/poison_request_detector.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "bambootack/gateway/gateway_fixture.h"

namespace bambootack::gateway {

using node::AttemptEnd;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kFingerprint = 77;

struct DetectorFixture {
  DetectorFixture() {
    Start("a", 1);
    Start("b", 1);
  }

  void Start(const std::string& id, std::int64_t started) {
    ServerRecord record;
    record.id = id;
    record.service = "desk";
    record.address = "10.0.0.1:80";
    record.started = started;
    registry.Apply(record, ++offset, now);
  }

  void LoseConnection(const std::string& server) {
    detector.RecordLostConnection(kFingerprint, server, registry, now);
  }

  core::Time now{core::Duration(1'000'000)};
  std::uint64_t offset = 0;
  ServerRegistry registry;
  PoisonRequestDetector detector;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(poison_request_detector, DetectorFixture)

// Guards against the quarantine of ordinary requests because faulty servers
// reset the connections of all requests.
BOOST_AUTO_TEST_CASE(lost_connections_to_running_servers_quarantine_nothing) {
  LoseConnection("a");
  LoseConnection("b");
  now += std::chrono::seconds(3);
  detector.RecordServerDown("a", now);
  detector.RecordServerDown("b", now);
  BOOST_TEST(!detector.IsQuarantined(kFingerprint, now));
  BOOST_TEST(detector.TakeCrashes().empty());
}

// Guards against a request that crashes one server after the other.
BOOST_AUTO_TEST_CASE(a_request_is_quarantined_after_two_crashes) {
  LoseConnection("a");
  detector.RecordServerDown("a", now);
  BOOST_TEST(!detector.IsQuarantined(kFingerprint, now));
  LoseConnection("b");
  detector.RecordServerDown("b", now);
  BOOST_TEST(detector.IsQuarantined(kFingerprint, now));
  BOOST_TEST(detector.TakeCrashes().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_restarted_or_removed_server_has_crashed) {
  LoseConnection("a");
  LoseConnection("b");
  Start("a", 2);
  registry.Remove("b", ++offset, now);
  detector.Update(registry, now);
  BOOST_TEST(detector.IsQuarantined(kFingerprint, now));
}

BOOST_AUTO_TEST_CASE(a_request_that_was_served_is_not_quarantined) {
  LoseConnection("a");
  detector.RecordServerDown("a", now);
  detector.RecordServed(kFingerprint);
  LoseConnection("b");
  detector.RecordServerDown("b", now);
  BOOST_TEST(!detector.IsQuarantined(kFingerprint, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(poison_requests, GatewayFixture)

// Guards against a request that crashes all servers because its caller repeats
// it: the third and later ones are refused without being executed, while other
// requests are served.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_refused) {
  Configure();
  std::uint64_t caller = 0;
  for (int i = 0; i < 2; ++i) {
    SendRequest(++caller, "/book/poison");
    const std::string address = attempts[0].address;
    FinishAttempt(attempts[0].id, AttemptEnd::kLost);
    // The next request to the server cannot connect.
    for (bool down = false; !down;) {
      Advance(milliseconds(300));
      ++caller;
      SendRequest(caller, "/read/" + std::to_string(caller));
      BOOST_TEST_REQUIRE(attempts.size() == 1U);
      down = attempts[0].address == address;
      const std::uint64_t attempt = attempts[0].id;
      if (down) {
        FinishAttempt(attempt, AttemptEnd::kNotConnected);
        BOOST_TEST_REQUIRE(attempts.size() == 1U);
        ServeAttempt(attempts[0].id, std::to_string(caller));
      } else {
        ServeAttempt(attempt, std::to_string(caller));
      }
    }
  }
  Advance(milliseconds(1));
  SendRequest(++caller, "/book/poison");
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 503);
  SendRequest(++caller, "/book/other");
  BOOST_TEST(attempts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway
