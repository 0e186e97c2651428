#ifndef BAMBOOTACK_DISPATCH_RANK_SHARES_H_
#define BAMBOOTACK_DISPATCH_RANK_SHARES_H_

#include <array>

#include "bambootack/config/model.h"
#include "bambootack/core/rank.h"
#include "bambootack/core/time.h"

namespace bambootack::dispatch {

/// @brief Latency target and guaranteed share of every rank.
using RankPolicies = std::array<config::RankPolicy, core::kRankCount>;

/// @brief One value for each rank.
template <typename T>
using PerRank = std::array<T, core::kRankCount>;

/// @brief Accounts for the slot time of each rank, so that a rank with waiting
/// requests gets its guaranteed share even where that is a fraction of a slot.
class RankShares {
 public:
  void Configure(const RankPolicies& policies) noexcept;

  /// @brief Accounts for the time since the last call.
  /// @param slots Slots that may be used, over all servers.
  /// @param waiting Whether a rank has queued requests.
  void Update(core::Time now, int slots, const PerRank<bool>& waiting) noexcept;

  /// @brief Records that a request of the rank occupies a slot.
  void OnSlotAcquired(core::Rank rank) noexcept;

  /// @brief Records that a request of the rank freed its slot.
  void OnSlotReleased(core::Rank rank) noexcept;

  /// @brief Order in which the ranks are served: those below their guaranteed
  /// share first, then by urgency.
  [[nodiscard]] PerRank<core::Rank> ServiceOrder() const noexcept;

  /// @brief Slots that a rank gets while it has requests for all of them.
  /// @param slots Slots that may be used, over all servers.
  /// @return Fractional slots, above 0.
  [[nodiscard]] double SlotsFor(core::Rank rank, int slots) const noexcept;

  /// @brief Slots in use by requests of a rank.
  [[nodiscard]] int BusySlots(core::Rank rank) const noexcept;

 private:
  struct Account {
    double share = 0.0;
    int busy = 0;
    double mean_busy = 0.0;  ///< Exponentially weighted mean of `busy`.
    double credit = 0.0;     ///< Slot-seconds below (+) or above (-) the share.
  };

  PerRank<Account> accounts_;
  core::Time updated_{};
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_RANK_SHARES_H_
