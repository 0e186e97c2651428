#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/gateway/gateway_fixture.h"

namespace bambootack::gateway {

using node::AttemptEnd;
using std::chrono::milliseconds;

namespace {

/// Ends the answer of a server that is leaving.
core::Headers LeavingHeaders(const std::string& request) {
  return {{"Request-Id", request}, {"Signature", "x"}, {"Leaving", "1"}};
}

core::Headers PauseHeaders(const std::string& request,
                           const std::string& seconds) {
  return {{"Request-Id", request}, {"Not-Run", "1"}, {"Retry-After", seconds}};
}

struct NoticeFixture : GatewayFixture {
  /// Serves requests with an id from `first` on and returns their servers.
  std::set<std::string> ServersOf(std::uint64_t first, int requests) {
    std::set<std::string> addresses;
    for (int i = 0; i < requests; ++i) {
      const std::uint64_t caller = first + static_cast<std::uint64_t>(i);
      SendRequest(caller, i % 2 == 0 ? "/book/1" : "/read/1");
      for (const StartAttempt& it : attempts) {
        addresses.insert(it.address);
      }
      if (!attempts.empty()) {
        ServeAttempt(attempts[0].id, std::to_string(caller));
      }
      Advance(milliseconds(50));
    }
    return addresses;
  }

  /// Sends a request, answers it as given and returns the server's address.
  std::string Answer(std::uint64_t caller, int status,
                     const core::Headers& headers) {
    SendRequest(caller, "/book/1");
    std::string address = attempts.at(0).address;
    AnswerAttempt(attempts[0].id, status, headers);
    return address;
  }

