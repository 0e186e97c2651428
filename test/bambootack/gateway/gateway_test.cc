#include "bambootack/gateway/gateway.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "bambootack/gateway/gateway_fixture.h"

namespace bambootack::gateway {

using node::AttemptEnd;
using std::chrono::milliseconds;

BOOST_FIXTURE_TEST_SUITE(gateway_requests, GatewayFixture)

BOOST_AUTO_TEST_CASE(a_served_request_is_forwarded_unchanged) {
  Configure();
  SendRequest(1, "/book/1");
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(core::FindHeader(attempts[0].http.headers, "Only-Server")
                 .value()
                 .starts_with("s"));
  ServeAttempt(attempts[0].id, "1");
  BOOST_TEST(Status() == 200);
  BOOST_TEST(answers[0].http.body == "answer");
  BOOST_TEST(gateway.InFlight() == 0U);
}

// Guards against a booking that is executed twice, and against a false promise
// that it was not executed.
BOOST_AUTO_TEST_CASE(a_booking_that_may_have_been_executed_is_not_retried) {
  Configure();
  for (const AttemptEnd end :
       {AttemptEnd::kLost, AttemptEnd::kInvalid, AttemptEnd::kTimedOut}) {
    SendRequest(1, "/book/1");
    BOOST_TEST_REQUIRE(attempts.size() == 1U);
    FinishAttempt(attempts[0].id, end);
    BOOST_TEST(attempts.empty());
    BOOST_TEST(Status() >= 500);
    BOOST_TEST(!ImpliesNotExecuted(Status()));
  }
}

// Guards against bookings that are refused although a retry is safe, since no
// server can have executed them.
BOOST_AUTO_TEST_CASE(a_booking_that_was_not_executed_goes_to_another_server) {
  Configure();
  SendRequest(1, "/book/1");
  std::set<std::string> used{attempts[0].address};
  FinishAttempt(attempts[0].id, AttemptEnd::kNotConnected);
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  used.insert(attempts[0].address);
  AnswerAttempt(attempts[0].id, 503, {{"Not-Run", "1"}});
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  used.insert(attempts[0].address);
  AnswerAttempt(attempts[0].id, 421, {});
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  used.insert(attempts[0].address);
  BOOST_TEST(used.size() == 4U);
  AnswerAttempt(attempts[0].id, 503, {{"Not-Run", "1"}});
  BOOST_TEST(Status() == 503);
  BOOST_TEST(
      core::FindHeader(answers[0].http.headers, "Retry-After").has_value());
}

BOOST_AUTO_TEST_CASE(a_read_is_retried_up_to_its_maximum_of_attempts) {
  Configure();
  SendRequest(1, "/read/1");
  const std::string first = attempts[0].address;
  FinishAttempt(attempts[0].id, AttemptEnd::kLost);
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address != first);
  FinishAttempt(attempts[0].id, AttemptEnd::kLost);
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 502);
}

// Guards against a download that is given up and started at another server
// while its body arrives on a slow link, which also ejects a healthy server.
BOOST_AUTO_TEST_CASE(the_time_limit_of_an_attempt_restarts_with_a_large_body) {
  Configure();
  SendRequest(1, "/read/1");
  now += milliseconds(10);
  ServeAttempt(attempts[0].id, "1");
  SendRequest(2, "/read/2");
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  const std::uint64_t first = attempts[0].id;
  Advance(milliseconds(250));
  gateway.OnLargeBody(first, now);
  Advance(milliseconds(290));
  BOOST_TEST(attempts.empty());
  Advance(milliseconds(20));
  BOOST_TEST(attempts.size() == 1U);
  BOOST_TEST(cancelled.size() == 1U);
}

