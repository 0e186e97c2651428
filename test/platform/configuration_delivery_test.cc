#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <vector>

#include "platform/simulated_fleet.h"

namespace platform = bambootack::platform;
namespace core = bambootack::core;
using platform::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A version must be in force this long after its acknowledgement.
constexpr core::Duration kApplyTime = milliseconds(2000);

/// A VM that reaches the store again must meet the bounds after this time.
constexpr core::Duration kStableTime = milliseconds(3000);

/// Packets that wait longer for a link make its VM count as slowed.
constexpr core::Duration kMaxLinkWait = milliseconds(500);

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_delivery)

// Guards against the store readers of an outage: each VM took itself for the
// reader, sent its whole state to the domain and filled its own link.
BOOST_AUTO_TEST_CASE(a_store_outage_does_not_delay_the_next_configuration) {
  SimulatedFleet fleet({});
  fleet.RunFor(seconds(12));
  BOOST_TEST(fleet.VmsWithoutVersion(1).empty());
  fleet.SetStoreAvailable(false);
  fleet.RunFor(seconds(8));
  static_cast<void>(fleet.TakeLongestLinkWait());
  fleet.SetStoreAvailable(true);
  for (std::size_t i = 0; i < 30; ++i) {
    fleet.ReportServer(i, true);
  }
  fleet.RunFor(milliseconds(100));
  fleet.PublishConfig(2);
  fleet.RunFor(kApplyTime);
  BOOST_TEST(fleet.VmsWithoutVersion(2).size() == 0U);
  BOOST_TEST((fleet.TakeLongestLinkWait() < kMaxLinkWait));
}

// Guards against a new store reader that sends the whole state to a domain that
// already has it.
BOOST_AUTO_TEST_CASE(a_restarted_store_reader_does_not_fill_its_link) {
  SimulatedFleet fleet({});
  fleet.RunFor(seconds(12));
  static_cast<void>(fleet.TakeLongestLinkWait());
  fleet.Restart(fleet.StoreReader());
  fleet.RunFor(milliseconds(500));
  fleet.PublishConfig(2);
  fleet.RunFor(kApplyTime);
  BOOST_TEST(fleet.VmsWithoutVersion(2).size() == 0U);
  BOOST_TEST((fleet.TakeLongestLinkWait() < kMaxLinkWait));
}

// Guards against a store reader that answers the queries of its whole domain
// for a configuration of many routes.
BOOST_AUTO_TEST_CASE(
    a_large_configuration_does_not_fill_the_link_of_its_reader) {
  SimulatedFleet fleet({});
  fleet.RunFor(seconds(12));
  static_cast<void>(fleet.TakeLongestLinkWait());
  fleet.PublishConfig(2, 400);
  fleet.RunFor(kApplyTime);
  BOOST_TEST(fleet.VmsWithoutVersion(2).size() == 0U);
  BOOST_TEST((fleet.TakeLongestLinkWait() < kMaxLinkWait));
}

// Guards against long pauses between the reads of a VM that was cut off from
// the store and all other VMs (hunt-dfb1-7).
BOOST_AUTO_TEST_CASE(a_vm_is_current_three_seconds_after_a_cut) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedFleet fleet({.vms = 4, .servers = 20, .seed = seed});
    fleet.RunFor(seconds(12));
    for (std::size_t vm = 0; vm < 4; ++vm) {
      fleet.SetConnected(vm, false);
    }
    fleet.RunFor(seconds(6) + milliseconds(330) * seed);
    fleet.PublishConfig(2);
    fleet.SetConnected(1, true);  // Reaches the store, but no other VM.
    fleet.RunFor(kStableTime);
    BOOST_TEST(fleet.Version(1) == 2U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
