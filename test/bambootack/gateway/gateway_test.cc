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

BOOST_AUTO_TEST_CASE(a_served_request_is_passed_on_whole) {
  Configure();
  Ask(1, "/book/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(core::FindHeader(sends[0].http.headers, "Only-Server")
                 .value()
                 .starts_with("s"));
  Serve(sends[0].id, "1");
  BOOST_TEST(Status() == 200);
  BOOST_TEST(answers[0].http.body == "answer");
  BOOST_TEST(gateway.InFlight() == 0U);
}

// Guards against a booking that runs twice, and against a false "not run".
BOOST_AUTO_TEST_CASE(a_booking_that_may_have_run_is_not_sent_again) {
  Configure();
  for (const AttemptEnd end :
       {AttemptEnd::kLost, AttemptEnd::kInvalid, AttemptEnd::kTimedOut}) {
    Ask(1, "/book/1");
    BOOST_TEST_REQUIRE(sends.size() == 1U);
    End(sends[0].id, end);
    BOOST_TEST(sends.empty());
    BOOST_TEST(Status() >= 500);
    BOOST_TEST(!PromisesNotExecuted(Status()));
  }
}

// Guards against bookings that are lost though no server can have run them.
BOOST_AUTO_TEST_CASE(a_booking_that_has_not_run_goes_to_another_server) {
  Configure();
  Ask(1, "/book/1");
  std::set<std::string> used{sends[0].address};
  End(sends[0].id, AttemptEnd::kNotConnected);
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  used.insert(sends[0].address);
  Answer(sends[0].id, 503, {{"Not-Run", "1"}});
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  used.insert(sends[0].address);
  Answer(sends[0].id, 421, {});
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  used.insert(sends[0].address);
  BOOST_TEST(used.size() == 4U);
  Answer(sends[0].id, 503, {{"Not-Run", "1"}});
  BOOST_TEST(Status() == 503);
  BOOST_TEST(
      core::FindHeader(answers[0].http.headers, "Retry-After").has_value());
}

BOOST_AUTO_TEST_CASE(a_read_is_repeated_up_to_its_attempts) {
  Configure();
  Ask(1, "/read/1");
  const std::string first = sends[0].address;
  End(sends[0].id, AttemptEnd::kLost);
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(sends[0].address != first);
  End(sends[0].id, AttemptEnd::kLost);
  BOOST_TEST(sends.empty());
  BOOST_TEST(Status() == 502);
}

// Guards against a last attempt at a server on trial, which most often loses
// it: reads were lost twice as often as bookings.
BOOST_AUTO_TEST_CASE(the_last_attempt_of_a_read_goes_to_a_trusted_server) {
  Configure();
  for (int i = 0; i < 3; ++i) {
    Ask(1, "/book/1");
    End(sends[0].id, AttemptEnd::kLost);
    Wait(std::chrono::milliseconds(10));
  }
  Wait(std::chrono::milliseconds(900));
  Ask(2, "/book/2");
  const std::string trusted = sends[0].address;
  Serve(sends[0].id, "2");
  Ask(3, "/read/3");
  BOOST_TEST(sends[0].address != trusted);
  End(sends[0].id, AttemptEnd::kLost);
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(sends[0].address == trusted);
}

// Guards against a request that is given up while most connections of its VM
// fail on a path that loses packets.
BOOST_AUTO_TEST_CASE(connections_that_fail_leave_time_for_others) {
  for (int i = 4; i < 12; ++i) {
    AddServer(i);
  }
  Configure();
  Ask(1, "/book/1");
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST_REQUIRE(sends.size() == 1U);
    const std::uint64_t send = sends[0].id;
    now += std::chrono::milliseconds(120);
    End(send, AttemptEnd::kNotConnected);
  }
  BOOST_TEST_REQUIRE(sends.size() == 1U);
}

// Guards against a promise of a server that did not make it: callers would send
// the booking again.
BOOST_AUTO_TEST_CASE(a_status_that_promises_too_much_is_replaced) {
  Configure();
  for (const int status : {408, 429, 503}) {
    Ask(1, "/book/1");
    Answer(sends[0].id, status, {{"Request-Id", "1"}, {"Signature", "x"}});
    BOOST_TEST(Status() == 502);
  }
}

