#include "bambootack/gateway/server_protocol.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using gateway::AttemptOutcome;

namespace {

gateway::HeaderNames Names() {
  return {"Request-Id", "Time-Left-Ms", "Only-Server", "Signature", "Not-Run",
          "Load",       "Leaving",      "Retry-After", "Customer",  "Limit"};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_protocol)

// Guards against answers that are forwarded without proof that a server made
// them for this request, and against proven ones that are not.
BOOST_AUTO_TEST_CASE(answers_are_classified) {
  struct Case {
    std::string name;
    int status;
    core::Headers headers;
    AttemptOutcome outcome;
  };
  const std::vector<Case> cases{
      {"whole",
       200,
       {{"Request-Id", "7"}, {"Signature", "x"}},
       AttemptOutcome::kServed},
      {"no signature", 200, {{"Request-Id", "7"}}, AttemptOutcome::kInvalid},
      {"no id", 200, {{"Signature", "x"}}, AttemptOutcome::kInvalid},
      {"answer to another request",
       200,
       {{"Request-Id", "8"}, {"Signature", "x"}},
       AttemptOutcome::kInvalid},
      {"encoded body",
       200,
       {{"Request-Id", "7"}, {"Signature", "x"}, {"Content-Encoding", "gzip"}},
       AttemptOutcome::kInvalid},
      {"own error",
       500,
       {{"Request-Id", "7"}, {"Signature", "x"}},
       AttemptOutcome::kServerError},
      {"refused", 503, {{"Not-Run", "1"}}, AttemptOutcome::kNotExecuted},
      {"refusal of another request",
       503,
       {{"Request-Id", "8"}, {"Not-Run", "1"}},
       AttemptOutcome::kInvalid},
      {"503 without a promise",
       503,
       {{"Request-Id", "7"}},
       AttemptOutcome::kServerError},
      {"429 without a promise",
       429,
       {{"Request-Id", "7"}},
       AttemptOutcome::kServerError},
      {"another server", 421, {}, AttemptOutcome::kWrongServer},
      {"not found",
       404,
       {{"Request-Id", "7"}, {"Signature", "x"}},
       AttemptOutcome::kServed},
  };
  for (const Case& it : cases) {
    core::HttpAnswer answer;
    answer.status = it.status;
    answer.headers = it.headers;
    const AttemptOutcome outcome = gateway::Classify(Names(), "7", answer);
    BOOST_TEST(gateway::kAttemptOutcomeNames.Name(outcome) ==
                   gateway::kAttemptOutcomeNames.Name(it.outcome),
               it.name);
  }
}

// Guards against a caller that chooses the server, and against servers that are
// given more time than is left.
BOOST_AUTO_TEST_CASE(header_fields_of_the_gateway_replace_those_of_the_caller) {
  core::HttpRequest request{"POST",
                            "/visits/1?x=2",
                            {{"Host", "a.example"},
                             {"Request-Id", "7"},
                             {"Time-Left-Ms", "900"},
                             {"Only-Server", "mine"},
                             {"Connection", "X-Hop"},
                             {"X-Hop", "1"},
                             {"X-Kept", "2"}},
                            "body"};
  const core::HttpRequest sent = gateway::ToServerRequest(
      Names(), request, "s1", std::chrono::milliseconds(450), std::nullopt);
  BOOST_TEST(sent.method == "POST");
  BOOST_TEST(sent.target == "/visits/1?x=2");
  BOOST_TEST(sent.body == "body");
  BOOST_TEST(*core::FindHeader(sent.headers, "Time-Left-Ms") == "450");
  BOOST_TEST(*core::FindHeader(sent.headers, "Only-Server") == "s1");
  BOOST_TEST(*core::FindHeader(sent.headers, "Request-Id") == "7");
  BOOST_TEST(*core::FindHeader(sent.headers, "Host") == "a.example");
  BOOST_TEST(core::FindHeader(sent.headers, "X-Kept").has_value());
  BOOST_TEST(!core::FindHeader(sent.headers, "X-Hop").has_value());
}

// Guards against a server that learns an API key, or that takes a customer from
// what the caller claims.
BOOST_AUTO_TEST_CASE(servers_learn_the_customer_and_not_its_key) {
  const core::HttpRequest request{"GET",
                                  "/visits/1",
                                  {{"Host", "a.example"},
                                   {"authorization", "Bearer k1"},
                                   {"customer", "forged"}},
                                  ""};
  const auto send = [&](std::optional<std::string_view> customer) {
    return gateway::ToServerRequest(Names(), request, "s1",
                                    std::chrono::milliseconds(450), customer)
        .headers;
  };
  const core::Headers known = send("yard");
  BOOST_TEST(!core::FindHeader(known, "Authorization").has_value());
  BOOST_TEST(core::FindHeader(known, "Customer").value_or("") == "yard");
  BOOST_TEST(std::count_if(known.begin(), known.end(), [](const auto& it) {
               return it.value == "forged";
             }) == 0);
  const core::Headers exempt = send("");
  BOOST_TEST(!core::FindHeader(exempt, "Authorization").has_value());
  BOOST_TEST(!core::FindHeader(exempt, "Customer").has_value());
  const core::Headers without_customers = send(std::nullopt);
  BOOST_TEST(core::FindHeader(without_customers, "Authorization").has_value());
  BOOST_TEST(core::FindHeader(without_customers, "Customer").value_or("") ==
             "forged");
}

// Guards against a status that ends no exchange and reaches the caller as an
// answer.
BOOST_AUTO_TEST_CASE(answers_without_a_final_status_are_invalid) {
  for (const int status : {-1, 0, 1, 99, 100, 103, 199, 600, 999}) {
    const core::HttpAnswer answer{
        status, {{"Request-Id", "7"}, {"Signature", "x"}}, "body"};
    BOOST_TEST(
        (gateway::Classify(Names(), "7", answer) == AttemptOutcome::kInvalid),
        status);
  }
}

// Guards against a pause that ends early or never because its text was taken
// for another number.
BOOST_AUTO_TEST_CASE(pauses_are_read_from_refusals) {
  using std::chrono::milliseconds;
  struct Case {
    int status;
    std::string text;
    std::optional<core::Duration> pause;
  };
  const std::vector<Case> cases{
      {503, "2", milliseconds(2000)},
      {503, "0.25", milliseconds(250)},
      {503, "0", milliseconds(0)},
      {503, "99999999999", std::chrono::hours(1)},
      {503, "-1", std::nullopt},
      {503, "nan", std::nullopt},
      {503, "inf", std::nullopt},
      {503, "1e3", std::nullopt},
      {503, "", std::nullopt},
      {503, "Sat, 05 Dec 2026 00:00:00 GMT", std::nullopt},
      {429, "2", std::nullopt},
      {200, "2", std::nullopt},
  };
  for (const Case& it : cases) {
    const gateway::ServerNotice notice = gateway::ReadServerNotice(
        Names(), {it.status, {{"Retry-After", it.text}}, ""});
    BOOST_TEST((notice.pause == it.pause), it.status << " " << it.text);
    BOOST_TEST(
        notice.malformed_pause.has_value() == (it.status == 503 && !it.pause),
        it.status << " " << it.text);
  }
  BOOST_TEST(gateway::ReadServerNotice(Names(), {200, {{"Leaving", "1"}}, ""})
                 .leaving);
  BOOST_TEST(!gateway::ReadServerNotice(Names(), {200, {{"Leaving", "0"}}, ""})
                  .leaving);
}

// Guards against a limit that is overlooked, or taken for another number, and
// against text that is taken for a limit.
BOOST_AUTO_TEST_CASE(limits_are_read_from_answers) {
  struct Case {
    std::vector<std::string> fields;
    std::optional<double> limit;
    bool malformed;
  };
  const std::vector<Case> cases{
      {{}, std::nullopt, false},
      {{"3"}, 3.0, false},
      {{"2.7"}, 2.7, false},
      {{"0.25"}, 0.25, false},
      {{"0"}, 0.0, false},
      {{"-1"}, std::nullopt, true},
      {{"nan"}, std::nullopt, true},
      {{"inf"}, std::nullopt, true},
      {{""}, std::nullopt, true},
      {{"1e3"}, std::nullopt, true},
      {{"2 3"}, std::nullopt, true},
      {{"5", "2"}, 2.0, false},
      {{"nan", "2"}, 2.0, true},
      {{"2", "-1"}, 2.0, true},
      {{"5, 2"}, 2.0, false},
      {{"5,"}, 5.0, true},
      {{"-1", "nan"}, std::nullopt, true},
  };
  for (const Case& it : cases) {
    core::HttpAnswer answer{200, {}, ""};
    std::string text;
    for (const std::string& field : it.fields) {
      answer.headers.push_back({"limit", field});
      text += "[" + field + "]";
    }
    const auto notice = gateway::ReadServerNotice(Names(), answer);
    BOOST_TEST((notice.limit == it.limit), text);
    BOOST_TEST(notice.malformed_limit.has_value() == it.malformed, text);
  }
}

// Guards against a limit that ends because a refusal or a malformed field does
// not name it.
BOOST_AUTO_TEST_CASE(only_executed_requests_tell_that_there_is_no_limit) {
  const gateway::ServerNotice none;
  for (const AttemptOutcome it :
       {AttemptOutcome::kServed, AttemptOutcome::kServerError}) {
    BOOST_TEST((gateway::LimitReportOf(none, it) == gateway::LimitReport{}));
  }
  for (const AttemptOutcome it :
       {AttemptOutcome::kNotExecuted, AttemptOutcome::kWrongServer}) {
    BOOST_TEST(!gateway::LimitReportOf(none, it));
  }
  gateway::ServerNotice malformed;
  malformed.malformed_limit = "nan";
  BOOST_TEST(!gateway::LimitReportOf(malformed, AttemptOutcome::kServed));
  gateway::ServerNotice named;
  named.limit = 2.0;
  BOOST_TEST((gateway::LimitReportOf(named, AttemptOutcome::kNotExecuted) ==
              gateway::LimitReport{2.0}));
}

BOOST_AUTO_TEST_CASE(malformed_numbers_are_ignored) {
  for (const std::string text :
       {"", "x", "-1", "1.5", "99999999999999999999"}) {
    BOOST_TEST(!gateway::RemainingTime(Names(), {{"Time-Left-Ms", text}}),
               text);
  }
  for (const std::string text : {"", "1", "1,2", "a,b,c", "-1,0,3"}) {
    BOOST_TEST(!gateway::ReportedLoad(Names(), {{"Load", text}}), text);
  }
  const auto load = gateway::ReportedLoad(Names(), {{"Load", "3,1,8"}});
  BOOST_TEST_REQUIRE(load.has_value());
  BOOST_TEST(load->executing == 3);
  BOOST_TEST(load->queued == 1);
}

BOOST_AUTO_TEST_SUITE_END()
