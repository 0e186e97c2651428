#include "platform/fleet_joiner.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace core = bambootack::core;
namespace platform = bambootack::platform;

namespace {

const std::string kKey(64, 'a');

struct Fixture {
  std::string NextRequestLine() {
    now += std::chrono::seconds(3);
    const auto request = join.NextRequest(now);
    return request ? request->http.method + " " + request->http.target : "none";
  }

  void Answer(int status, const std::string& body) {
    join.OnAnswer(core::HttpAnswer{status, {}, body}, now, random);
  }

  core::Time now{core::Duration(5'000'000)};
  core::Random random{1};
  platform::FleetJoiner join{
      {"10.0.0.1:7000", "west"}, true, [] { return kKey; }};
};

/// The values are the base64 encodings of `kKey` and of "west".
const std::string kKeyItem =
    R"({"key":"key","value":"YWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYW)"
    R"(FhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYWFhYQ==","offset":0})";
const std::string kMemberItem =
    R"({"key":"member/10.0.0.2:7000","value":"d2VzdA==","offset":1})";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_joiner, Fixture)

// Guards against two keys in one fleet: a VM whose append was refused, or whose
// answer was lost, uses the key that is in the topic.
BOOST_AUTO_TEST_CASE(the_key_in_the_topic_is_used) {
  BOOST_TEST(NextRequestLine() ==
             "GET /bambootack/log-newest?topic=keyed.fleet&part=0");
  Answer(200, R"({"items":[],"hasMore":false,"end":0})");
  BOOST_TEST(NextRequestLine() ==
             "POST /bambootack/log-append?topic=keyed.fleet&part=0&asOf=0");
  Answer(412, R"({"end":1})");
  BOOST_TEST(join.FleetKey().empty());
  BOOST_TEST(NextRequestLine() ==
             "GET /bambootack/log-newest?topic=keyed.fleet&part=0");
  Answer(200, R"({"items":[)" + kKeyItem + R"(],"hasMore":false,"end":1})");
  BOOST_TEST(join.FleetKey() == kKey);
  BOOST_TEST(NextRequestLine() ==
             "POST /bambootack/log-append?topic=keyed.fleet&part=0");
  Answer(200, R"({"offset":5,"end":6})");
  BOOST_TEST(*join.StartNumber() == 5U);
  BOOST_TEST(NextRequestLine() ==
             "GET /bambootack/log-newest?topic=keyed.fleet&part=0");
  Answer(200, R"({"items":[)" + kKeyItem + "," + kMemberItem +
                  R"(],"hasMore":false,"end":6})");
  BOOST_TEST(join.IsDone());
  BOOST_TEST(join.Members().contains("10.0.0.2:7000"));
  BOOST_TEST(NextRequestLine() == "none");
}

BOOST_AUTO_TEST_CASE(requests_without_an_answer_are_repeated) {
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(NextRequestLine() != "none");
    join.OnAnswer(std::nullopt, now, random);
    BOOST_TEST(!join.NextRequest(now).has_value());
  }
}

BOOST_AUTO_TEST_CASE(members_with_an_invalid_address_are_skipped) {
  static_cast<void>(NextRequestLine());
  Answer(200,
         R"({"items":[)" + kKeyItem +
             R"(,{"key":"member/nowhere","value":"d2VzdA==","offset":1},)" +
             R"({"key":"member/","value":"d2VzdA==","offset":1},)" +
             R"({"key":7}],"hasMore":false,"end":6})");
  BOOST_TEST(join.Members().empty());
  BOOST_TEST(join.FleetKey() == kKey);
}

BOOST_AUTO_TEST_SUITE_END()
