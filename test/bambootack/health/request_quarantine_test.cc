#include "bambootack/health/request_quarantine.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace core = bambootack::core;
namespace health = bambootack::health;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr core::Time kStart{};
constexpr std::uint64_t kPoison = 7;

health::RequestQuarantine Holding() {
  health::RequestQuarantine guard;
  guard.RecordLoss(kPoison, "a", kStart);
  guard.RecordLoss(kPoison, "b", kStart);
  return guard;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_guard)

// Guards against a third server lost to a crashing request.
BOOST_AUTO_TEST_CASE(the_second_loss_holds) {
  health::RequestQuarantine guard;
  guard.RecordLoss(kPoison, "a", kStart);
  BOOST_TEST(guard.IsSuspected(kPoison, kStart));
  BOOST_TEST(!guard.IsQuarantined(kPoison, kStart));
  guard.RecordLoss(kPoison, "b", kStart + seconds(1));
  BOOST_TEST(guard.IsQuarantined(kPoison, kStart + seconds(1)));
}

// Guards against holding ordinary requests that met one faulty server twice.
BOOST_AUTO_TEST_CASE(resets_of_one_live_server_hold_nothing) {
  health::RequestQuarantine guard;
  guard.RecordLoss(kPoison, "a", kStart);
  guard.RecordLoss(kPoison, "a", kStart);
  BOOST_TEST(!guard.IsQuarantined(kPoison, kStart));
  guard.RecordServerDown("a");
  guard.RecordLoss(kPoison, "a", kStart);
  BOOST_TEST(guard.IsQuarantined(kPoison, kStart));
}

// Guards against holding a common request after unrelated losses.
BOOST_AUTO_TEST_CASE(a_success_clears_the_suspicion) {
  health::RequestQuarantine guard;
  guard.RecordLoss(kPoison, "a", kStart);
  guard.RecordSuccess(kPoison);
  guard.RecordLoss(kPoison, "b", kStart);
  BOOST_TEST(!guard.IsQuarantined(kPoison, kStart));
}

// Guards against two VMs that renew each other's records without end.
BOOST_AUTO_TEST_CASE(held_fingerprints_spread_and_expire) {
  health::RequestQuarantine first = Holding();
  health::RequestQuarantine second;
  core::Time now = kStart;
  for (; now < kStart + minutes(11); now += seconds(1)) {
    second.Merge(first.Export(now), now + std::chrono::milliseconds(900));
    first.Merge(second.Export(now), now + std::chrono::milliseconds(900));
    const core::Time later = now + seconds(1);
    if (later < kStart + minutes(10)) {
      BOOST_TEST(second.IsQuarantined(kPoison, later));
    } else if (later > kStart + minutes(10) + seconds(2)) {
      BOOST_TEST(!second.IsQuarantined(kPoison, later));
    }
  }
  BOOST_TEST(first.Export(now).empty());
  BOOST_TEST(second.Export(now).empty());
}

// Guards against a peer that holds a fingerprint for longer than the limit, and
// against unbounded memory in a flood of resets.
BOOST_AUTO_TEST_CASE(records_are_bounded) {
  health::RequestQuarantine guard;
  guard.Merge({{kPoison, std::chrono::hours(10'000)}}, kStart);
  BOOST_TEST(!guard.IsQuarantined(kPoison, kStart + minutes(10)));
  for (std::uint64_t i = 0; i < 100'000; ++i) {
    guard.RecordLoss(i, "a", kStart);
  }
  BOOST_TEST(guard.size() < 10'000u);
}

BOOST_AUTO_TEST_SUITE_END()
