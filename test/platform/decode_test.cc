#include "platform/decode.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/replace.h"

namespace gateway = bambootack::gateway;
namespace platform = bambootack::platform;

using platform::Replace;

namespace {

constexpr const char* kConfig = R"({"version":"r12",
 "routes":{"columns":["name","host","pathPrefix","routeType","timeoutMs",
   "targetLatencyMs","priority","service","maxAttempts","trafficSplit"],
  "rows":[["book","a.example","/book/","non_idempotent",1500,600,1,"desk",2,null],
   ["read","a.example","/read/","safe",1200,600,0,null,3,
    [{"service":"desk","weight":90},{"service":"pay","weight":10}]]]},
 "services":{"columns":["name","healthPath","maxConns","protocol","tls"],
  "rows":[["desk","/health",477,"h1",false],["pay","/health",477,"h1",false]]},
 "limits":{"maxHeaderBytes":16384},"unknown":[1,2]})";

const std::string kServer =
    R"({"service":"desk","address":"10.0.0.9:8080","zone":"west","version":"v1",)"
    R"("slots":3,"state":"ready","warmupLeftMs":250,"seq":4,"born":1700000000000})";

}  // namespace

BOOST_AUTO_TEST_SUITE(decode)

BOOST_AUTO_TEST_CASE(a_configuration_is_decoded_completely) {
  const auto decoded = platform::DecodeConfig(kConfig);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->unknown_route_types.empty());
  const gateway::GatewayConfig* config = &decoded->config;
  BOOST_TEST(config->version == 12U);
  BOOST_TEST_REQUIRE(config->routes.size() == 2U);
  const auto& book = config->routes[0];
  BOOST_TEST(!book.repeatable);
  BOOST_TEST(book.timeout.count() == 1'500'000);
  BOOST_TEST(book.latency_target.count() == 600'000);
  BOOST_TEST(book.max_attempts == 2);
  BOOST_TEST(book.weighted_services.size() == 1U);
  const auto& read = config->routes[1];
  BOOST_TEST(read.repeatable);
  BOOST_TEST(read.priority == 0);
  BOOST_TEST_REQUIRE(read.weighted_services.size() == 2U);
  BOOST_TEST(read.weighted_services[1].service == "pay");
  BOOST_TEST(read.weighted_services[1].weight == 10.0);
  BOOST_TEST(config->services.size() == 2U);
}

// Guards against downloads that are never sent again after a lost answer, and
// against a type of a later version that is executed twice.
BOOST_AUTO_TEST_CASE(
    the_type_of_a_route_tells_whether_requests_are_repeatable) {
  struct Case {
    std::string type;
    bool repeatable = false;
    bool known = true;
  };
  const std::vector<Case> cases{{"safe", true, true},
                                {"download", true, true},
                                {"non_idempotent", false, true},
                                {"Safe", false, false},
                                {"stream", false, false}};
  for (const Case& it : cases) {
    const auto decoded = platform::DecodeConfig(
        Replace(kConfig, "\"safe\"", "\"" + it.type + "\""));
    BOOST_TEST_REQUIRE(decoded.has_value(), it.type);
    BOOST_TEST(decoded->config.routes[1].repeatable == it.repeatable, it.type);
    BOOST_TEST(decoded->unknown_route_types.empty() == it.known, it.type);
  }
}

// Guards against customers that lose their service because of the row of
// another one, and against keys that two customers hold.
BOOST_AUTO_TEST_CASE(malformed_customers_are_ignored_one_by_one) {
  const std::string text = Replace(
      kConfig, "\"unknown\":[1,2]",
      R"("tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
      "rows":[["yard",["k1","k2"],1,242,100.5],["fish",["k3"],null,null,0],
        ["cold",["k1"],0,1,1],["bad",[7],0,1,1],[null,["k4"],0,1,1],
        ["neg",["k5"],0,-1,1],["none",null,0,1,1]]})");
  const auto decoded = platform::DecodeConfig(text);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->config.requires_keys);
  BOOST_TEST_REQUIRE(decoded->config.customers.size() == 2U);
  const auto& yard = decoded->config.customers[0];
  BOOST_TEST(yard.name == "yard");
  BOOST_TEST(yard.keys.size() == 2U);
  BOOST_TEST(yard.rank == 1);
  BOOST_TEST(yard.rate == 242.0);
  BOOST_TEST(yard.burst == 100.5);
  BOOST_TEST(decoded->config.customers[1].rate == 0.0);
  const std::vector<std::string> ignored{"cold", "bad", "5", "neg", "none"};
  BOOST_TEST(decoded->ignored_customers == ignored,
             boost::test_tools::per_element());
  BOOST_TEST(!platform::DecodeConfig(kConfig)->config.requires_keys);
}

BOOST_AUTO_TEST_CASE(limits_on_callers_are_decoded_if_all_are_there) {
  BOOST_TEST(!platform::DecodeConfig(kConfig)->config.caller_limits);
  const auto decoded = platform::DecodeConfig(
      Replace(kConfig, R"("limits":{"maxHeaderBytes":16384})",
              R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
                "headerTimeoutMs":3000,"idleTimeoutMs":15000})"));
  BOOST_TEST_REQUIRE(decoded->config.caller_limits.has_value());
  BOOST_TEST(decoded->config.caller_limits->header_bytes == 16384U);
  BOOST_TEST(decoded->config.caller_limits->body_bytes == 67108864U);
  BOOST_TEST(decoded->config.caller_limits->header_timeout.count() ==
             3'000'000);
  BOOST_TEST(decoded->config.caller_limits->idle_timeout.count() == 15'000'000);
}

// Guards against a configuration that is applied in part.
BOOST_AUTO_TEST_CASE(a_configuration_with_an_invalid_part_is_rejected) {
  const std::string text = kConfig;
  const std::vector<std::string> malformed{
      "",
      "[]",
      "{",
      Replace(text, "\"r12\"", "12"),
      Replace(text, "\"r12\"", "\"x12\""),
      Replace(text, "1500", "\"1500\""),
      Replace(text, "1500", "-1"),
      Replace(text, "\"/book/\"", "null"),
      Replace(text, "\"weight\":10", "\"weight\":-10"),
      Replace(text, "\"columns\"", "\"other\""),
  };
  for (const std::string& input : malformed) {
    BOOST_TEST(!platform::DecodeConfig(input).has_value(), input);
  }
}

BOOST_AUTO_TEST_CASE(a_server_is_decoded) {
  const auto server = platform::DecodeServer("i-1", kServer);
  BOOST_TEST_REQUIRE(server.has_value());
  BOOST_TEST(server->id == "i-1");
  BOOST_TEST(server->address == "10.0.0.9:8080");
  BOOST_TEST(server->failure_domain == "west");
  BOOST_TEST(server->slots == 3);
  BOOST_TEST(!server->draining);
  BOOST_TEST(server->warmup_left.count() == 250'000);
  BOOST_TEST(server->sequence == 4);
  BOOST_TEST(server->started == 1'700'000'000'000);
}

// Guards against records of other writers that add a server to the registry.
BOOST_AUTO_TEST_CASE(malformed_server_records_are_rejected) {
  const std::vector<std::string> malformed{
      "",
      "\xff\xfe",
      "null",
      "{}",
      Replace(kServer, "\"ready\"", "\"busy\""),
      Replace(kServer, "\"ready\"", "7"),
      Replace(kServer, "\"10.0.0.9:8080\"", "\"10.0.0.9\""),
      Replace(kServer, "\"10.0.0.9:8080\"", "\"host:80\""),
      Replace(kServer, "\"10.0.0.9:8080\"", "\"10.0.0.9:0\""),
      Replace(kServer, "\"10.0.0.9:8080\"", "\"10.0.0.9:99999\""),
      Replace(kServer, "\"slots\":3", "\"slots\":\"3\""),
      Replace(kServer, "\"slots\":3", "\"slots\":0"),
      Replace(kServer, "\"seq\":4", "\"seq\":-4"),
      Replace(kServer, "\"seq\":4", "\"seq\":1e300"),
      Replace(kServer, "\"service\"", "\"servce\""),
      Replace(kServer, "1700000000000", "\"now\""),
      kServer.substr(0, 40),
  };
  for (const std::string& input : malformed) {
    BOOST_TEST(!platform::DecodeServer("i-1", input).has_value(), input);
  }
}

BOOST_AUTO_TEST_SUITE_END()
