#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/gateway/gateway.h"
#include "gateway_fixture.h"

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using bambootack::customers::KeyStateQuery;
using bambootack::customers::KeyStateReply;
using gateway::GatewayFixture;

namespace {

/// Gateway with a customer and with one route that needs no key.
struct CustomerFixture : GatewayFixture {
  CustomerFixture() : CustomerFixture(Options(gateway::kSelf)) {}
  explicit CustomerFixture(gateway::GatewayOptions options)
      : GatewayFixture(std::move(options)) {
    ApplyKeys(1, {"k1"});
  }

  void ApplyKeys(std::uint64_t version, std::vector<std::string> keys) {
    gateway::GatewayConfig config;
    config.version = version;
    config.services = {"desk"};
    config.routes = {Route("book", "/book/", false),
                     Route("open", "/open/", false)};
    config.routes[1].exempt = true;
    config.requires_keys = true;
    config.customers = {{"yard", std::move(keys), 1, 0.0, 0.0}};
    gateway.Configure(config, now);
    gateway.ApplyRegistry(now);
    static_cast<void>(gateway.TakeActions());
  }

  void SendWithKey(const std::string& path, const std::string& key) {
    core::HttpRequest http{"POST",
                           path,
                           {{"Host", "a.example"},
                            {"Request-Id", "9"},
                            {"Time-Left-Ms", "1200"},
                            {"Customer", "forged"}},
                           "body"};
    if (!key.empty()) {
      http.headers.push_back({"Authorization", "Bearer " + key});
    }
    gateway.OnRequest(core::CallerId{++last_caller}, std::move(http), now);
    CollectActions();
  }

  std::uint64_t last_caller = 0;
};

/// Gateway whose API keys have to be confirmed.
struct ConfirmedKeysFixture : CustomerFixture {
  ConfirmedKeysFixture() : CustomerFixture(OptionsWithWithdrawal()) {}

  static gateway::GatewayOptions OptionsWithWithdrawal() {
    gateway::GatewayOptions options = Options(gateway::kSelf);
    options.key_withdrawal_time = std::chrono::seconds(5);
    return options;
  }

  /// Sends the queries that are due and returns the latest one.
  std::optional<KeyStateQuery> CollectQuery() {
    gateway.OnTimer(now);
    CollectActions();
    std::optional<KeyStateQuery> query;
    for (const auto& it : messages) {
      if (const auto* found = std::get_if<KeyStateQuery>(&it.message)) {
        query = *found;
      }
    }
    return query;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(customers)

// Guards against requests that run without a key, and against servers that
// learn a key or a forged customer.
BOOST_FIXTURE_TEST_CASE(a_request_runs_under_the_customer_of_its_key,
                        CustomerFixture) {
  SendWithKey("/book/1", "k1");
  BOOST_TEST_REQUIRE(attempts.size() == 1U);
  const core::Headers& sent = attempts.front().http.headers;
  BOOST_TEST(core::FindHeader(sent, "Customer").value_or("") == "yard");
  BOOST_TEST(!core::FindHeader(sent, "Authorization").has_value());
  for (const std::string key : {"", "k2"}) {
    SendWithKey("/book/1", key);
    BOOST_TEST(attempts.empty(), key);
    BOOST_TEST(Status() == 401, key);
  }
}

BOOST_FIXTURE_TEST_CASE(an_exempt_route_needs_no_key, CustomerFixture) {
  for (const std::string key : {"", "k1", "k2"}) {
    SendWithKey("/open/1", key);
    BOOST_TEST_REQUIRE(attempts.size() == 1U, key);
    const core::Headers& sent = attempts.front().http.headers;
    BOOST_TEST(!core::FindHeader(sent, "Customer").has_value(), key);
    BOOST_TEST(!core::FindHeader(sent, "Authorization").has_value(), key);
  }
}

// Guards against 401 for a key that was added a moment ago, from a VM that has
// not learned of it.
BOOST_FIXTURE_TEST_CASE(a_vm_with_stale_state_rejects_no_key_for_good,
                        CustomerFixture) {
  now += std::chrono::seconds(5);
  SendWithKey("/book/1", "k2");
  BOOST_TEST(Status() == 503);
  BOOST_TEST(core::FindHeader(answers.front().http.headers, "Retry-After")
                 .has_value());
}

// Guards against a retry under a key that was withdrawn meanwhile.
BOOST_FIXTURE_TEST_CASE(a_retry_needs_a_key_that_is_still_valid,
                        CustomerFixture) {
  SendWithKey("/book/1", "k1");
  const std::uint64_t attempt = attempts.front().id;
  ApplyKeys(2, {"k2"});
  AnswerAttempt(attempt, 503, {{"Request-Id", "9"}, {"Not-Run", "1"}});
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 401);
}

// Guards against a withdrawn key that runs on a VM which is cut off from the
// store and from all peers.
BOOST_FIXTURE_TEST_CASE(keys_are_refused_without_a_recent_confirmation,
                        ConfirmedKeysFixture) {
  gateway.RecordConfigRead(now);
  SendWithKey("/book/1", "k1");
  BOOST_TEST(attempts.size() == 1U);
  now += std::chrono::milliseconds(5001);
  SendWithKey("/book/1", "k1");
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 503);
  SendWithKey("/open/1", "");
  BOOST_TEST(attempts.size() == 1U);
  gateway.RecordConfigRead(now);
  SendWithKey("/book/1", "k1");
  BOOST_TEST(attempts.size() == 1U);
}

// Guards against a request that waits for a slot, or in a paused process, while
// its key is withdrawn.
BOOST_FIXTURE_TEST_CASE(keys_are_confirmed_again_before_an_attempt,
                        ConfirmedKeysFixture) {
  gateway.RecordConfigRead(now - std::chrono::milliseconds(4500));
  SendWithKey("/book/1", "k1");
  const std::uint64_t attempt = attempts.front().id;
  now += std::chrono::milliseconds(600);
  AnswerAttempt(attempt, 503, {{"Request-Id", "9"}, {"Not-Run", "1"}});
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 503);
}

// Guards against a VM that leaves service because the store turns it away
// although its peers can confirm the keys.
BOOST_FIXTURE_TEST_CASE(peers_confirm_keys, ConfirmedKeysFixture) {
  AddPeers();
  SendWithKey("/book/1", "k1");
  BOOST_TEST(attempts.empty());
  BOOST_TEST(answers.empty());
  const auto query = CollectQuery();
  BOOST_TEST_REQUIRE(query.has_value());
  gateway.OnMessage(core::VmId{2},
                    KeyStateReply{query->number, 1, std::chrono::seconds(1)},
                    now);
  Advance(std::chrono::milliseconds(1));
  const bool asks_for_slot =
      std::any_of(messages.begin(), messages.end(), [](const auto& it) {
        return std::holds_alternative<gateway::SlotRequest>(it.message);
      });
  BOOST_TEST((attempts.size() == 1U || asks_for_slot));
}

// Guards against messages of a feature that the deployment does not use.
BOOST_FIXTURE_TEST_CASE(nothing_is_asked_where_keys_need_no_confirmation,
                        CustomerFixture) {
  AddPeers();
  for (int i = 0; i < 100; ++i) {
    Advance(std::chrono::milliseconds(50));
    BOOST_TEST(
        std::none_of(messages.begin(), messages.end(), [](const auto& it) {
          return std::holds_alternative<KeyStateQuery>(it.message);
        }));
  }
}

BOOST_AUTO_TEST_SUITE_END()
