#include "platform/topic_consumer.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/store_protocol.h"

namespace core = bambootack::core;
namespace platform = bambootack::platform;
using std::chrono::milliseconds;

namespace {

const platform::Backoff kBackoff{milliseconds(150), milliseconds(1200)};

core::HttpAnswer Answer(const std::string& body) { return {200, {}, body}; }

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
  /// Reads a topic whose newest records fit in one page.
  void ReadOnlyPage() {
    static_cast<void>(consumer.NextRequest(now));
    static_cast<void>(consumer.OnAnswer(Answer(Newest("a", 7, false)), now,
                                        kBackoff, random));
  }

  /// Answers the next read with 410: its records were deleted.
  void Expire() {
    static_cast<void>(consumer.NextRequest(now));
    static_cast<void>(consumer.OnAnswer(
        core::HttpAnswer{410, {}, R"({"first":20})"}, now, kBackoff, random));
  }

  core::Time now{core::Duration(5'000'000)};
  core::Random random{1};
  platform::TopicConsumer consumer{
      "keyed.servers",
      {milliseconds(900), milliseconds(150), milliseconds(1100)}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(topic_consumer, Fixture)

BOOST_AUTO_TEST_CASE(newest_records_come_first_then_those_that_follow) {
  const auto first = consumer.NextRequest(now);
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST(first->http.target ==
             "/bambootack/log-newest?topic=keyed.servers&part=0");
  BOOST_TEST(!consumer.NextRequest(now).has_value());
  BOOST_TEST(
      !consumer.OnAnswer(Answer(Newest("ab", 7, true)), now, kBackoff, random)
           .all_keys);
  const auto second = consumer.NextRequest(now);
  BOOST_TEST(second->http.target.ends_with("&after=b"));
  // The topic grew between the pages: records appended since the first page are
  // read next.
  const auto last_page =
      consumer.OnAnswer(Answer(Newest("c", 9, false)), now, kBackoff, random);
  BOOST_TEST(last_page.all_keys->size() == 3U);
  now += milliseconds(150);
  const auto read = consumer.NextRequest(now);
  BOOST_TEST(read->http.target.find("from=7&waitMs=900") != std::string::npos);
  const auto update =
      consumer.OnAnswer(Answer(Records(9, "de")), now, kBackoff, random);
  BOOST_TEST(update.records.size() == 2U);
  BOOST_TEST(update.records[0].offset == 7U);
  BOOST_TEST(update.records[1].offset == 8U);
  BOOST_TEST(*consumer.Position() == 9U);
}

// Guards against an endless loop of expired reads: `AdvanceTo` restored the
// expired position, which the local VM still held as the position of its state,
// and the consumer requested the deleted records again.
BOOST_AUTO_TEST_CASE(an_expired_position_is_not_restored_by_the_local_vm) {
  ReadOnlyPage();
  now += milliseconds(150);
  Expire();
  consumer.AdvanceTo(7);
  const auto request = consumer.NextRequest(now);
  BOOST_TEST_REQUIRE(request.has_value());
  BOOST_TEST(request->http.target.find("log-newest") != std::string::npos);
  static_cast<void>(
      consumer.OnAnswer(Answer(Newest("a", 30, false)), now, kBackoff, random));
  BOOST_TEST(*consumer.Position() == 30U);
  consumer.AdvanceTo(31);
  BOOST_TEST(*consumer.Position() == 31U);
}

// Guards against records that are missed for good because they expired before
// they were read.
BOOST_AUTO_TEST_CASE(expired_records_cause_a_full_read) {
  ReadOnlyPage();
  now += milliseconds(150);
  Expire();
  now += milliseconds(300);
  BOOST_TEST(consumer.NextRequest(now)->http.target.find("log-newest") !=
             std::string::npos);
}

// Guards against a store that is down receiving requests without pause.
BOOST_AUTO_TEST_CASE(failed_requests_are_followed_by_pauses) {
  for (const int status : {0, 503, 429}) {
    static_cast<void>(consumer.NextRequest(now));
    const auto answer = status == 0
                            ? std::nullopt
                            : std::optional(core::HttpAnswer{status, {}, ""});
    BOOST_TEST(!consumer.OnAnswer(answer, now, kBackoff, random).succeeded);
    BOOST_TEST(!consumer.NextRequest(now + milliseconds(74)).has_value());
    now += milliseconds(2000);
  }
}

// Guards against a whole fleet sending requests to a store that is down: VMs
// that are told by peers when it is available again use a longer backoff.
BOOST_AUTO_TEST_CASE(the_first_pause_is_the_given_backoff) {
  const platform::Backoff long_backoff{milliseconds(4000), milliseconds(8000)};
  static_cast<void>(consumer.NextRequest(now));
  static_cast<void>(consumer.OnAnswer(std::nullopt, now, long_backoff, random));
  BOOST_TEST(!consumer.NextRequest(now + milliseconds(1999)).has_value());
  BOOST_TEST(consumer.NextRequest(now + milliseconds(6000)).has_value());
}

BOOST_AUTO_TEST_CASE(malformed_bodies_change_nothing) {
  for (const std::string body :
       {"", "{", "[]", R"({"items":7,"end":1})", R"({"items":[],"end":"x"})"}) {
    static_cast<void>(consumer.NextRequest(now));
    const auto update = consumer.OnAnswer(Answer(body), now, kBackoff, random);
    BOOST_TEST(!update.succeeded, body);
    BOOST_TEST(update.records.empty(), body);
    now += milliseconds(2000);
  }
  BOOST_TEST(!platform::ParseReadPage("short", 0).has_value());
  BOOST_TEST(!platform::ParseReadPage(
                  std::string(16, '\0') + std::string("\0\0\0\x09zz", 6), 0)
                  .has_value());
}

// Guards against state that counts as more recent than the held read confirms.
BOOST_AUTO_TEST_CASE(a_held_read_confirms_the_time_of_its_end) {
  ReadOnlyPage();
  now += milliseconds(150);
  const core::Time requested = now;
  static_cast<void>(consumer.NextRequest(now));
  now += milliseconds(905);
  static_cast<void>(
      consumer.OnAnswer(Answer(Records(7, "")), now, kBackoff, random));
  BOOST_TEST((*consumer.ConfirmedAt() == requested + milliseconds(900)));
}

// Guards against state that becomes stale while records arrive, so that all VMs
// read the store themselves: each record ends a held read, which then confirms
// the state only as of its request.
BOOST_AUTO_TEST_CASE(records_shorten_the_next_read) {
  ReadOnlyPage();
  now += milliseconds(150);
  const core::Time requested = now;
  static_cast<void>(consumer.NextRequest(now));
  now += milliseconds(800);
  static_cast<void>(
      consumer.OnAnswer(Answer(Records(8, "b")), now, kBackoff, random));
  BOOST_TEST((*consumer.ConfirmedAt() == requested));
  now += milliseconds(150);
  const auto next = consumer.NextRequest(now);
  BOOST_TEST(next->http.target.ends_with("&waitMs=150"), next->http.target);
  now += milliseconds(155);
  static_cast<void>(
      consumer.OnAnswer(Answer(Records(8, "")), now, kBackoff, random));
  BOOST_TEST((*consumer.ConfirmedAt() == requested + milliseconds(1100)));
}

// Guards against a VM with stale state that sends a held read: it would know
// only at the end of the wait whether its state is complete.
BOOST_AUTO_TEST_CASE(stale_state_is_confirmed_without_waiting) {
  ReadOnlyPage();
  now += milliseconds(3000);
  BOOST_TEST(consumer.NextRequest(now)->http.target.ends_with("&from=7"));
}

// Guards against state that counts as more recent than a slow page without
// records confirms: the page was treated as the end of the held read before it.
BOOST_AUTO_TEST_CASE(a_slow_page_confirms_the_time_of_its_request) {
  ReadOnlyPage();
  now += milliseconds(150);
  Expire();
  now += milliseconds(300);
  const core::Time requested = now;
  static_cast<void>(consumer.NextRequest(now));
  now += milliseconds(950);
  static_cast<void>(
      consumer.OnAnswer(Answer(Newest("", 20, false)), now, kBackoff, random));
  BOOST_TEST((*consumer.ConfirmedAt() == requested));
}

BOOST_AUTO_TEST_SUITE_END()