  /// Makes every server of the fixture ask for a pause.
  void PauseAllServers(const std::string& seconds) {
    SendRequest(900, "/book/1", "1500");
    while (!attempts.empty()) {
      AnswerAttempt(attempts[0].id, 503, PauseHeaders("900", seconds));
    }
  }
};

double RetryAfter(const core::HttpAnswer& answer) {
  return std::atof(
      std::string(core::FindHeader(answer.headers, "Retry-After").value_or("0"))
          .c_str());
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_notices, NoticeFixture)

// Guards against requests to a server that has told this VM that it is leaving
// while its record in the store still says that it is ready.
BOOST_AUTO_TEST_CASE(a_leaving_server_receives_no_further_request) {
  Configure();
  const std::string leaving = Answer(1, 200, LeavingHeaders("1"));
  BOOST_TEST(Status() == 200);
  const int number = leaving[7] - '1';
  AddServer(number, 3);
  gateway.ApplyRegistry(now);
  BOOST_TEST(!ServersOf(10, 80).contains(leaving));
}

// Guards against a refusal or an error whose notice is not read.
BOOST_AUTO_TEST_CASE(all_answers_can_say_that_a_server_is_leaving) {
  Configure();
  std::set<std::string> leaving;
  leaving.insert(Answer(1, 500, LeavingHeaders("1")));
  leaving.insert(Answer(2, 404, LeavingHeaders("2")));
  SendRequest(3, "/book/1");
  leaving.insert(attempts[0].address);
  core::Headers refusal = LeavingHeaders("3");
  refusal.push_back({"Not-Run", "1"});
  AnswerAttempt(attempts[0].id, 503, refusal);
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(!leaving.contains(attempts[0].address));
  ServeAttempt(attempts[0].id, "3");
  BOOST_TEST(leaving.size() == 3U);
  BOOST_TEST(ServersOf(10, 40).size() == 1U);
}

// Guards against a notice in an answer that belongs to another request.
BOOST_AUTO_TEST_CASE(a_notice_in_an_invalid_answer_is_ignored) {
  Configure();
  const std::string address = Answer(1, 200, LeavingHeaders("0"));
  Advance(milliseconds(2000));
  BOOST_TEST(ServersOf(10, 80).contains(address));
}

// Guards against a request in flight at a leaving server that is cut off.
BOOST_AUTO_TEST_CASE(requests_at_a_leaving_server_end_normally) {
  AddServer(0, 3);
  Configure();
  std::map<std::string, std::uint64_t> at;
  for (std::uint64_t caller = 1; caller <= 9; ++caller) {
    SendRequest(caller, "/book/1");
    const auto [it, added] = at.emplace(attempts[0].address, caller);
    if (!added) {
      AnswerAttempt(caller, 200, LeavingHeaders(std::to_string(caller)));
      BOOST_TEST(cancelled.empty());
      ServeAttempt(it->second, std::to_string(it->second));
      BOOST_TEST(Status() == 200);
      return;
    }
  }
  BOOST_TEST(false, "no server received two requests");
}

// Guards against a dispatcher that goes on granting slots of a leaving server,
// and against peers that learn of it only from the server itself.
BOOST_AUTO_TEST_CASE(peers_are_told_of_a_leaving_server_once) {
  Configure();
  AddPeers();
  SendRequest(1, "/book/1");
  const auto request = std::get<SlotRequest>(messages[0].message);
  const core::VmId dispatcher = messages[0].vm;
  gateway.OnMessage(dispatcher,
                    SlotReply{request.key, Slot{77, "s2", "10.0.0.3:80"}}, now);
  CollectActions();
  AnswerAttempt(attempts.at(0).id, 200, LeavingHeaders("1"));
  std::size_t notices = 0;
  for (const SendToPeer& it : messages) {
    const auto* notice = std::get_if<LeavingNotice>(&it.message);
    notices += notice != nullptr && notice->server == "s2" ? 1 : 0;
  }
  BOOST_TEST(notices == 39U);
  SendRequest(2, "/book/1");
  const auto second = std::get<SlotRequest>(messages.at(0).message);
  gateway.OnMessage(messages[0].vm,
                    SlotReply{second.key, Slot{78, "s2", "10.0.0.3:80"}}, now);
  CollectActions();
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address != "10.0.0.3:80");
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_told_uses_the_server_no_more) {
  Configure();
  gateway.OnMessage(core::VmId{7}, LeavingNotice{"s2", 0}, now);
  CollectActions();
  BOOST_TEST(messages.empty());
  BOOST_TEST(!ServersOf(10, 80).contains("10.0.0.3:80"));
}

// Guards against requests, second attempts included, to a server that wants
// nothing from this VM, and against a pause that counts as its failure.
BOOST_AUTO_TEST_CASE(a_paused_server_receives_nothing_until_its_end) {
  Configure();
  SendRequest(1, "/read/1");
  const std::string paused = attempts[0].address;
  AnswerAttempt(attempts[0].id, 503, PauseHeaders("1", "4"));
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address != paused);
  ServeAttempt(attempts[0].id, "1");
  BOOST_TEST(!ServersOf(10, 78).contains(paused));
  Advance(milliseconds(200));
  BOOST_TEST(ServersOf(100, 40).contains(paused));
}

// Guards against a slot of a paused server that a dispatcher grants, since it
// has not heard of the pause of this VM.
BOOST_AUTO_TEST_CASE(a_slot_of_a_paused_server_goes_back_unused) {
  Configure();
  AddPeers();
  const auto grant = [&](std::uint64_t caller) {
    SendRequest(caller, "/book/1");
    const auto request = std::get<SlotRequest>(messages.at(0).message);
    const core::VmId dispatcher = messages[0].vm;
    const bool excluded =
        std::find(request.requirements.excluded.begin(),
                  request.requirements.excluded.end(),
                  "s2") != request.requirements.excluded.end();
    gateway.OnMessage(
        dispatcher,
        SlotReply{request.key, Slot{70 + caller, "s2", "10.0.0.3:80"}}, now);
    CollectActions();
    return excluded;
  };
  BOOST_TEST(!grant(1));
  AnswerAttempt(attempts.at(0).id, 503, PauseHeaders("1", "1"));
  Advance(milliseconds(30));
  BOOST_TEST(grant(2));
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  BOOST_TEST(attempts[0].address != "10.0.0.3:80");
  bool released = false;
  for (const SendToPeer& it : messages) {
    const auto* release = std::get_if<SlotRelease>(&it.message);
    released = released || (release != nullptr && release->lease == 72 &&
                            release->outcome == AttemptOutcome::kUnused);
  }
  BOOST_TEST(released);
}

