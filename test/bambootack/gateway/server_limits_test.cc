#include <fmt/format.h>
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bambootack/gateway/limited_fleet.h"

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using gateway::LimitedFleet;
using std::chrono::seconds;

namespace {

struct Limit {
  std::string text;
  double rate;
};

const std::vector<Limit> kLimits{
    {"2.7", 2.7}, {"3", 3.0}, {"0.5", 0.5}, {"0", 0.0}, {"12", 12.0}};

/// Lets the first servers name a limit, and plays on.
void PlayWithLimit(LimitedFleet& fleet, std::size_t servers,
                   const Limit& limit) {
  fleet.RunFor(seconds(3));
  for (std::size_t i = 0; i < servers; ++i) {
    fleet.SetLimit(i, {limit.text}, limit.rate);
  }
  fleet.RunFor(seconds(12));
}

/// Changes a limit, a VM or a connection between VMs.
void DisturbAtRandom(LimitedFleet& fleet, core::Random& random) {
  const std::size_t vm = random.Below(fleet.Vms());
  const std::size_t server = random.Below(fleet.Servers());
  switch (random.Below(8)) {
    case 0:
    case 1: {
      const double rate = 12.0 * random.Unit() * random.Unit();
      fleet.SetLimit(server, {fmt::format("{:.2f}", rate)}, rate);
      break;
    }
    case 2:
      fleet.SetLimit(server, {}, std::nullopt);
      break;
    case 3:
      fleet.Stop(fleet.Dispatcher(0));
      break;
    case 4:
      fleet.Kill(vm);
      break;
    case 5:
      fleet.Restart(random.Unit() < 0.5 ? vm : fleet.Dispatcher(0));
      break;
    case 6:
      fleet.SetCut(vm, random.Unit() < 0.5);
      break;
    default:
      for (std::size_t i = 0; i < fleet.Vms(); ++i) {
        fleet.SetConnected(fleet.Dispatcher(0), i, random.Unit() < 0.6);
      }
  }
}

void CheckKept(const LimitedFleet& fleet, const std::string& name) {
  BOOST_TEST(fleet.Broken().empty(),
             name << ": " << fleet.Broken().size() << " times; "
                  << (fleet.Broken().empty() ? "" : fleet.Broken().front()));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_limits)

// Guards against servers in need that get as many requests from all VMs
// together as if they had named no limit.
BOOST_AUTO_TEST_CASE(a_server_gets_no_more_than_the_limit_that_it_has_named) {
  for (const Limit& limit : kLimits) {
    for (const std::size_t servers : {2U, 10U, 20U}) {
      LimitedFleet fleet({.seed = servers});
      PlayWithLimit(fleet, servers, limit);
      CheckKept(fleet, limit.text + " at " + std::to_string(servers));
    }
  }
}

// Guards against repeats and lost messages between VMs that exceed the limit.
BOOST_AUTO_TEST_CASE(limits_hold_while_messages_and_connections_are_lost) {
  for (const Limit& limit : kLimits) {
    LimitedFleet fleet({.peer_loss = 0.1, .server_loss = 0.2, .seed = 5});
    PlayWithLimit(fleet, 4, limit);
    CheckKept(fleet, limit.text);
  }
}

// Guards against a limit that is kept too high after it was lowered, and
// against one that still holds after its server has stopped naming it.
BOOST_AUTO_TEST_CASE(limits_change_and_end) {
  LimitedFleet fleet({.seed = 3});
  PlayWithLimit(fleet, 2, {"6", 6.0});
  fleet.SetLimit(0, {"2.5"}, 2.5);
  fleet.RunFor(seconds(10));
  CheckKept(fleet, "lowered");
  fleet.SetLimit(0, {"10"}, 10.0);
  fleet.SetLimit(1, {}, std::nullopt);
  fleet.RunFor(seconds(10));
  CheckKept(fleet, "raised");
  BOOST_TEST(fleet.Arrivals(0, seconds(4)) > 10U);
  BOOST_TEST(fleet.Arrivals(1, seconds(4)) > 6U);
}

// Guards against servers that a limit of 0 or nearly 0 excludes for ever.
BOOST_AUTO_TEST_CASE(the_end_of_a_limit_of_zero_is_noticed) {
  LimitedFleet fleet({.seed = 4});
  PlayWithLimit(fleet, 1, {"0", 0.0});
  fleet.SetLimit(0, {}, std::nullopt);
  fleet.RunFor(seconds(12));
  BOOST_TEST(fleet.Arrivals(0, seconds(4)) > 6U);
}

// Guards against servers that are excluded, or limited at random, by a field
// that names no limit.
BOOST_AUTO_TEST_CASE(malformed_limits_are_ignored) {
  const std::vector<std::vector<std::string>> fields{
      {"-1"}, {"-0.5"}, {"nan"}, {"inf"}, {""}, {"1e0"}, {"2/s"}, {"0x1"}};
  for (const auto& it : fields) {
    LimitedFleet fleet({.seed = 6});
    fleet.RunFor(seconds(3));
    fleet.SetLimit(0, it, std::nullopt);
    fleet.RunFor(seconds(6));
    BOOST_TEST(fleet.Arrivals(0, seconds(4)) > 6U, it.front());
  }
}

// Guards against the higher of two limits, and against a malformed field that
// hides a limit.
BOOST_AUTO_TEST_CASE(the_lowest_of_several_limits_holds) {
  const std::vector<std::vector<std::string>> fields{
      {"2", "50"}, {"50", "2"}, {"2", "nan"}, {"-1", "2"}, {"50, 2"}};
  for (const auto& it : fields) {
    LimitedFleet fleet({.seed = 7});
    fleet.RunFor(seconds(3));
    fleet.SetLimit(0, it, 2.0);
    fleet.RunFor(seconds(10));
    CheckKept(fleet, it.front() + " and " + it.back());
  }
}

// Guards against a new dispatcher that does not know the limits, and against
// two that each grant the whole limit.
BOOST_AUTO_TEST_CASE(limits_hold_when_the_dispatcher_changes) {
  struct Case {
    std::string name;
    std::function<void(LimitedFleet&, std::size_t dispatcher)> disturb;
  };
  const std::vector<Case> cases{
      {"stop and restart",
       [](LimitedFleet& fleet, std::size_t dispatcher) {
         fleet.Stop(dispatcher);
         fleet.RunFor(seconds(5));
         fleet.Restart(dispatcher);
       }},
      {"crash and restart",
       [](LimitedFleet& fleet, std::size_t dispatcher) {
         fleet.Kill(dispatcher);
         fleet.RunFor(seconds(5));
         fleet.Restart(dispatcher);
       }},
      {"restart at once",
       [](LimitedFleet& fleet, std::size_t dispatcher) {
         fleet.Restart(dispatcher);
       }},
      {"restarts in a row",
       [](LimitedFleet& fleet, std::size_t dispatcher) {
         for (int i = 0; i < 4; ++i) {
           fleet.Restart(dispatcher);
           fleet.RunFor(std::chrono::milliseconds(700));
         }
       }},
      {"restart of all",
       [](LimitedFleet& fleet, std::size_t) {
         for (std::size_t i = 0; i < 40; ++i) {
           fleet.Restart(i);
         }
       }},
      {"cut off and back",
       [](LimitedFleet& fleet, std::size_t dispatcher) {
         fleet.SetCut(dispatcher, true);
         fleet.RunFor(seconds(5));
         fleet.SetCut(dispatcher, false);
       }},
      {"unreachable for half of the fleet",
       [](LimitedFleet& fleet, std::size_t dispatcher) {
         for (std::size_t i = 0; i < 20; ++i) {
           fleet.SetConnected(dispatcher, i, false);
         }
       }},
      {"unreachable for a half in turn",
       [](LimitedFleet& fleet, std::size_t dispatcher) {
         for (std::size_t turn = 0; turn < 6; ++turn) {
           for (std::size_t i = 0; i < 40; ++i) {
             fleet.SetConnected(dispatcher, i, (i + turn) % 2 == 0);
           }
           fleet.RunFor(std::chrono::milliseconds(800));
         }
       }},
      {"fleet in two halves",
       [](LimitedFleet& fleet, std::size_t) {
         for (std::size_t i = 0; i < 40; ++i) {
           for (std::size_t k = i + 1; k < 40; ++k) {
             fleet.SetConnected(i, k, (i < 20) == (k < 20));
           }
         }
       }},
      {"fleet in single VMs",
       [](LimitedFleet& fleet, std::size_t) {
         for (std::size_t i = 0; i < 40; ++i) {
           for (std::size_t k = i + 1; k < 40; ++k) {
             fleet.SetConnected(i, k, false);
           }
         }
       }},
  };
  for (const Case& it : cases) {
    for (const Limit& limit : kLimits) {
      for (const std::size_t servers : {4U, 20U}) {
        LimitedFleet fleet({.seed = servers});
        PlayWithLimit(fleet, servers, limit);
        it.disturb(fleet, fleet.Dispatcher(0));
        fleet.RunFor(seconds(10));
        CheckKept(fleet, it.name + ", " + limit.text + " at " +
                             std::to_string(servers));
      }
    }
  }
}

// Guards against a VM that starts while a limit holds, and serves as the
// dispatcher without having heard of it.
BOOST_AUTO_TEST_CASE(limits_hold_for_a_vm_that_starts_late) {
  for (const Limit& limit : kLimits) {
    LimitedFleet fleet({.seed = 9});
    const std::size_t late = fleet.Dispatcher(0);
    fleet.Kill(late);
    PlayWithLimit(fleet, 4, limit);
    fleet.Restart(late);
    fleet.RunFor(seconds(8));
    CheckKept(fleet, limit.text);
  }
}

// Guards against orders of faults that no other case names: limits that change
// while VMs stop, crash, restart and lose each other, in series and at once.
BOOST_AUTO_TEST_CASE(limits_hold_in_any_order_of_faults) {
  const bool held = rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    LimitedFleet fleet({.vms = 2 + random.Below(30),
                        .servers = 1 + random.Below(8),
                        .requests_per_second = 40.0 + 100.0 * random.Unit(),
                        .peer_loss = 0.1 * random.Unit(),
                        .seed = seed});
    const std::size_t steps = 10 + random.Below(20);
    for (std::size_t i = 0; i < steps; ++i) {
      DisturbAtRandom(fleet, random);
      fleet.RunFor(std::chrono::milliseconds(random.Below(2000)));
    }
    fleet.RunFor(seconds(6));
    RC_ASSERT(fleet.Broken() == std::vector<std::string>{});
  });
  BOOST_TEST(held);
}

// Guards against a limit that costs the fleet the servers that name none, and
// the use of the limit itself.
BOOST_AUTO_TEST_CASE(limits_are_used_and_other_servers_take_the_rest) {
  LimitedFleet fleet({.seed = 10});
  PlayWithLimit(fleet, 4, {"4", 4.0});
  for (std::size_t i = 0; i < 4; ++i) {
    BOOST_TEST(fleet.Arrivals(i, seconds(8)) >= 16U);
  }
  BOOST_TEST(fleet.Refused() * 100 <= fleet.Served());
}

BOOST_AUTO_TEST_SUITE_END()
