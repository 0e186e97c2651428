#include "platform/topic_consumer.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/store_protocol.h"

namespace core = bambootack::core;
namespace platform = bambootack::platform;
using std::chrono::milliseconds;

namespace {

const platform::Backoff kBackoff{milliseconds(150), milliseconds(1200)};

core::HttpAnswer Page(const std::string& body) { return {200, {}, body}; }

/// "eA==" is "x" in base64.
std::string Newest(const std::string& keys, std::uint64_t end, bool more) {
  std::string items;
  for (const char key : keys) {
    items += items.empty() ? "" : ",";
    items +=
        std::string(R"({"key":")") + key + R"(","value":"eA==","offset":1})";
  }
  return R"({"items":[)" + items + R"(],"hasMore":)" +
         (more ? "true" : "false") + R"(,"end":)" + std::to_string(end) + "}";
}

std::string Records(std::uint64_t end, const std::string& keys) {
  std::string body(16, '\0');
  body[7] = static_cast<char>(end);
  for (const char key : keys) {
    body += std::string("\0\0\0\3\1", 5) + key + "v";
  }
  return body;
}

struct Fixture {
  /// Takes the only page of the newest records.
  void ReadNewest() {
    static_cast<void>(follower.Next(now));
    static_cast<void>(
        follower.Take(Page(Newest("a", 7, false)), now, kBackoff, random));
  }

  /// Tells the follower that its next records were deleted.
  void Expire() {
    static_cast<void>(follower.Next(now));
    static_cast<void>(follower.Take(
        core::HttpAnswer{410, {}, R"({"first":20})"}, now, kBackoff, random));
  }

  core::Time now{core::Duration(5'000'000)};
  core::Random random{1};
  platform::TopicConsumer follower{"keyed.servers",
                                   {milliseconds(900), milliseconds(150)}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(topic_follower, Fixture)

BOOST_AUTO_TEST_CASE(newest_records_come_first_then_those_that_follow) {
  const auto first = follower.Next(now);
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(first->http.target ==
             "/bambootack/log-newest?topic=keyed.servers&part=0");
  BOOST_TEST(!follower.Next(now).has_value());
  BOOST_TEST(
      !follower.Take(Page(Newest("ab", 7, true)), now, kBackoff, random).keys);
  const auto second = follower.Next(now);
  BOOST_TEST(second->http.target.ends_with("&after=b"));
  // The topic grew between the pages: the records since the first are read.
  const auto whole =
      follower.Take(Page(Newest("c", 9, false)), now, kBackoff, random);
  BOOST_TEST(whole.keys->size() == 3U);
  now += milliseconds(150);
  const auto read = follower.Next(now);
  BOOST_TEST(read->http.target.find("from=7&waitMs=900") != std::string::npos);
  const auto change =
      follower.Take(Page(Records(9, "de")), now, kBackoff, random);
  BOOST_TEST(change.records.size() == 2U);
  BOOST_TEST(change.records[0].offset == 7U);
  BOOST_TEST(change.records[1].offset == 8U);
  BOOST_TEST(*follower.Position() == 9U);
}

// Guards against a follower that takes the position that has expired over from
// its own VM, and asks for the same records for ever (soak, seed 301).
BOOST_AUTO_TEST_CASE(an_expired_position_is_not_taken_over_again) {
  ReadNewest();
  now += milliseconds(150);
  Expire();
  follower.Adopt(7);
  const auto call = follower.Next(now);
  BOOST_TEST_REQUIRE(call.has_value());
  BOOST_TEST(call->http.target.find("log-newest") != std::string::npos);
  static_cast<void>(
      follower.Take(Page(Newest("a", 30, false)), now, kBackoff, random));
  BOOST_TEST(*follower.Position() == 30U);
  follower.Adopt(31);
  BOOST_TEST(*follower.Position() == 31U);
}

// Guards against a follower that stays without records that expired unread.
BOOST_AUTO_TEST_CASE(expired_records_lead_to_a_new_start) {
  ReadNewest();
  now += milliseconds(150);
  Expire();
  now += milliseconds(300);
  BOOST_TEST(follower.Next(now)->http.target.find("log-newest") !=
             std::string::npos);
}

// Guards against calls without pause at a store that is down.
BOOST_AUTO_TEST_CASE(failures_are_followed_by_growing_pauses) {
  for (const int status : {0, 503, 429}) {
    static_cast<void>(follower.Next(now));
    const auto answer = status == 0
                            ? std::nullopt
                            : std::optional(core::HttpAnswer{status, {}, ""});
    BOOST_TEST(!follower.Take(answer, now, kBackoff, random).answered);
    BOOST_TEST(!follower.Next(now + milliseconds(74)).has_value());
    now += milliseconds(2000);
  }
}

// Guards against calls of a whole fleet at a store that is down: those who hear
// of its return from others call seldom.
BOOST_AUTO_TEST_CASE(the_first_pause_is_that_of_the_caller) {
  const platform::Backoff seldom{milliseconds(4000), milliseconds(8000)};
  static_cast<void>(follower.Next(now));
  static_cast<void>(follower.Take(std::nullopt, now, seldom, random));
  BOOST_TEST(!follower.Next(now + milliseconds(1999)).has_value());
  BOOST_TEST(follower.Next(now + milliseconds(6000)).has_value());
}

BOOST_AUTO_TEST_CASE(broken_bodies_change_nothing) {
  for (const std::string body :
       {"", "{", "[]", R"({"items":7,"end":1})", R"({"items":[],"end":"x"})"}) {
    static_cast<void>(follower.Next(now));
    const auto change = follower.Take(Page(body), now, kBackoff, random);
    BOOST_TEST(!change.answered, body);
    BOOST_TEST(change.records.empty(), body);
    now += milliseconds(2000);
  }
  BOOST_TEST(!platform::ParseReadPage("short", 0).has_value());
  BOOST_TEST(!platform::ParseReadPage(
                  std::string(16, '\0') + std::string("\0\0\0\x09zz", 6), 0)
                  .has_value());
}

// Guards against freshness that a held read does not give.
BOOST_AUTO_TEST_CASE(a_held_read_confirms_the_time_of_its_end) {
  ReadNewest();
  now += milliseconds(150);
  const core::Time called = now;
  static_cast<void>(follower.Next(now));
  now += milliseconds(905);
  static_cast<void>(follower.Take(Page(Records(7, "")), now, kBackoff, random));
  BOOST_TEST((*follower.Current() == called + milliseconds(900)));
}

// Guards against knowledge that grows too old while records come: each of them
// ended a held read, which confirmed the time of its call only, and all VMs
// read for themselves.
BOOST_AUTO_TEST_CASE(records_shorten_the_next_read) {
  ReadNewest();
  now += milliseconds(150);
  const core::Time called = now;
  static_cast<void>(follower.Next(now));
  now += milliseconds(800);
  static_cast<void>(
      follower.Take(Page(Records(8, "b")), now, kBackoff, random));
  BOOST_TEST((*follower.Current() == called));
  now += milliseconds(150);
  const auto next = follower.Next(now);
  BOOST_TEST(next->http.target.ends_with("&waitMs=150"), next->http.target);
  now += milliseconds(155);
  static_cast<void>(follower.Take(Page(Records(8, "")), now, kBackoff, random));
  BOOST_TEST((*follower.Current() == called + milliseconds(1100)));
}

// Guards against a held read of a VM whose knowledge is old: it would learn
// only at its end whether it is complete.
BOOST_AUTO_TEST_CASE(old_knowledge_is_confirmed_at_once) {
  ReadNewest();
  now += milliseconds(3000);
  BOOST_TEST(follower.Next(now)->http.target.ends_with("&from=7"));
}

// Guards against freshness that a slow page without records does not give: it
// was taken for the end of the held read before it.
BOOST_AUTO_TEST_CASE(a_slow_page_confirms_the_time_of_its_call) {
  ReadNewest();
  now += milliseconds(150);
  Expire();
  now += milliseconds(300);
  const core::Time called = now;
  static_cast<void>(follower.Next(now));
  now += milliseconds(950);
  static_cast<void>(
      follower.Take(Page(Newest("", 20, false)), now, kBackoff, random));
  BOOST_TEST((*follower.Current() == called));
}

BOOST_AUTO_TEST_SUITE_END()
