#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "bambootack/gateway/gateway.h"
#include "gateway_fixture.h"

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using gateway::GatewayFixture;

namespace {

/// Gateway with a customer and with one route that needs no key.
struct CustomerFixture : GatewayFixture {
  CustomerFixture() { ApplyKeys(1, {"k1"}); }

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

BOOST_AUTO_TEST_SUITE_END()