// Guards against a last attempt at a probing server, which most often loses it:
// with this fault, reads failed twice as often as bookings.
BOOST_AUTO_TEST_CASE(the_last_attempt_of_a_read_goes_to_a_healthy_server) {
  Configure();
  for (int i = 0; i < 3; ++i) {
    SendRequest(1, "/book/1");
    FinishAttempt(attempts[0].id, AttemptEnd::kLost);
    Advance(std::chrono::milliseconds(10));
  }
  Advance(std::chrono::milliseconds(900));
  SendRequest(2, "/book/2");
  const std::string healthy = attempts[0].address;
  ServeAttempt(attempts[0].id, "2");
  SendRequest(3, "/read/3");
  BOOST_TEST(attempts[0].address != healthy);
  FinishAttempt(attempts[0].id, AttemptEnd::kLost);
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address == healthy);
}

// Guards against a request that is given up while packet loss makes most
// connections of its VM fail.
BOOST_AUTO_TEST_CASE(failed_connections_leave_time_for_further_attempts) {
  for (int i = 4; i < 12; ++i) {
    AddServer(i);
  }
  Configure();
  SendRequest(1, "/book/1");
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST_REQUIRE(attempts.size() == 1U);
    const std::uint64_t attempt = attempts[0].id;
    now += std::chrono::milliseconds(120);
    FinishAttempt(attempt, AttemptEnd::kNotConnected);
  }
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
}

// Guards against a status that callers take as a promise of no execution when
// the server did not make it: they would send the booking again.
BOOST_AUTO_TEST_CASE(a_status_that_wrongly_promises_no_execution_is_replaced) {
  Configure();
  for (const int status : {408, 429, 503}) {
    SendRequest(1, "/book/1");
    AnswerAttempt(attempts[0].id, status,
                  {{"Request-Id", "1"}, {"Signature", "x"}});
    BOOST_TEST(Status() == 502);
  }
}

// Guards against a refusal of an earlier request that counts as a promise for a
// booking which the server executes.
BOOST_AUTO_TEST_CASE(a_refusal_of_another_request_promises_nothing) {
  Configure();
  for (const int status : {421, 429, 503}) {
    SendRequest(1, "/book/1");
    AnswerAttempt(attempts[0].id, status,
                  {{"Request-Id", "0"}, {"Not-Run", "1"}});
    BOOST_TEST(attempts.empty());
    BOOST_TEST(Status() == 502);
  }
}

BOOST_AUTO_TEST_CASE(an_error_of_a_server_is_forwarded) {
  Configure();
  SendRequest(1, "/book/1");
  AnswerAttempt(attempts[0].id, 500, {{"Request-Id", "1"}, {"Signature", "x"}});
  BOOST_TEST(Status() == 500);
  BOOST_TEST(answers[0].http.body == "answer");
}

// Guards against work for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(the_attempt_of_a_disconnected_caller_is_cancelled) {
  Configure();
  SendRequest(1, "/read/1");
  const std::uint64_t attempt = attempts[0].id;
  gateway.OnCallerDisconnected(core::CallerId{1}, now);
  CollectActions();
  BOOST_TEST_REQUIRE(cancelled.size() == 1U);
  BOOST_TEST(cancelled[0] == attempt);
  ServeAttempt(attempt, "1");
  BOOST_TEST(answers.empty());
}

BOOST_AUTO_TEST_CASE(
    the_deadline_of_the_caller_and_the_timeout_of_the_route_hold) {
  Configure();
  SendRequest(1, "/book/1", "400");
  Advance(milliseconds(399));
  BOOST_TEST(answers.empty());
  Advance(milliseconds(1));
  BOOST_TEST(Status() == 504);
  BOOST_TEST(cancelled.size() == 1U);
  SendRequest(2, "/book/1", "60000");
  Advance(milliseconds(1500));
  BOOST_TEST(Status() == 504);
}

BOOST_AUTO_TEST_CASE(
    missing_route_and_missing_configuration_have_different_errors) {
  SendRequest(1, "/book/1");
  Advance(milliseconds(250));
  BOOST_TEST(Status() == 503);
  Configure();
  SendRequest(2, "/other/1");
  BOOST_TEST(Status() == 404);
}

// Guards against refusals by a VM that has just started and receives its routes
// and servers some tens of milliseconds later.
BOOST_AUTO_TEST_CASE(early_requests_wait_for_the_first_configuration) {
  SendRequest(1, "/book/1");
  BOOST_TEST(answers.empty());
  Advance(milliseconds(60));
  BOOST_TEST(answers.empty());
  Configure();
  Advance(milliseconds(1));
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST((attempts[0].timeout == milliseconds(1139)));
  ServeAttempt(attempts[0].id, "1");
  BOOST_TEST(Status() == 200);
}

