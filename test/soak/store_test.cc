#include "standin/platform/store.h"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "bambootack/net/http_client.h"
#include "platform/store_protocol.h"

// The stand-in of the store, spoken to through the adapter's own calls.

namespace {

namespace core = bambootack::core;
namespace platform = bambootack::platform;
using bambootack::net::HttpCallResult;
using std::chrono::milliseconds;

const std::string kTopic = "keyed.fleet";

struct StoreFixture {
  StoreFixture() : store(io, "127.0.0.1:0", 1), client(1024 * 1024) {}

  HttpCallResult Call(core::HttpRequest http,
                      core::Duration timeout = std::chrono::seconds(5)) {
    bambootack::net::HttpCall call;
    call.address = "127.0.0.1:" + std::to_string(store.Port());
    call.http = std::move(http);
    call.timeout = timeout;
    std::optional<HttpCallResult> result;
    client.Start(++last_call, std::move(call), [&](HttpCallResult it) {
      asio::post(io, [&, it = std::move(it)]() mutable {
        result = std::move(it);
        io.stop();
      });
    });
    io.restart();
    const auto work = asio::make_work_guard(io);
    io.run();
    return *result;
  }

  int Append(const std::string& key, const std::string& value,
             std::optional<std::uint64_t> only_at = std::nullopt) {
    return Call(platform::BuildAppendRequest(kTopic, {key, value}, only_at))
        .answer.status;
  }

  asio::io_context io;
  standin::Store store;
  bambootack::net::HttpClient client;
  std::uint64_t last_call = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(standin_store, StoreFixture)

BOOST_AUTO_TEST_CASE(records_come_back_as_they_were) {
  BOOST_TEST(Append("a", "1") == 200);
  BOOST_TEST(Append("b", "2") == 200);
  BOOST_TEST(Append("a", "3") == 200);
  const auto newest = platform::ParseNewestRecordsPage(
      Call(platform::BuildNewestRecordsRequest(kTopic, "")).answer.body);
  BOOST_TEST_REQUIRE(newest.has_value());
  BOOST_TEST(newest->end == 3U);
  BOOST_TEST_REQUIRE(newest->records.size() == 2U);
  BOOST_TEST((newest->records[0] == platform::KeyedRecord{"a", "3", 2}));
  const auto read = platform::ParseReadPage(
      Call(platform::BuildReadRequest(kTopic, 1, {})).answer.body, 1);
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(read->count == 2U);
  BOOST_TEST(*read->records[0].value == "2");
}

BOOST_AUTO_TEST_CASE(an_append_under_a_condition_that_fails_adds_nothing) {
  BOOST_TEST(Append("a", "1", 0) == 200);
  BOOST_TEST(Append("b", "2", 0) == 412);
  BOOST_TEST(Append("b", "2", 1) == 200);
}

BOOST_AUTO_TEST_CASE(forgotten_records_are_reported_and_the_newest_stay) {
  BOOST_TEST(Append("a", "1") == 200);
  store.ForgetHistory();
  BOOST_TEST(Call(platform::BuildReadRequest(kTopic, 0, {})).answer.status ==
             410);
  const auto newest = platform::ParseNewestRecordsPage(
      Call(platform::BuildNewestRecordsRequest(kTopic, "")).answer.body);
  BOOST_TEST(newest->records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_held_read_ends_with_the_next_record) {
  asio::steady_timer timer(io, milliseconds(20));
  timer.async_wait([&](std::error_code) { store.Put(kTopic, "a", "1"); });
  const auto read = platform::ParseReadPage(
      Call(platform::BuildReadRequest(kTopic, 0, std::chrono::seconds(4)))
          .answer.body,
      0);
  BOOST_TEST(read->records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(faults_are_those_of_the_pages) {
  store.Faults().down = true;
  BOOST_TEST(Append("a", "1") == 503);
  store.Faults() = {};
  store.Faults().writes_a_second = 0.0;
  BOOST_TEST(Append("a", "1") == 429);
  store.Faults() = {};
  store.Faults().lost = 1.0;
  const auto lost = Call(platform::BuildAppendRequest(kTopic, {"a", "1"}, {}),
                         milliseconds(300));
  BOOST_TEST((lost.end == bambootack::node::AttemptEnd::kTimedOut));
  store.Faults() = {};
  const auto newest = platform::ParseNewestRecordsPage(
      Call(platform::BuildNewestRecordsRequest(kTopic, "")).answer.body);
  BOOST_TEST(newest->records.size() == 1U);
  BOOST_TEST(Call(platform::BuildAppendRequest("keyed.op", {"config", "x"}, {}))
                 .answer.status == 403);
}

BOOST_AUTO_TEST_SUITE_END()
