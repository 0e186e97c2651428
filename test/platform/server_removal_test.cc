#include <boost/test/unit_test.hpp>
#include <cstddef>

#include "platform/simulated_fleet.h"

namespace core = bambootack::core;
namespace platform = bambootack::platform;
using platform::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A removed server must be out of use this long after its removal.
constexpr core::Duration kApplyTime = milliseconds(2000);

std::size_t StoreReaderOf(const SimulatedFleet& fleet) {
  std::size_t vm = 0;
  while (!fleet.IsStoreReader(vm)) {
    ++vm;
  }
  return vm;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_removal)

// Guards against a restarted VM that reads the newest records, which lack what
// was removed while it was down, and tells its peers that they miss nothing
// (review/1).
BOOST_AUTO_TEST_CASE(a_removal_before_the_restart_of_the_reader_reaches_all) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet({.vms = 12, .servers = 20, .seed = seed});
    fleet.RunFor(seconds(12));
    const std::size_t reader = StoreReaderOf(fleet);
    fleet.SetConnected(reader, false);
    fleet.RunFor(milliseconds(50));
    fleet.RemoveServer(3);
    fleet.RunFor(milliseconds(350));
    fleet.Restart(reader);
    fleet.SetConnected(reader, true);
    fleet.RunFor(kApplyTime - milliseconds(350));
    BOOST_TEST(fleet.VmsWithServer(3).size() == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