// Guards against requests that wait until their deadline while no server wants
// them, and against callers that all return at the same moment.
BOOST_AUTO_TEST_CASE(requests_are_refused_while_all_servers_are_paused) {
  Configure();
  PauseAllServers("0.3");
  BOOST_TEST(Status() == 503);
  std::set<double> waits;
  for (std::uint64_t caller = 1; caller <= 20; ++caller) {
    SendRequest(caller, "/book/1", "1500");
    BOOST_TEST(attempts.empty());
    BOOST_TEST(Status() == 503);
    const double wait = RetryAfter(answers.at(0).http);
    BOOST_TEST(wait >= 0.29);
    BOOST_TEST(wait <= 0.4);
    waits.insert(wait);
  }
  BOOST_TEST(waits.size() > 10U);
  // A caller without time until the end of the pause may find another VM.
  SendRequest(30, "/book/1", "600");
  BOOST_TEST(RetryAfter(answers.at(0).http) <= 0.2);
  Advance(milliseconds(300));
  SendRequest(31, "/book/1");
  BOOST_TEST(attempts.size() == 1U);
}

// Guards against a text that is no number of seconds and counts as a pause.
BOOST_AUTO_TEST_CASE(a_malformed_pause_is_logged_and_ignored) {
  Configure();
  SendRequest(1, "/book/1");
  const std::uint64_t attempt = attempts[0].id;
  gateway.OnAttemptFinished(attempt, AttemptEnd::kAnswered,
                            {503, PauseHeaders("1", "soon"), ""}, now);
  int lines = 0;
  for (const GatewayAction& it : gateway.TakeActions()) {
    const auto* log = std::get_if<node::WriteLog>(&it);
    lines +=
        log != nullptr && log->record.id == log::EventId::kServerPaused &&
                log->record.detail.find("ignored=soon") != std::string::npos
            ? 1
            : 0;
  }
  BOOST_TEST(lines == 1);
}

// Guards against a pause of one VM that other VMs keep.
BOOST_AUTO_TEST_CASE(a_dispatcher_grants_the_slot_to_other_vms) {
  Configure();
  PauseAllServers("5");
  Advance(milliseconds(100));
  SlotRequest request;
  request.requirements.service = "desk";
  request.requirements.route = "book";
  request.requirements.max_queue_wait = milliseconds(300);
  request.requirements.time_left = milliseconds(1000);
  gateway.OnMessage(core::VmId{9}, request, now);
  CollectActions();
  BOOST_TEST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(std::get<SlotReply>(messages[0].message).slot.has_value());
}

