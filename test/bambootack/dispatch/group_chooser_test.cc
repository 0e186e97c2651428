#include "bambootack/dispatch/group_chooser.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
namespace membership = bambootack::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kDraws = 3000;

struct Fixture {
  Fixture() {
    config::Service& service = config.services["s"];
    service.id = "s";
    for (const char* domain : {"a", "b", "c"}) {
      config::Server it;
      it.id = domain;
      it.failure_domain = domain;
      it.slots = 3;
      service.servers.push_back(it);
    }
    for (std::uint32_t i = 1; i <= 12; ++i) {
      view.members.push_back({core::VmId{i}, {}, "", i % 2 == 0 ? "a" : "b"});
    }
    chooser.Configure(config, view, "a");
  }

  std::map<std::string, int> Draw(core::Time now) {
    std::map<std::string, int> counts;
    for (int i = 0; i < kDraws; ++i) {
      const auto* it = chooser.Choose("s", core::Rank::kUrgent, now, random);
      ++counts[it->group.failure_domain];
    }
    return counts;
  }

  void RecordLoad(const char* domain, core::Duration wait, std::uint32_t free,
                  core::Time now) {
    chooser.RecordLoad({{"s", domain, 0}, free, {wait, wait, wait}}, now);
  }

  config::FleetConfig config;
  membership::View view;
  dispatch::GroupChooser chooser;
  core::Random random{1};
  core::Time now = core::Time{} + seconds(100);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(group_chooser, Fixture)

// Guards against traffic that all crosses failure domains, or all stays in one.
BOOST_AUTO_TEST_CASE(the_local_domain_gets_most_but_not_all_requests) {
  auto counts = Draw(now);
  BOOST_TEST(counts["a"] > counts["b"]);
  BOOST_TEST(counts["a"] > counts["c"]);
  BOOST_TEST(counts["b"] > kDraws / 20);
  BOOST_TEST(counts["c"] > kDraws / 20);
}

// Guards against entries that continue to queue requests at a full group, and
// against a group that is avoided permanently because of one old load.
BOOST_AUTO_TEST_CASE(a_loaded_group_is_avoided_while_the_load_is_recent) {
  RecordLoad("a", milliseconds(500), 0, now);
  RecordLoad("b", milliseconds(10), 0, now);
  RecordLoad("c", milliseconds(10), 0, now);
  BOOST_TEST(Draw(now)["a"] == 0);
  const core::Time later = now + seconds(30);
  RecordLoad("b", milliseconds(10), 0, later);
  RecordLoad("c", milliseconds(10), 0, later);
  BOOST_TEST(Draw(later)["a"] > kDraws / 2);
}

// Guards against requests for a group whose servers are all out of service.
BOOST_AUTO_TEST_CASE(a_group_without_usable_slots_gets_no_requests) {
  config.services["s"].servers[0].leaving = true;
  config.services["s"].servers[1].pin = config::Pin::kOut;
  chooser.Configure(config, view, "a");
  BOOST_TEST(Draw(now)["c"] == kDraws);
}

// Guards against a dispatcher that is not one of the first three in hash order,
// and against loads that a new configuration discards.
BOOST_AUTO_TEST_CASE(a_new_configuration_sets_dispatchers_and_keeps_loads) {
  const config::GroupKey key{"s", "a", 0};
  RecordLoad("a", milliseconds(500), 0, now);
  chooser.Configure(config, view, "a");
  const auto* it = chooser.Find(key);
  BOOST_REQUIRE(it != nullptr);
  BOOST_TEST((it->dispatchers == membership::DispatcherOrder(view, key, 3)));
  BOOST_TEST(it->load.wait[0].count() == 500'000);
  BOOST_TEST((chooser.Find({"s", "a", 1}) == nullptr));
  BOOST_TEST((chooser.Choose("t", {}, now, random) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
