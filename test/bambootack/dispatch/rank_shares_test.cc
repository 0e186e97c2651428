#include "bambootack/dispatch/rank_shares.h"

#include <boost/test/unit_test.hpp>

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
using core::Rank;
using std::chrono::milliseconds;

namespace {

constexpr int kSlots = 9;
const dispatch::RankPolicies kPolicies = config::FleetConfig{}.ranks;

struct Fixture {
  Fixture() { shares.Configure(kPolicies); }

  void AdvanceTime(core::Duration time, dispatch::PerRank<bool> waiting) {
    shares.Update(now, kSlots, waiting);
    now += time;
    shares.Update(now, kSlots, waiting);
  }

  dispatch::RankShares shares;
  core::Time now{};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rank_shares, Fixture)

// Guards against a share of less than one slot that is rounded to 0: here the
// background rank has 0.9 of 9 slots.
BOOST_AUTO_TEST_CASE(every_rank_gets_its_share_in_an_urgent_flood) {
  constexpr core::Duration kService = milliseconds(50);
  constexpr int kRounds = 20'000;
  dispatch::PerRank<int> served{};
  for (int i = 0; i < kSlots; ++i) {
    shares.OnSlotAcquired(Rank::kUrgent);
  }
  std::vector<Rank> executing(kSlots, Rank::kUrgent);
  for (int i = 0; i < kRounds; ++i) {
    AdvanceTime(kService / kSlots, {true, true, true});
    Rank& slot = executing[static_cast<std::size_t>(i % kSlots)];
    shares.OnSlotReleased(slot);
    slot = shares.ServiceOrder().front();
    shares.OnSlotAcquired(slot);
    ++served[static_cast<std::size_t>(slot)];
  }
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    BOOST_TEST(served[i] >= 0.95 * kPolicies[i].share * kRounds);
  }
}

// Guards against a less urgent rank that accumulates credit while it is idle
// and is then served before urgent requests.
BOOST_AUTO_TEST_CASE(an_idle_rank_accumulates_no_credit) {
  AdvanceTime(std::chrono::seconds(10), {true, false, false});
  for (int i = 0; i < kSlots; ++i) {
    shares.OnSlotAcquired(Rank::kBackground);
  }
  AdvanceTime(milliseconds(1), {true, false, true});
  BOOST_TEST(static_cast<int>(shares.ServiceOrder().front()) ==
             static_cast<int>(Rank::kUrgent));
}

// Guards against expected waits computed with fewer slots than the share of the
// rank, or with none.
BOOST_AUTO_TEST_CASE(the_slots_of_a_rank_are_at_least_its_share) {
  for (int i = 0; i < kSlots; ++i) {
    shares.OnSlotAcquired(Rank::kUrgent);
  }
  AdvanceTime(std::chrono::seconds(5), {true, true, true});
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    BOOST_TEST(shares.SlotsFor(static_cast<Rank>(i), kSlots) >=
               kPolicies[i].share * kSlots);
    BOOST_TEST(shares.SlotsFor(static_cast<Rank>(i), 0) > 0.0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