// Guards against a pause that only the VM of the dispatcher keeps: each VM has
// been asked by itself, and slots come from dispatchers that were not.
BOOST_AUTO_TEST_CASE(
    each_vm_of_a_fleet_keeps_the_pauses_that_it_was_asked_for) {
  constexpr std::uint32_t kVms = 12;
  constexpr core::Duration kPause = milliseconds(2000);
  std::vector<std::unique_ptr<GatewayFixture>> vms;
  for (std::uint32_t i = 0; i < kVms; ++i) {
    vms.push_back(std::make_unique<GatewayFixture>(core::VmId{i + 1}));
    vms.back()->Configure();
    for (std::uint32_t peer = 1; peer <= kVms; ++peer) {
      vms.back()->gateway.AddPeer(
          {core::VmId{peer}, {}, "10.0.1.2:7000", "west"});
    }
    static_cast<void>(vms.back()->gateway.TakeActions());
  }
  std::map<std::uint32_t, core::Time> asked;
  int arrivals_in_pause = 0;
  int served = 0;
  std::uint64_t caller = 0;
  // Server s0 asks each VM for a pause at its first request; others serve.
  std::deque<std::pair<std::uint32_t, GatewayAction>> actions;
  const auto take = [&](std::uint32_t vm) {
    for (GatewayAction& it : vms[vm]->gateway.TakeActions()) {
      actions.emplace_back(vm, std::move(it));
    }
  };
  const auto answer = [&](std::uint32_t vm, const StartAttempt& attempt) {
    const core::Time now = vms[vm]->now;
    const std::string id(
        core::FindHeader(attempt.http.headers, "Request-Id").value_or(""));
    core::HttpAnswer result{
        200, {{"Request-Id", id}, {"Signature", "x"}}, "answer"};
    if (attempt.address == "10.0.0.1:80") {
      const auto pause = asked.find(vm);
      const bool in_pause =
          pause != asked.end() && now < pause->second + kPause;
      arrivals_in_pause += in_pause ? 1 : 0;
      asked[vm] = now;
      result = {503, PauseHeaders(id, "2"), ""};
    } else {
      ++served;
    }
    vms[vm]->gateway.OnAttemptFinished(attempt.id, AttemptEnd::kAnswered,
                                       std::move(result), now);
  };
  const auto perform_all = [&] {
    while (!actions.empty()) {
      auto [vm, action] = std::move(actions.front());
      actions.pop_front();
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) {
        answer(vm, *attempt);
        take(vm);
      } else if (auto* message = std::get_if<SendToPeer>(&action)) {
        const std::uint32_t to = static_cast<std::uint32_t>(message->vm) - 1;
        vms[to]->gateway.OnMessage(core::VmId{vm + 1},
                                   std::move(message->message), vms[to]->now);
        take(to);
      }
    }
  };
  for (int step = 0; step < 120; ++step) {
    for (std::uint32_t vm = 0; vm < kVms; ++vm) {
      ++caller;
      vms[vm]->gateway.OnRequest(
          core::CallerId{caller},
          {"POST",
           caller % 2 == 0 ? "/read/1" : "/book/1",
           {{"Host", "a.example"}, {"Request-Id", std::to_string(caller)}},
           "body"},
          vms[vm]->now);
      take(vm);
      perform_all();
      vms[vm]->now += milliseconds(30);
      vms[vm]->gateway.OnTimer(vms[vm]->now);
      take(vm);
      perform_all();
    }
  }
  BOOST_TEST(asked.size() > kVms / 2);
  BOOST_TEST(arrivals_in_pause == 0);
  BOOST_TEST(served > 1200);
}

// Guards against callers that return at once, or all at one moment, to servers
// that admit few requests.
BOOST_AUTO_TEST_CASE(callers_return_at_the_rate_of_limited_servers) {
  gateway::GatewayFixture fixture;
  fixture.Configure();
  for (std::uint64_t i = 1; i <= 8; ++i) {
    fixture.SendRequest(i, "/book/1");
    BOOST_TEST_REQUIRE(fixture.attempts.size() == 1U);
    fixture.AnswerAttempt(fixture.attempts.front().id, 200,
                          {{"Request-Id", std::to_string(i)},
                           {"Signature", "x"},
                           {"Limit", "2.5"}});
    fixture.Advance(std::chrono::milliseconds(1700));
  }
  std::vector<double> waits;
  for (std::uint64_t i = 100; waits.size() < 3; ++i) {
    fixture.SendRequest(i, "/book/1");
    if (!fixture.answers.empty()) {
      const core::HttpAnswer& answer = fixture.answers.front().http;
      BOOST_TEST(answer.status == 503);
      waits.push_back(std::stod(std::string(
          core::FindHeader(answer.headers, "Retry-After").value_or("0"))));
    }
  }
  // Four servers admit 10 requests/s.
  BOOST_TEST(waits[0] == 0.1, boost::test_tools::tolerance(0.01));
  BOOST_TEST(waits[1] == 0.2, boost::test_tools::tolerance(0.01));
  BOOST_TEST(waits[2] == 0.3, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway
