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

health::RequestQuarantine QuarantineOfPoison() {
  health::RequestQuarantine quarantine;
  quarantine.RecordLoss(kPoison, "a", kStart);
  quarantine.RecordLoss(kPoison, "b", kStart);
  return quarantine;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_quarantine)

// Guards against a poison request that crashes a third server.
BOOST_AUTO_TEST_CASE(the_second_loss_quarantines) {
  health::RequestQuarantine quarantine;
  quarantine.RecordLoss(kPoison, "a", kStart);
  BOOST_TEST(quarantine.IsSuspected(kPoison, kStart));
  BOOST_TEST(!quarantine.IsQuarantined(kPoison, kStart));
  quarantine.RecordLoss(kPoison, "b", kStart + seconds(1));
  BOOST_TEST(quarantine.IsQuarantined(kPoison, kStart + seconds(1)));
}

// Guards against the quarantine of ordinary requests that reached one faulty
// server twice.
BOOST_AUTO_TEST_CASE(resets_of_one_live_server_quarantine_nothing) {
  health::RequestQuarantine quarantine;
  quarantine.RecordLoss(kPoison, "a", kStart);
  quarantine.RecordLoss(kPoison, "a", kStart);
  BOOST_TEST(!quarantine.IsQuarantined(kPoison, kStart));
  quarantine.RecordServerDown("a");
  quarantine.RecordLoss(kPoison, "a", kStart);
  BOOST_TEST(quarantine.IsQuarantined(kPoison, kStart));
}

// Guards against the quarantine of a common request after unrelated losses.
BOOST_AUTO_TEST_CASE(a_success_clears_the_suspicion) {
  health::RequestQuarantine quarantine;
  quarantine.RecordLoss(kPoison, "a", kStart);
  quarantine.RecordSuccess(kPoison);
  quarantine.RecordLoss(kPoison, "b", kStart);
  BOOST_TEST(!quarantine.IsQuarantined(kPoison, kStart));
}

// Guards against two VMs that renew each other's records indefinitely: each
// exchange takes 900 ms, which is added to the remaining time.
BOOST_AUTO_TEST_CASE(quarantined_fingerprints_synchronize_and_expire) {
  health::RequestQuarantine first = QuarantineOfPoison();
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

// Guards against a peer that sets a longer quarantine than the limit of 10 min,
// and against unbounded memory use when many connections are reset.
BOOST_AUTO_TEST_CASE(records_are_bounded) {
  health::RequestQuarantine quarantine;
  quarantine.Merge({{kPoison, std::chrono::hours(10'000)}}, kStart);
  BOOST_TEST(!quarantine.IsQuarantined(kPoison, kStart + minutes(10)));
  for (std::uint64_t i = 0; i < 100'000; ++i) {
    quarantine.RecordLoss(i, "a", kStart);
  }
  BOOST_TEST(quarantine.size() < 10'000u);
}

BOOST_AUTO_TEST_SUITE_END()