// Guards against an attempt after the caller's deadline.
BOOST_AUTO_TEST_CASE(an_early_request_without_time_left_is_refused) {
  SendRequest(1, "/book/1", "40");
  now += milliseconds(60);
  Configure();
  Advance(milliseconds(1));
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 503);
}

// Guards against an attempt for a caller that disconnected while its request
// waited for the configuration.
BOOST_AUTO_TEST_CASE(an_early_request_is_dropped_with_its_caller) {
  SendRequest(1, "/book/1");
  gateway.OnCallerDisconnected(core::CallerId{1}, now);
  Configure();
  Advance(milliseconds(1));
  BOOST_TEST(attempts.empty());
  BOOST_TEST(gateway.InFlight() == 0U);
}

// Guards against an exit that cuts off a request in flight: a VM is never idle
// while a caller keeps using its open connection after SIGTERM.
BOOST_AUTO_TEST_CASE(
    a_stopping_vm_completes_requests_in_flight_and_refuses_new_ones) {
  Configure();
  SendRequest(1, "/book/1", "1500");
  const std::uint64_t attempt = attempts[0].id;
  gateway.BeginShutdown({now + milliseconds(500), now + milliseconds(2500),
                         now + milliseconds(2800)});
  SendRequest(2, "/book/2", "1500");
  BOOST_TEST(attempts.size() == 1U);
  const std::uint64_t late_attempt = attempts[0].id;
  now += milliseconds(1200);
  SendRequest(3, "/book/3", "1400");
  BOOST_TEST(Status() == 503);
  BOOST_TEST(*core::FindHeader(answers[0].http.headers, "Connection") ==
             "close");
  ServeAttempt(attempt, "1");
  BOOST_TEST(Status() == 200);
  BOOST_TEST(*core::FindHeader(answers[0].http.headers, "Connection") ==
             "close");
  ServeAttempt(late_attempt, "2");
  BOOST_TEST(Status() == 200);
}

// Guards against a caller that is refused although its request would have ended
// well before the exit.
BOOST_AUTO_TEST_CASE(a_stopping_vm_accepts_late_requests_that_end_in_time) {
  Configure();
  gateway.BeginShutdown({now + milliseconds(500), now + milliseconds(2500),
                         now + milliseconds(2800)});
  Advance(milliseconds(1200));
  SendRequest(1, "/book/1", "1200");
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  ServeAttempt(attempts[0].id, "1");
  BOOST_TEST(Status() == 200);
}

// Guards against a request that was accepted in a shutdown and is cut without
// an answer at its end, because its server has stayed silent.
BOOST_AUTO_TEST_CASE(a_stopping_vm_answers_every_request_before_its_exit) {
  Configure();
  gateway.BeginShutdown({now + milliseconds(500), now + milliseconds(1000),
                         now + milliseconds(1100)});
  SendRequest(1, "/book/1", "1500");
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  const std::uint64_t attempt = attempts[0].id;
  Advance(milliseconds(999));
  BOOST_TEST(answers.empty());
  BOOST_TEST((*gateway.NextTimer() <= now + milliseconds(1)));
  Advance(milliseconds(1));
  BOOST_TEST(Status() == 504);
  BOOST_TEST_REQUIRE(cancelled.size() == 1U);
  BOOST_TEST(cancelled[0] == attempt);
  BOOST_TEST(gateway.InFlight() == 0U);
}

// Guards against an attempt that is sent shortly before the exit and cut, while
// the caller could have been told that its request was not executed.
BOOST_AUTO_TEST_CASE(a_stopping_vm_starts_no_attempt_that_cannot_end) {
  Configure();
  SendRequest(1, "/book/1", "1500");
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  gateway.BeginShutdown({now + milliseconds(500), now + milliseconds(1000),
                         now + milliseconds(1100)});
  now += milliseconds(900);
  AnswerAttempt(attempts[0].id, 503, {{"Request-Id", "1"}, {"Not-Run", "1"}});
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 503);
}

// Guards against a request that waits in retries and then runs as only an older
// version allows: its VM already knew the newer one.
BOOST_AUTO_TEST_CASE(a_retry_follows_the_configuration_in_force) {
  Configure();
  ServerRecord record;
  record.id = "p1";
  record.service = "pay";
  record.address = "10.0.9.1:80";
  record.failure_domain = "west";
  record.slots = 2;
  gateway.Registry().Apply(record, 90, now);
  gateway.ApplyRegistry(now);
  SendRequest(1, "/book/1");
  BOOST_TEST(attempts[0].address != record.address);
  GatewayConfig config;
  config.version = 2;
  config.services = {"desk", "pay"};
  config.routes = {Route("book", "/book/", false)};
  config.routes[0].weighted_services = {{"pay", 1.0}};
  gateway.Configure(config, now);
  FinishAttempt(attempts[0].id, AttemptEnd::kNotConnected);
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address == record.address);
}

BOOST_AUTO_TEST_CASE(a_retry_on_a_removed_route_is_refused) {
  Configure();
  SendRequest(1, "/book/1");
  SendRequest(2, "/read/2");
  GatewayConfig config;
  config.version = 2;
  config.services = {"desk"};
  gateway.Configure(config, now);
  FinishAttempt(1, AttemptEnd::kNotConnected);
  BOOST_TEST(Status() == 404);
  FinishAttempt(2, AttemptEnd::kLost);
  BOOST_TEST(Status() == 502);
}

// Guards against a request that runs twice because its route may no longer be
// repeated.
BOOST_AUTO_TEST_CASE(a_route_that_is_no_longer_repeatable_ends_retries) {
  Configure();
  SendRequest(1, "/read/1");
  GatewayConfig config;
  config.version = 2;
  config.services = {"desk"};
  config.routes = {Route("read", "/read/", false)};
  gateway.Configure(config, now);
  FinishAttempt(1, AttemptEnd::kLost);
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 502);
}

