#include "bambootack/dispatch/rank_shares.h"

#include <algorithm>
#include <cmath>

namespace bambootack::dispatch {
namespace {

using Seconds = std::chrono::duration<double>;

/// Bounds credit and debt to the guaranteed share of this time, so that a rank
/// that used idle slots is not delayed for long afterwards, and a rank that
/// waited does not take a burst of slots.
constexpr Seconds kMaxCreditTime{0.1};

/// Of the exponentially weighted mean of busy slots.
constexpr Seconds kMeanBusyTimeConstant{0.25};

/// Lower bound that keeps the expected wait finite while no slot may be used.
constexpr double kMinSlots = 0.5;

std::size_t IndexOf(core::Rank rank) noexcept {
  return static_cast<std::size_t>(rank);
}

}  // namespace

void RankShares::Configure(const RankPolicies& policies) noexcept {
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    accounts_[i].share = policies[i].share;
  }
}

void RankShares::Update(core::Time now, int slots,
                        const PerRank<bool>& waiting) noexcept {
  const Seconds elapsed = now - updated_;
  if (elapsed <= Seconds::zero()) {
    return;
  }
  updated_ = now;
  const double blend = 1.0 - std::exp(-elapsed / kMeanBusyTimeConstant);
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    Account& it = accounts_[i];
    const double guaranteed = it.share * slots;
    const double limit = guaranteed * kMaxCreditTime.count();
    it.mean_busy += blend * (it.busy - it.mean_busy);
    it.credit += (guaranteed - it.busy) * elapsed.count();
    it.credit = std::clamp(it.credit, -limit, waiting[i] ? limit : 0.0);
  }
}

void RankShares::OnSlotAcquired(core::Rank rank) noexcept {
  ++accounts_[IndexOf(rank)].busy;
}

void RankShares::OnSlotReleased(core::Rank rank) noexcept {
  int& busy = accounts_[IndexOf(rank)].busy;
  busy = std::max(0, busy - 1);
}

PerRank<core::Rank> RankShares::ServiceOrder() const noexcept {
  PerRank<core::Rank> order{core::Rank::kUrgent, core::Rank::kNormal,
                            core::Rank::kBackground};
  std::stable_partition(order.begin(), order.end(), [&](core::Rank it) {
    return accounts_[IndexOf(it)].credit > 0.0;
  });
  return order;
}

double RankShares::SlotsFor(core::Rank rank, int slots) const noexcept {
  const std::size_t own = IndexOf(rank);
  double remaining = slots;
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    const Account& it = accounts_[i];
    if (i < own) {
      remaining -= it.mean_busy;
    } else if (i > own) {
      remaining -= std::min(it.mean_busy, it.share * slots);
    }
  }
  return std::max({remaining, accounts_[own].share * slots, kMinSlots});
}

int RankShares::BusySlots(core::Rank rank) const noexcept {
  return accounts_[IndexOf(rank)].busy;
}

}  // namespace bambootack::dispatch
