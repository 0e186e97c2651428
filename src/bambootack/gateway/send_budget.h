#ifndef BAMBOOTACK_GATEWAY_SEND_BUDGET_H_
#define BAMBOOTACK_GATEWAY_SEND_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Limits the bytes that a VM sends, so that they do not delay its other
/// messages. A token bucket, represented by the time at which it is full.
class SendBudget {
 public:
  /// @param bytes_per_second Sustained rate.
  /// @param burst_bytes Bytes that may be sent at once.
  constexpr SendBudget(std::uint64_t bytes_per_second,
                       std::uint64_t burst_bytes) noexcept
      : bytes_per_second_(bytes_per_second), burst_bytes_(burst_bytes) {}

  /// @brief Spends bytes while the bucket is not empty, so that a message
  /// larger than the burst is sent as well, and delays later ones.
  /// @return False if the bucket is empty.
  [[nodiscard]] bool TrySpend(std::size_t bytes, core::Time now) noexcept {
    const core::Time start = std::max(now, full_at_);
    if (start - now >= TimeFor(burst_bytes_)) {
      return false;
    }
    full_at_ = start + TimeFor(bytes);
    return true;
  }

  /// @brief Spends bytes only if the bucket holds all of them.
  /// @return False if nothing was spent.
  [[nodiscard]] bool TrySpendWhole(std::size_t bytes, core::Time now) noexcept {
    const core::Time start = std::max(now, full_at_);
    return start - now + TimeFor(bytes) <= TimeFor(burst_bytes_) &&
           TrySpend(bytes, now);
  }

 private:
  [[nodiscard]] constexpr core::Duration TimeFor(
      std::uint64_t bytes) const noexcept {
    constexpr std::uint64_t kMicrosPerSecond = 1'000'000;
    return core::Duration(static_cast<core::Duration::rep>(
        bytes * kMicrosPerSecond / bytes_per_second_));
  }

  std::uint64_t bytes_per_second_;
  std::uint64_t burst_bytes_;
  core::Time full_at_{};
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SEND_BUDGET_H_
