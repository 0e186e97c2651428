#include "soak/ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "soak/backend.h"

// Each case breaks one promise and expects the ledger of the soak to see it.

namespace {

using bambootack::net::HttpCallResult;
using bambootack::node::AttemptEnd;
using std::chrono::milliseconds;
namespace core = soak::core;

struct LedgerFixture {
  LedgerFixture() : ledger(view) {
    view.gateways.resize(1);
    view.store_paths.resize(1);
    view.stopping.resize(1);
    Configure(1, "desk");
    now += std::chrono::seconds(10);
  }

  void Configure(std::uint64_t version, const std::string& service) {
    soak::SoakConfig config;
    config.version = version;
    config.acknowledged = now;
    config.routes["/book/"] = {"/book/", false, {service}};
    ledger.NoteConfig(config);
  }

  void Send(const std::string& id) {
    soak::Attempt attempt;
    attempt.prefix = "/book/";
    attempt.http = {"POST", "/book/1", {}, id};
    attempt.sent = now;
    attempt.left = milliseconds(1500);
    ledger.NoteSent(id, attempt);
  }

  void Run(const std::string& id, const std::string& service = "desk",
           const std::string& left_ms = "1500") {
    ledger.NoteRun({"POST",
                    "/book/1",
                    {{soak::Names().request_id, id},
                     {soak::Names().remaining_ms, left_ms}},
                    id},
                   "s1", service, now);
  }

  void End(const std::string& id, int status, const std::string& body) {
    HttpCallResult result;
    result.end = AttemptEnd::kAnswered;
    result.answer = {
        status, {{soak::Names().signature, soak::SignatureOf(id)}}, body};
    ledger.NoteEnd(id, result, now);
  }

  void Lose(const std::string& id) { ledger.NoteEnd(id, {}, now); }

  [[nodiscard]] bool IsBroken(const std::string& rule) const {
    return ledger.Broken().size() == 1 &&
           ledger.Broken().front().starts_with(rule);
  }

  core::Time now{std::chrono::seconds(100)};
  soak::View view;
  soak::Ledger ledger;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(soak_ledger, LedgerFixture)

BOOST_AUTO_TEST_CASE(a_served_request_breaks_nothing) {
  Send("a");
  Run("a");
  End("a", 200, soak::BodyOf("a", "/book/1"));
  ledger.CheckTotals(now, now);
  BOOST_TEST(ledger.Broken().empty());
}

BOOST_AUTO_TEST_CASE(a_second_run_is_seen) {
  Send("a");
  Run("a");
  Run("a");
  BOOST_TEST(IsBroken("TWICE"));
}

BOOST_AUTO_TEST_CASE(a_false_refusal_is_seen) {
  Send("a");
  Run("a");
  End("a", 503, "");
  BOOST_TEST(IsBroken("REFUSED"));
}

BOOST_AUTO_TEST_CASE(a_run_after_its_refusal_is_seen) {
  Send("a");
  End("a", 429, "");
  Run("a");
  BOOST_TEST(IsBroken("REFUSED"));
}

BOOST_AUTO_TEST_CASE(part_of_an_answer_is_seen) {
  Send("a");
  Run("a");
  End("a", 200, "a");
  BOOST_TEST(IsBroken("MIXED"));
}

BOOST_AUTO_TEST_CASE(a_request_that_nobody_sent_is_seen) {
  Run("b");
  BOOST_TEST(IsBroken("UNASKED"));
}

BOOST_AUTO_TEST_CASE(another_service_is_seen) {
  Send("a");
  Run("a", "pay");
  BOOST_TEST(IsBroken("CONFIG"));
}

BOOST_AUTO_TEST_CASE(an_old_version_is_seen_after_its_time_only) {
  Configure(2, "pay");
  now += milliseconds(1900);
  Send("a");
  Run("a");
  BOOST_TEST(ledger.Broken().empty());
  now += milliseconds(200);
  Send("b");
  Run("b");
  BOOST_TEST(IsBroken("CONFIG"));
}

BOOST_AUTO_TEST_CASE(an_old_version_is_excused_while_the_path_is_cut) {
  Configure(2, "pay");
  now += std::chrono::seconds(5);
  view.store_paths[0].Touch(now);
  Send("a");
  Run("a");
  BOOST_TEST(ledger.Broken().empty());
}

BOOST_AUTO_TEST_CASE(work_for_a_server_that_left_is_seen) {
  ledger.NoteLeaving("s1", now);
  now += milliseconds(2100);
  Send("a");
  Run("a");
  BOOST_TEST(IsBroken("DRAIN"));
}

BOOST_AUTO_TEST_CASE(too_much_time_is_seen) {
  Send("a");
  now += milliseconds(800);
  Run("a");
  BOOST_TEST(IsBroken("BUDGET"));
}

BOOST_AUTO_TEST_CASE(a_request_cut_by_a_planned_stop_is_seen) {
  view.stopping[0] = now;
  Send("a");
  Run("a");
  Lose("a");
  BOOST_TEST(IsBroken("LOST"));
}

BOOST_AUTO_TEST_CASE(requests_not_served_after_the_faults_are_seen) {
  const core::Time healed = now;
  now += std::chrono::seconds(16);
  Send("a");
  End("a", 502, "");
  ledger.CheckTotals(healed, now);
  BOOST_TEST(IsBroken("RECOVER"));
}

BOOST_AUTO_TEST_CASE(a_refusal_by_a_known_route_is_seen) {
  Send("a");
  End("a", 404, "");
  BOOST_TEST(IsBroken("DENIED"));
}

BOOST_AUTO_TEST_CASE(a_run_after_an_announced_leaving_is_seen) {
  Send("a");
  Run("a");
  HttpCallResult result;
  result.end = AttemptEnd::kAnswered;
  result.answer = {200,
                   {{soak::Names().signature, soak::SignatureOf("a")},
                    {soak::Names().leaving, "1"}},
                   soak::BodyOf("a", "/book/1")};
  ledger.NoteEnd("a", result, now);
  now += milliseconds(1900);
  Send("b");
  Run("b");
  BOOST_TEST(ledger.Broken().empty());
  now += milliseconds(200);
  Send("c");
  Run("c");
  BOOST_TEST(IsBroken("DRAIN"));
}

BOOST_AUTO_TEST_CASE(a_later_start_of_an_announced_server_may_run) {
  Send("a");
  Run("a");
  HttpCallResult result;
  result.end = AttemptEnd::kAnswered;
  result.answer = {500, {{soak::Names().leaving, "1"}}, ""};
  ledger.NoteEnd("a", result, now);
  ledger.NoteStart("s1");
  now += milliseconds(3000);
  Send("b");
  Run("b");
  BOOST_TEST(ledger.Broken().empty());
}

BOOST_AUTO_TEST_CASE(more_than_two_arrivals_in_a_pause_are_seen) {
  const auto refuse = [&](const std::string& id, milliseconds pause) {
    Send(id);
    ledger.NoteRefused(
        {"POST", "/book/1", {{soak::Names().request_id, id}}, id}, "s1", pause,
        now);
  };
  refuse("a", milliseconds(2000));
  refuse("b", milliseconds(2000));
  now += milliseconds(600);
  refuse("c", milliseconds(2000));
  refuse("d", milliseconds(0));
  BOOST_TEST(ledger.Broken().empty());
  Send("e");
  Run("e");
  BOOST_TEST(IsBroken("BUDGET"));
}

BOOST_AUTO_TEST_CASE(too_many_repeats_are_seen) {
  for (int i = 0; i < 100; ++i) {
    soak::Attempt attempt;
    attempt.prefix = "/book/";
    attempt.http = {"POST", "/book/1", {}, std::to_string(i)};
    attempt.repeatable = true;
    attempt.sent = now;
    attempt.left = milliseconds(1500);
    ledger.NoteSent(std::to_string(i), attempt);
    Run(std::to_string(i));
    Run(std::to_string(i));
  }
  BOOST_TEST(ledger.Broken().empty());
  ledger.CheckTotals(now, now);
  BOOST_TEST(ledger.Broken().empty());
  for (int i = 0; i < 2; ++i) {
    Run(std::to_string(i));
  }
  ledger.CheckTotals(now, now);
  BOOST_TEST(ledger.Broken().size() == 1U);
}

// Guards against a soak that counts requests of its own end, at which all
// gateways stop, as a lack of recovery.
BOOST_AUTO_TEST_CASE(ends_after_the_time_of_the_check_do_not_count) {
  const core::Time healed = now - std::chrono::seconds(20);
  Send("a");
  Run("a");
  End("a", 200, soak::BodyOf("a", "/book/1"));
  const core::Time until = now;
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(10);
    Send(std::to_string(i));
    End(std::to_string(i), 503, "");
  }
  ledger.CheckTotals(healed, until);
  BOOST_TEST(ledger.Broken().empty());
  ledger.CheckTotals(healed, now);
  BOOST_TEST(IsBroken("RECOVER"));
}

// Guards against a soak that does not see a server that gets more than it has
// named.
BOOST_AUTO_TEST_CASE(requests_beyond_a_limit_are_seen) {
  LedgerFixture it;
  it.ledger.NoteLimit("s1", 2.0, it.now);
  int number = 0;
  const auto play = [&](int requests, milliseconds gap) {
    for (int i = 0; i < requests; ++i) {
      const std::string id = std::to_string(++number);
      it.Send(id);
      it.Run(id);
      HttpCallResult result;
      result.end = AttemptEnd::kAnswered;
      result.answer = {200,
                       {{soak::Names().signature, soak::SignatureOf(id)},
                        {soak::Names().limit, "2"}},
                       soak::BodyOf(id, "/book/1")};
      it.ledger.NoteEnd(id, result, it.now);
      it.now += gap;
    }
  };
  play(10, milliseconds(500));
  BOOST_TEST(it.ledger.Broken().empty());
  play(17, milliseconds(200));
  BOOST_TEST_REQUIRE(!it.ledger.Broken().empty());
  BOOST_TEST(it.ledger.Broken().front().starts_with("LIMIT"));
}

BOOST_AUTO_TEST_SUITE_END()