BOOST_AUTO_TEST_CASE(a_servers_own_error_is_passed_on) {
  Configure();
  Ask(1, "/book/1");
  Answer(sends[0].id, 500, {{"Request-Id", "1"}, {"Signature", "x"}});
  BOOST_TEST(Status() == 500);
  BOOST_TEST(answers[0].http.body == "answer");
}

// Guards against work that goes on for a caller that has left.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_its_send) {
  Configure();
  Ask(1, "/read/1");
  const std::uint64_t send = sends[0].id;
  gateway.OnCallerDisconnected(core::CallerId{1}, now);
  Collect();
  BOOST_TEST_REQUIRE(cancels.size() == 1U);
  BOOST_TEST(cancels[0] == send);
  Serve(send, "1");
  BOOST_TEST(answers.empty());
}

BOOST_AUTO_TEST_CASE(the_deadline_of_the_caller_and_of_the_route_hold) {
  Configure();
  Ask(1, "/book/1", "400");
  Wait(milliseconds(399));
  BOOST_TEST(answers.empty());
  Wait(milliseconds(1));
  BOOST_TEST(Status() == 504);
  BOOST_TEST(cancels.size() == 1U);
  Ask(2, "/book/1", "60000");
  Wait(milliseconds(1500));
  BOOST_TEST(Status() == 504);
}

BOOST_AUTO_TEST_CASE(requests_without_route_or_configuration_are_told_apart) {
  Ask(1, "/book/1");
  Wait(milliseconds(250));
  BOOST_TEST(Status() == 503);
  Configure();
  Ask(2, "/other/1");
  BOOST_TEST(Status() == 404);
}

// Guards against refusals by a VM that has just started and gets its routes and
// servers some tens of milliseconds later.
BOOST_AUTO_TEST_CASE(early_requests_wait_for_the_first_configuration) {
  Ask(1, "/book/1");
  BOOST_TEST(answers.empty());
  Wait(milliseconds(60));
  BOOST_TEST(answers.empty());
  Configure();
  Wait(milliseconds(1));
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST((sends[0].timeout == milliseconds(1139)));
  Serve(sends[0].id, "1");
  BOOST_TEST(Status() == 200);
}

// Guards against a send without time: its caller has given up.
BOOST_AUTO_TEST_CASE(an_early_request_without_time_left_is_refused) {
  Ask(1, "/book/1", "40");
  now += milliseconds(60);
  Configure();
  Wait(milliseconds(1));
  BOOST_TEST(sends.empty());
  BOOST_TEST(Status() == 503);
}

// Guards against a send for a caller that left while its request waited.
BOOST_AUTO_TEST_CASE(an_early_request_is_dropped_with_its_caller) {
  Ask(1, "/book/1");
  gateway.OnCallerDisconnected(core::CallerId{1}, now);
  Configure();
  Wait(milliseconds(1));
  BOOST_TEST(sends.empty());
  BOOST_TEST(gateway.InFlight() == 0U);
}