BOOST_AUTO_TEST_CASE(lower_versions_do_not_replace_higher_ones) {
  Configure(5);
  GatewayConfig old;
  old.version = 4;
  gateway.Configure(old, now);
  BOOST_TEST(gateway.Routes().Version() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(gateway_dispatch, GatewayFixture)

// Guards against requests that fail because their dispatcher does not answer.
BOOST_AUTO_TEST_CASE(an_unresponsive_dispatcher_costs_a_short_wait) {
  Configure();
  AddPeers();
  SendRequest(1, "/book/1");
  BOOST_TEST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(attempts.empty());
  const core::VmId dispatcher = messages[0].vm;
  Advance(milliseconds(25));
  BOOST_TEST(attempts.size() == 1U);
  // The next request does not go to the same dispatcher at once.
  SendRequest(2, "/book/1");
  BOOST_TEST((messages.empty() || messages[0].vm != dispatcher));
}

BOOST_AUTO_TEST_CASE(a_granted_slot_is_used_and_released) {
  Configure();
  AddPeers();
  SendRequest(1, "/book/1");
  const auto& request = std::get<SlotRequest>(messages[0].message);
  const core::VmId dispatcher = messages[0].vm;
  gateway.OnMessage(dispatcher,
                    SlotReply{request.key, Slot{77, "s2", "10.0.0.3:80"}}, now);
  CollectActions();
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address == "10.0.0.3:80");
  FinishAttempt(attempts[0].id, AttemptEnd::kLost);
  BOOST_TEST_REQUIRE(messages.size() == 1U);
  const auto& release = std::get<SlotRelease>(messages[0].message);
  BOOST_TEST(release.lease == 77U);
  BOOST_TEST((release.outcome == AttemptOutcome::kLost));
}

// Guards against an entry without evidence about servers and response times. It
// retried a hanging read only after three latency targets, and while the
// dispatcher did not answer it chose servers that had just failed it.
BOOST_AUTO_TEST_CASE(an_entry_records_attempts_in_slots_granted_by_peers) {
  AddPeers();
  Configure();
  const auto start_attempt_on = [&](std::uint64_t caller,
                                    const std::string& server) {
    SendRequest(caller, "/read/1");
    const auto request = std::get<SlotRequest>(messages.at(0).message);
    gateway.OnMessage(messages[0].vm,
                      SlotReply{request.key, Slot{caller, server, "x:1"}}, now);
    CollectActions();
    return attempts.at(0).id;
  };
  const std::uint64_t served = start_attempt_on(1, "s0");
  Advance(milliseconds(50));
  ServeAttempt(served, "1");
  start_attempt_on(2, "s1");
  Advance(milliseconds(320));
  BOOST_TEST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(std::get<SlotRequest>(messages[0].message).retry);
}

// Guards against refusals when all VMs restart: a dispatcher that does not have
// any servers yet replies that no slot is free.
BOOST_AUTO_TEST_CASE(a_dispatcher_without_servers_does_not_cause_a_refusal) {
  Configure();
  AddPeers();
  SendRequest(1, "/book/1");
  const auto request = std::get<SlotRequest>(messages[0].message);
  gateway.OnMessage(messages[0].vm, SlotReply{request.key, std::nullopt, false},
                    now);
  CollectActions();
  BOOST_TEST(attempts.size() == 1U);
  BOOST_TEST(answers.empty());
}

// Guards against a second attempt of a booking when the reply of the dispatcher
// is late.
BOOST_AUTO_TEST_CASE(a_slot_granted_too_late_is_released_unused) {
  Configure();
  AddPeers();
  SendRequest(1, "/book/1");
  const auto request = std::get<SlotRequest>(messages[0].message);
  const core::VmId dispatcher = messages[0].vm;
  Advance(milliseconds(25));
  BOOST_TEST(attempts.size() == 1U);
  gateway.OnMessage(dispatcher,
                    SlotReply{request.key, Slot{77, "s2", "10.0.0.3:80"}}, now);
  CollectActions();
  BOOST_TEST(attempts.empty());
  BOOST_TEST_REQUIRE(messages.size() == 1U);
  BOOST_TEST((std::get<SlotRelease>(messages[0].message).outcome ==
              AttemptOutcome::kCancelled));
}

// Guards against requests to a draining server: while VMs are cut off from the
// store, a dispatcher that does not know of the drain grants a slot of the
// server to a VM that does.
BOOST_AUTO_TEST_CASE(a_slot_of_a_draining_server_is_not_used) {
  Configure();
  AddPeers();
  ServerRecord record = gateway.Registry().Servers().at("s2").record;
  record.draining = true;
  record.sequence = 9;
  gateway.Registry().Apply(record, 20, now);
  gateway.ApplyRegistry(now);
  SendRequest(1, "/book/1");
  const auto request = std::get<SlotRequest>(messages[0].message);
  gateway.OnMessage(messages[0].vm,
                    SlotReply{request.key, Slot{77, "s2", "10.0.0.3:80"}}, now);
  CollectActions();
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address != "10.0.0.3:80");
}

// Guards against a fleet that exceeds the retry budget of its services while
// its VMs cannot reach each other, so that each chooses servers locally.
BOOST_AUTO_TEST_CASE(
    retries_of_isolated_vms_stay_within_the_budget_of_the_fleet) {
  constexpr std::uint32_t kVms = 40;
  constexpr std::uint64_t kReads = 60;
  int retries = 0;
  for (std::uint32_t vm = 1; vm <= kVms; ++vm) {
    GatewayFixture isolated{core::VmId{vm}};
    isolated.Configure();
    isolated.AddPeers();
    for (std::uint64_t caller = 1; caller <= kReads; ++caller) {
      isolated.SendRequest(caller, "/read/1");
      for (int number = 0; number < 3 && isolated.answers.empty(); ++number) {
        while (isolated.attempts.empty() && isolated.answers.empty()) {
          isolated.Advance(milliseconds(25));
        }
        if (!isolated.attempts.empty()) {
          retries += number > 0 ? 1 : 0;
          isolated.FinishAttempt(isolated.attempts[0].id, AttemptEnd::kLost);
        }
      }
      if (isolated.gateway.InFlight() > 0) {
        isolated.gateway.OnCallerDisconnected(core::CallerId{caller},
                                              isolated.now);
      }
    }
  }
  const double allowed = 0.2 * kVms * kReads + 80.0;
  BOOST_TEST(retries > 0);
  BOOST_TEST(retries <= allowed);
}

