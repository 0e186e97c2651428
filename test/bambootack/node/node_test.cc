#include "bambootack/node/node.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <variant>

namespace core = bambootack::core;
namespace node = bambootack::node;
namespace settings = bambootack::settings;
namespace wire = bambootack::wire;

namespace {

constexpr std::uint64_t kFingerprint = 42;
constexpr std::uint32_t kHeldSeconds = 60;
constexpr core::Time kNow = core::Time{} + std::chrono::seconds(100);

settings::Settings TwoPeers() {
  settings::Settings it;
  it.vm = core::VmId{1};
  it.failure_domain = "a";
  it.peers = {{core::VmId{2}, "127.0.0.1:2", "a"},
              {core::VmId{3}, "127.0.0.1:3", "b"}};
  return it;
}

bool TellsHeld(const node::Action& action) {
  const auto* send = std::get_if<node::SendToPeer>(&action);
  const auto* gossip =
      send == nullptr ? nullptr : std::get_if<wire::Gossip>(&send->message);
  return gossip != nullptr && !gossip->held.empty() &&
         gossip->held.front().fingerprint == kFingerprint;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(node_suite)

// Guards against a crashing request that ends servers of every group, because
// only the VM that saw the losses holds it.
BOOST_AUTO_TEST_CASE(held_requests_are_taken_from_gossip_and_passed_on) {
  node::Node it(TwoPeers(), core::Incarnation{1}, 1);
  wire::Gossip gossip;
  gossip.incarnation = core::Incarnation{7};
  gossip.held.push_back({kFingerprint, kHeldSeconds});
  (void)it.Handle(
      node::PeerMessage{{core::VmId{2}, core::Incarnation{7}, 1, gossip}}, kNow,
      {});
  BOOST_TEST(
      it.Dispatcher().Health().Guard().IsQuarantined(kFingerprint, kNow));
  bool told = false;
  for (int i = 0; i < 100 && !told; ++i) {
    const auto actions =
        it.Handle(node::Tick{}, kNow + i * std::chrono::milliseconds(50), {});
    told = std::any_of(actions.begin(), actions.end(), TellsHeld);
  }
  BOOST_TEST(told);
}

BOOST_AUTO_TEST_SUITE_END()