// Found by a hunt: a caller kept using its open connection after the SIGTERM,
// so that a stopping VM never was idle and cut a request when it ended.
BOOST_AUTO_TEST_CASE(a_stopping_vm_ends_what_it_has_and_refuses_the_rest) {
  Configure();
  Ask(1, "/book/1");
  const std::uint64_t send = sends[0].id;
  gateway.BeginShutdown();
  Ask(2, "/book/2");
  BOOST_TEST(sends.size() == 1U);
  const std::uint64_t late_send = sends[0].id;
  gateway.RefuseNewRequests();
  Ask(3, "/book/3");
  BOOST_TEST(Status() == 503);
  BOOST_TEST(*core::FindHeader(answers[0].http.headers, "Connection") ==
             "close");
  Serve(send, "1");
  BOOST_TEST(Status() == 200);
  BOOST_TEST(*core::FindHeader(answers[0].http.headers, "Connection") ==
             "close");
  Serve(late_send, "2");
  BOOST_TEST(Status() == 200);
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

// Guards against requests that fail with their dispatcher.
BOOST_AUTO_TEST_CASE(a_silent_dispatcher_costs_a_short_wait) {
  Configure();
  AddPeers();
  Ask(1, "/book/1");
  BOOST_TEST_REQUIRE(told.size() == 1U);
  BOOST_TEST(sends.empty());
  const core::VmId dispatcher = told[0].vm;
  Wait(milliseconds(25));
  BOOST_TEST(sends.size() == 1U);
  // It is not asked again at once.
  Ask(2, "/book/1");
  BOOST_TEST((told.empty() || told[0].vm != dispatcher));
}

BOOST_AUTO_TEST_CASE(a_granted_slot_is_used_and_given_back) {
  Configure();
  AddPeers();
  Ask(1, "/book/1");
  const auto& ask = std::get<SlotRequest>(told[0].message);
  const core::VmId dispatcher = told[0].vm;
  gateway.OnMessage(dispatcher,
                    SlotReply{ask.key, Slot{77, "s2", "10.0.0.3:80"}}, now);
  Collect();
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(sends[0].address == "10.0.0.3:80");
  End(sends[0].id, AttemptEnd::kLost);
  BOOST_TEST_REQUIRE(told.size() == 1U);
  const auto& release = std::get<SlotRelease>(told[0].message);
  BOOST_TEST(release.lease == 77U);
  BOOST_TEST((release.outcome == AttemptOutcome::kLost));
}

// Guards against an entry that knows nothing of servers and usual times: it
// sent a hanging read again three targets later, and chose servers that had
// just failed it while the dispatcher did not answer.
BOOST_AUTO_TEST_CASE(an_entry_learns_from_sends_that_others_granted) {
  AddPeers();
  Configure();
  const auto send_to = [&](std::uint64_t caller, const std::string& server) {
    Ask(caller, "/read/1");
    const auto ask = std::get<SlotRequest>(told.at(0).message);
    gateway.OnMessage(told[0].vm,
                      SlotReply{ask.key, Slot{caller, server, "x:1"}}, now);
    Collect();
    return sends.at(0).id;
  };
  const std::uint64_t served = send_to(1, "s0");
  Wait(milliseconds(50));
  Serve(served, "1");
  send_to(2, "s1");
  Wait(milliseconds(320));
  BOOST_TEST_REQUIRE(told.size() == 1U);
  BOOST_TEST(std::get<SlotRequest>(told[0].message).retry);
}

// Found on days on which all VMs start again: a dispatcher that had no servers
// yet replied that there is no slot, and requests were refused.
BOOST_AUTO_TEST_CASE(a_dispatcher_without_servers_does_not_refuse) {
  Configure();
  AddPeers();
  Ask(1, "/book/1");
  const auto ask = std::get<SlotRequest>(told[0].message);
  gateway.OnMessage(told[0].vm, SlotReply{ask.key, std::nullopt, false}, now);
  Collect();
  BOOST_TEST(sends.size() == 1U);
  BOOST_TEST(answers.empty());
}

// Guards against two servers for one booking when the reply comes late.
BOOST_AUTO_TEST_CASE(a_late_grant_is_given_back_unused) {
  Configure();
  AddPeers();
  Ask(1, "/book/1");
  const auto ask = std::get<SlotRequest>(told[0].message);
  const core::VmId dispatcher = told[0].vm;
  Wait(milliseconds(25));
  BOOST_TEST(sends.size() == 1U);
  gateway.OnMessage(dispatcher,
                    SlotReply{ask.key, Slot{77, "s2", "10.0.0.3:80"}}, now);
  Collect();
  BOOST_TEST(sends.empty());
  BOOST_TEST_REQUIRE(told.size() == 1U);
  BOOST_TEST((std::get<SlotRelease>(told[0].message).outcome ==
              AttemptOutcome::kCancelled));
}

// Found on a day with VMs that were cut off from the store: a dispatcher that
// did not know of a drain granted the draining server to a VM that did.
BOOST_AUTO_TEST_CASE(a_grant_of_a_draining_server_is_not_used) {
  Configure();
  AddPeers();
  ServerRecord record = gateway.Registry().Servers().at("s2").record;
  record.draining = true;
  record.sequence = 9;
  gateway.Registry().Apply(record, 20, now);
  gateway.ApplyRegistry(now);
  Ask(1, "/book/1");
  const auto ask = std::get<SlotRequest>(told[0].message);
  gateway.OnMessage(told[0].vm,
                    SlotReply{ask.key, Slot{77, "s2", "10.0.0.3:80"}}, now);
  Collect();
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(sends[0].address != "10.0.0.3:80");
}

// Guards against a fleet that sends more repeats than its services allow while
// its VMs cannot hear each other, so that each becomes its own dispatcher.
BOOST_AUTO_TEST_CASE(repeats_of_vms_alone_stay_within_the_budget_of_the_fleet) {
  constexpr std::uint32_t kVms = 40;
  constexpr std::uint64_t kReads = 60;
  int repeats = 0;
  for (std::uint32_t vm = 1; vm <= kVms; ++vm) {
    GatewayFixture alone{core::VmId{vm}};
    alone.Configure();
    alone.AddPeers();
    for (std::uint64_t caller = 1; caller <= kReads; ++caller) {
      alone.Ask(caller, "/read/1");
      for (int tries = 0; tries < 3 && alone.answers.empty(); ++tries) {
        while (alone.sends.empty() && alone.answers.empty()) {
          alone.Wait(milliseconds(25));
        }
        if (!alone.sends.empty()) {
          repeats += tries > 0 ? 1 : 0;
          alone.End(alone.sends[0].id, AttemptEnd::kLost);
        }
      }
      if (alone.gateway.InFlight() > 0) {
        alone.gateway.OnCallerDisconnected(core::CallerId{caller}, alone.now);
      }
    }
  }
  const double allowed = 0.2 * kVms * kReads + 80.0;
  BOOST_TEST(repeats > 0);
  BOOST_TEST(repeats <= allowed);
}

BOOST_AUTO_TEST_SUITE_END()

/// Configures urgent payouts and patient reads on four servers of three slots.
struct PatientFixture : GatewayFixture {
  PatientFixture() {
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

  /// Takes all the room that patient reads have.
  void Fill() {
    for (std::uint64_t caller = 1; caller <= 8; ++caller) {
      Ask(caller, "/read/1", "4000");
      BOOST_TEST_REQUIRE(sends.size() == 1U);
      started.push_back(sends[0].id);
    }
  }

  std::vector<std::uint64_t> started;
};

BOOST_FIXTURE_TEST_SUITE(patient_requests, PatientFixture)

// Guards against a less urgent read that is refused though room comes soon, and
// against one that is held for long before it is refused.
BOOST_AUTO_TEST_CASE(a_less_urgent_read_waits_for_room_for_a_short_time) {
  Fill();
  Ask(9, "/read/1", "4000");
  BOOST_TEST(sends.empty());
  BOOST_TEST(answers.empty());
  Ask(10, "/pay/1");
  BOOST_TEST(sends.size() == 1U);
  Serve(started[0], "1");
  Serve(started[1], "2");
  Wait(milliseconds(100));
  BOOST_TEST(sends.size() == 1U);
  Ask(11, "/read/1", "4000");
  BOOST_TEST(answers.empty());
  for (int i = 0; i < 5 && answers.empty(); ++i) {
    Wait(milliseconds(100));
  }
  BOOST_TEST(Status() == 503);
}

// Guards against last attempts that go to servers that have just lost requests
// while the others are full for some tenths of a second.
BOOST_AUTO_TEST_CASE(the_last_attempt_of_a_patient_read_waits_for_room) {
  Fill();
  End(started[0], AttemptEnd::kLost);
  BOOST_TEST(sends.empty());
  BOOST_TEST(answers.empty());
  Serve(started[1], "2");
  Wait(milliseconds(100));
  BOOST_TEST(sends.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway
