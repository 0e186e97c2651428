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

}  // namespace

BOOST_AUTO_TEST_SUITE(server_removal)

// Guards against a restarted VM that reads the newest records, which lack what
// was removed while it was down, and tells its peers that they miss nothing
// (review/1).
BOOST_AUTO_TEST_CASE(a_removal_before_the_restart_of_the_reader_reaches_all) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet({.vms = 12, .servers = 20, .seed = seed});
    fleet.RunFor(seconds(12));
    const std::size_t reader = fleet.StoreReader();
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

// Guards against a reader that takes its own cut for an outage of the store,
// defers removals and tells its peers that they miss nothing (review/4).
BOOST_AUTO_TEST_CASE(a_reader_back_from_a_cut_holds_no_removal_back) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet({.vms = 12, .servers = 20, .seed = seed});
    fleet.RunFor(seconds(12));
    const std::size_t reader = fleet.StoreReader();
    fleet.SetConnected(reader, false);
    fleet.RunFor(milliseconds(4300));
    // It reaches the store before it hears its peers.
    fleet.SetReceivesFromPeers(reader, false);
    fleet.SetConnected(reader, true);
    while (fleet.StateAge(reader) > seconds(1)) {
      fleet.RunFor(milliseconds(10));
    }
    fleet.SetReceivesFromPeers(reader, true);
    fleet.RemoveServer(3);
    fleet.RunFor(kApplyTime);
    BOOST_TEST(fleet.VmsWithServer(3).size() == 0U, "seed " << seed);
  }
}

// Guards against the loss of all servers when their entries expire during an
// outage of the store: every VM keeps them until they may be back.
BOOST_AUTO_TEST_CASE(
    entries_that_expire_in_an_outage_stay_until_they_are_back) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet({.vms = 12, .servers = 20, .seed = seed});
    fleet.RunFor(seconds(12));
    fleet.SetStoreAvailable(false);
    fleet.RunFor(seconds(5));
    for (std::size_t i = 0; i < 5; ++i) {
      fleet.RemoveServer(i);
    }
    fleet.SetStoreAvailable(true);
    fleet.RunFor(milliseconds(1500));
    for (std::size_t i = 0; i < 5; ++i) {
      BOOST_TEST(fleet.VmsWithServer(i).size() == 12U, "seed " << seed);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.ReportServer(i, false);
    }
    fleet.RunFor(milliseconds(2500));
    for (std::size_t i = 0; i < 4; ++i) {
      BOOST_TEST(fleet.VmsWithServer(i).size() == 12U, "seed " << seed);
    }
    BOOST_TEST(fleet.VmsWithServer(4).size() == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
