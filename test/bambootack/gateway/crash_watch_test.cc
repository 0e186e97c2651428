#include "bambootack/gateway/crash_watch.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "bambootack/gateway/gateway_fixture.h"

namespace bambootack::gateway {

using node::AttemptEnd;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kPayout = 77;

struct WatchFixture {
  WatchFixture() {
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

  void Lose(const std::string& server) {
    watch.NoteLost(kPayout, server, registry, now);
  }

  core::Time now{core::Duration(1'000'000)};
  std::uint64_t offset = 0;
  ServerRegistry registry;
  CrashWatch watch;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crash_watch, WatchFixture)

// Guards against requests that are refused because faulty servers reset the
// connections of all requests.
BOOST_AUTO_TEST_CASE(losses_at_servers_that_stay_up_hold_nothing) {
  Lose("a");
  Lose("b");
  now += std::chrono::seconds(3);
  watch.NoteDown("a", now);
  watch.NoteDown("b", now);
  BOOST_TEST(!watch.IsHeld(kPayout, now));
  BOOST_TEST(watch.TakeCrashes().empty());
}

// Guards against a request that crashes one server after the other.
BOOST_AUTO_TEST_CASE(two_servers_that_go_down_hold_their_request) {
  Lose("a");
  watch.NoteDown("a", now);
  BOOST_TEST(!watch.IsHeld(kPayout, now));
  Lose("b");
  watch.NoteDown("b", now);
  BOOST_TEST(watch.IsHeld(kPayout, now));
  BOOST_TEST(watch.TakeCrashes().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_server_that_starts_again_or_is_gone_was_down) {
  Lose("a");
  Lose("b");
  Start("a", 2);
  registry.Remove("b", ++offset, now);
  watch.Follow(registry, now);
  BOOST_TEST(watch.IsHeld(kPayout, now));
}

BOOST_AUTO_TEST_CASE(a_request_that_was_served_is_not_held) {
  Lose("a");
  watch.NoteDown("a", now);
  watch.NoteServed(kPayout);
  Lose("b");
  watch.NoteDown("b", now);
  BOOST_TEST(!watch.IsHeld(kPayout, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(crashing_requests, GatewayFixture)

// Guards against a request that takes all servers down when its caller sends it
// again and again: from the third time on it is refused, truly not run, while
// others are served.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_refused) {
  Configure();
  std::uint64_t caller = 0;
  for (int i = 0; i < 2; ++i) {
    SendRequest(++caller, "/book/poison");
    const std::string address = attempts[0].address;
    FinishAttempt(attempts[0].id, AttemptEnd::kLost);
    // The next request to the server finds it down.
    for (bool down = false; !down;) {
      Advance(milliseconds(300));
      ++caller;
      SendRequest(caller, "/read/" + std::to_string(caller));
      BOOST_TEST_REQUIRE(attempts.size() == 1U);
      down = attempts[0].address == address;
      const std::uint64_t send = attempts[0].id;
      if (down) {
        FinishAttempt(send, AttemptEnd::kNotConnected);
        BOOST_TEST_REQUIRE(attempts.size() == 1U);
        ServeAttempt(attempts[0].id, std::to_string(caller));
      } else {
        ServeAttempt(send, std::to_string(caller));
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
