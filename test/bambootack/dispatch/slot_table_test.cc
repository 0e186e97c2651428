#include "bambootack/dispatch/slot_table.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kNoLimit = std::numeric_limits<int>::max();

config::Server Server(const std::string& id, int slots) {
  config::Server it;
  it.id = id;
  it.slots = slots;
  return it;
}

struct Fixture {
  Fixture() { table.Configure({Server("a", 3), Server("b", 3)}); }

  int Fill(bool repeatable = true) {
    int n = 0;
    while (table.Acquire(repeatable, now) != nullptr) {
      ++n;
    }
    return n;
  }

  dispatch::SlotTable table{dispatch::ServerSelection::kLeastLoaded, kNoLimit,
                            1};
  core::Time now{};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(slot_table, Fixture)

// Guards against more requests on a server than its slots, its configuration or
// its health allow.
BOOST_AUTO_TEST_CASE(only_available_slots_are_used) {
  struct Case {
    dispatch::ServerAdmission admission;
    config::Pin pin;
    bool leaving;
    bool repeatable;
    int expected;  ///< Over both servers; the other one has 3 slots.
  };
  const Case cases[] = {
      {{}, config::Pin::kNone, false, true, 6},
      {{1, false}, config::Pin::kNone, false, true, 4},
      {{0, false}, config::Pin::kNone, false, true, 3},
      {{1, true}, config::Pin::kNone, false, false, 3},
      {{1, true}, config::Pin::kNone, false, true, 4},
      {{}, config::Pin::kOut, false, true, 3},
      {{}, config::Pin::kNone, true, true, 3},
  };
  for (const Case& it : cases) {
    dispatch::SlotTable fresh(dispatch::ServerSelection::kLeastLoaded, kNoLimit,
                              1);
    config::Server a = Server("a", 3);
    a.pin = it.pin;
    a.leaving = it.leaving;
    fresh.Configure({a, Server("b", 3)});
    fresh.SetAdmission("a", it.admission);
    int n = 0;
    while (fresh.Acquire(it.repeatable, now) != nullptr) {
      ++n;
    }
    BOOST_TEST(n == it.expected);
  }
}

// Guards against a configuration change that loses requests in flight.
BOOST_AUTO_TEST_CASE(slots_in_use_survive_a_new_configuration) {
  Fill();
  table.Configure({Server("a", 4), Server("c", 1)});
  BOOST_TEST(Fill() == 2);
  table.Release("b");
  BOOST_TEST(table.Free(now) == 0);
}

// Guards against a new dispatcher that uses slots still occupied by requests of
// the previous one, and against one that never uses them.
BOOST_AUTO_TEST_CASE(a_takeover_waits_for_reports_or_the_longest_deadline) {
  table.AssumeBusy(now + seconds(5));
  BOOST_TEST(Fill() == 2);  // One request per server to get a load report.
  table.Release("a");
  table.RecordServerLoad("a", 1.0 / 3.0);
  BOOST_TEST(Fill() == 2);
  table.RecordServerLoad("b", 7.0);  // Out of range, ignored.
  BOOST_TEST(Fill() == 0);
  now += seconds(5);
  BOOST_TEST(Fill() == 3);
}

// Guards against repeated requests to a full server.
BOOST_AUTO_TEST_CASE(a_refusal_limits_a_server_for_a_short_time) {
  table.RecordRefusal("a", now);
  BOOST_TEST(table.Free(now) == 3);
  BOOST_TEST(Fill() == 3);
  now += seconds(1);
  BOOST_TEST(Fill() == 3);
}

// Guards against an entry that exceeds its share of the slots in local
// dispatch.
BOOST_AUTO_TEST_CASE(the_limit_over_all_servers_applies) {
  dispatch::SlotTable local(dispatch::ServerSelection::kPowerOfTwoChoices, 2,
                            1);
  local.Configure({Server("a", 3), Server("b", 3)});
  BOOST_TEST(local.Acquire(true, now) != nullptr);
  BOOST_TEST(local.Acquire(true, now) != nullptr);
  BOOST_TEST(local.Acquire(true, now) == nullptr);
  BOOST_TEST(local.Free(now) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