// Guards against a service with so many groups of servers that the part of each
// in the retry budget is below one, and no read is ever repeated.
BOOST_AUTO_TEST_CASE(reads_are_repeated_however_many_groups_a_service_has) {
  for (int i = 4; i < 600; ++i) {
    AddServer(i);
  }
  Configure();
  int retries = 0;
  for (std::uint64_t caller = 1; caller <= 400; ++caller) {
    SendRequest(caller, "/read/1");
    BOOST_TEST_REQUIRE(attempts.size() == 1U);
    FinishAttempt(attempts[0].id, AttemptEnd::kLost);
    retries += static_cast<int>(attempts.size());
    if (!attempts.empty()) {
      ServeAttempt(attempts[0].id, std::to_string(caller));
    }
    Advance(milliseconds(2));
  }
  BOOST_TEST(retries > 400 * 0.15);
  BOOST_TEST(retries <= 400 * 0.2 + 80);
}

BOOST_AUTO_TEST_SUITE_END()

/// Routes for urgent payouts and delay-tolerant reads, and four servers with
/// three slots each.
struct DelayTolerantFixture : GatewayFixture {
  DelayTolerantFixture() {
    GatewayConfig config;
    config.version = 1;
    config.services = {"desk"};
    config.routes = {Route("pay", "/pay/", false),
                     Route("read", "/read/", true)};
    config.routes[1].priority = 2;
    config.routes[1].latency_target = milliseconds(4000);
    gateway.Configure(config, now);
    for (int i = 0; i < 4; ++i) {
      AddServer(i, 3);
    }
    gateway.ApplyRegistry(now);
    static_cast<void>(gateway.TakeActions());
  }

  /// Uses all slots that delay-tolerant reads may use.
  void UseDelayTolerantCapacity() {
    for (std::uint64_t caller = 1; caller <= 8; ++caller) {
      SendRequest(caller, "/read/1", "4000");
      BOOST_TEST_REQUIRE(attempts.size() == 1U);
      in_flight.push_back(attempts[0].id);
    }
  }

  std::vector<std::uint64_t> in_flight;
};

BOOST_FIXTURE_TEST_SUITE(delay_tolerant_requests, DelayTolerantFixture)

// Guards against a less urgent read that is refused although a slot is soon
// free, and against one that waits for long before it is refused.
BOOST_AUTO_TEST_CASE(a_less_urgent_read_waits_briefly_for_capacity) {
  UseDelayTolerantCapacity();
  SendRequest(9, "/read/1", "4000");
  BOOST_TEST(attempts.empty());
  BOOST_TEST(answers.empty());
  SendRequest(10, "/pay/1");
  BOOST_TEST(attempts.size() == 1U);
  ServeAttempt(in_flight[0], "1");
  ServeAttempt(in_flight[1], "2");
  Advance(milliseconds(100));
  BOOST_TEST(attempts.size() == 1U);
  SendRequest(11, "/read/1", "4000");
  BOOST_TEST(answers.empty());
  for (int i = 0; i < 5 && answers.empty(); ++i) {
    Advance(milliseconds(100));
  }
  BOOST_TEST(Status() == 503);
}

// Guards against last attempts at servers that have just lost requests while
// the others have no free slot for some tenths of a second.
BOOST_AUTO_TEST_CASE(
    the_last_attempt_of_a_delay_tolerant_read_waits_for_capacity) {
  UseDelayTolerantCapacity();
  FinishAttempt(in_flight[0], AttemptEnd::kLost);
  BOOST_TEST(attempts.empty());
  BOOST_TEST(answers.empty());
  ServeAttempt(in_flight[1], "2");
  Advance(milliseconds(100));
  BOOST_TEST(attempts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway
