#include "bambootack/gateway/route_table.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace gateway = bambootack::gateway;

namespace {

gateway::GatewayRoute Route(std::string id, std::string host,
                            std::string prefix) {
  gateway::GatewayRoute route;
  route.id = std::move(id);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.weighted_services = {{"desk", 1.0}};
  return route;
}

gateway::RouteTable Table() {
  gateway::GatewayConfig config;
  config.version = 3;
  config.routes = {Route("visits", "a.example", "/visits/"),
                   Route("urgent", "a.example", "/visits/urgent/"),
                   Route("root", "b.example", "/")};
  return gateway::RouteTable(config);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(route_table)

// Guards against a request that takes the route of another host or prefix.
BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins) {
  struct Case {
    std::string host;
    std::string path;
    std::string id;  // Empty: no route.
  };
  const std::vector<Case> cases{
      {"a.example", "/visits/7", "visits"},
      {"a.example", "/visits/", "visits"},
      {"A.Example:8080", "/visits/7", "visits"},
      {"a.example", "/visits/urgent/7", "urgent"},
      {"a.example", "/visits/urgent", "visits"},
      {"a.example", "/visits", ""},
      {"a.example", "/visitsx/7", ""},
      {"a.example", "/", ""},
      {"a.example", "", ""},
      {"b.example", "/any/thing", "root"},
      {"c.example", "/visits/7", ""},
  };
  const gateway::RouteTable table = Table();
  for (const Case& it : cases) {
    const gateway::GatewayRoute* found = table.Find(it.host, it.path);
    BOOST_TEST((found == nullptr ? "" : found->id) == it.id,
               it.host << it.path);
  }
}

// Guards against traffic shares that hold only if VMs exchange counts.
BOOST_AUTO_TEST_CASE(services_get_their_weight_and_every_vm_agrees) {
  gateway::GatewayRoute route = Route("r", "a.example", "/");
  route.weighted_services = {{"old", 90.0}, {"new", 10.0}, {"off", 0.0}};
  std::map<std::string, int, std::less<>> counts;
  constexpr int kRequests = 20'000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    const std::string_view service = gateway::ChooseService(route, id);
    BOOST_TEST_REQUIRE(service == gateway::ChooseService(route, id));
    ++counts[std::string(service)];
  }
  BOOST_TEST(counts["off"] == 0);
  // Three standard deviations of a share of 10% in 20,000 draws are 0.64%.
  BOOST_TEST(counts["new"] > kRequests * 0.0936);
  BOOST_TEST(counts["new"] < kRequests * 0.1064);
}

// Guards against reads with a short latency target that wait for urgent
// requests and get no slot: half of them failed while a service was short of
// servers.
BOOST_AUTO_TEST_CASE(only_reads_with_a_long_latency_target_are_delay_tolerant) {
  gateway::GatewayConfig config;
  config.version = 1;
  gateway::GatewayRoute pay;
  pay.priority = 0;
  pay.latency_target = std::chrono::milliseconds(250);
  pay.weighted_services = {{"wages", 1.0}};
  gateway::GatewayRoute history = pay;
  history.repeatable = true;
  history.priority = 2;
  history.latency_target = std::chrono::milliseconds(4000);
  history.weighted_services = {{"wages", 1.0}, {"desk", 1.0}};
  gateway::GatewayRoute short_read = history;
  short_read.latency_target = std::chrono::milliseconds(600);
  gateway::GatewayRoute booking = history;
  booking.repeatable = false;
  config.routes = {history, pay, short_read, booking};
  const gateway::RouteTable table(config);
  BOOST_TEST(table.IsDelayTolerant("wages", history));
  BOOST_TEST(!table.IsDelayTolerant("desk", history));
  BOOST_TEST(!table.IsDelayTolerant("wages", short_read));
  BOOST_TEST(!table.IsDelayTolerant("wages", booking));
  BOOST_TEST(!table.IsDelayTolerant("wages", pay));
}

BOOST_AUTO_TEST_SUITE_END()
