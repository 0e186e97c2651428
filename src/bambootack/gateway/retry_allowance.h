#ifndef BAMBOOTACK_GATEWAY_RETRY_ALLOWANCE_H_
#define BAMBOOTACK_GATEWAY_RETRY_ALLOWANCE_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Divides retries that a fleet may send beyond the ratio. Each part is
/// a whole number, because a part below one could never be spent, and the sum
/// of all parts is at most the total.
/// @param index Number of the part, below `parts`.
[[nodiscard]] inline double PartOfBurst(double total, std::size_t parts,
                                        std::size_t index) noexcept {
  const double whole = std::floor(std::max(0.0, total));
  const auto count = static_cast<double>(std::max<std::size_t>(1, parts));
  const double part = std::floor(whole / count);
  return part + (static_cast<double>(index) < whole - part * count ? 1.0 : 0.0);
}

/// @brief Limits retries to a ratio of recent first attempts plus a burst. In
/// any period it grants at most the burst and the credit of the first attempts
/// of that period and of one credit lifetime before it. A dispatcher with much
/// traffic can therefore retry at once without any part of the fleet's burst.
class RetryAllowance {
 public:
  /// @brief Sets the parameters. The first call also fills the burst.
  /// @param ratio Retries per first attempt; 0 allows none.
  /// @param burst Retries without recent first attempts.
  /// @param credit_lifetime How long the credit of a first attempt can be
  /// spent. Afterwards it refills the burst.
  void Configure(double ratio, double burst,
                 core::Duration credit_lifetime) noexcept {
    tokens_ = configured_ ? std::min(tokens_, burst) : burst;
    configured_ = true;
    ratio_ = ratio;
    burst_ = burst;
    slice_ = std::max(core::Duration(1),
                      credit_lifetime / static_cast<std::int64_t>(kSlices));
  }

  void RecordFirstAttempt(core::Time now) noexcept {
    ExpireCredit(now);
    credit_[current_ % kSlices] += ratio_;
  }

  /// @brief Takes one retry, from the oldest credit first.
  /// @return False if less than one retry is left.
  [[nodiscard]] bool TrySpend(core::Time now) noexcept {
    ExpireCredit(now);
    double available = tokens_;
    for (const double it : credit_) {
      available += it;
    }
    if (ratio_ <= 0.0 || available < 1.0) {
      return false;
    }
    double left = 1.0;
    for (std::uint64_t i = 1; i <= kSlices; ++i) {
      left -= Take(credit_[(current_ + i) % kSlices], left);
    }
    Take(tokens_, left);
    return true;
  }

 private:
  static constexpr std::uint64_t kSlices = 4;

  static double Take(double& source, double amount) noexcept {
    const double taken = std::min(source, amount);
    source -= taken;
    return taken;
  }

  void ExpireCredit(core::Time now) noexcept {
    const auto slice =
        static_cast<std::uint64_t>(now.time_since_epoch() / slice_);
    for (std::uint64_t i = 0; current_ < slice && i < kSlices; ++i) {
      ++current_;
      double& oldest = credit_[current_ % kSlices];
      tokens_ = std::min(burst_, tokens_ + oldest);
      oldest = 0.0;
    }
    current_ = std::max(current_, slice);
  }

  bool configured_ = false;
  double ratio_ = 0.0;
  double burst_ = 0.0;
  double tokens_ = 0.0;  ///< What is left of the burst.
  core::Duration slice_{1};
  std::uint64_t current_ = 0;             ///< Number of the current slice.
  std::array<double, kSlices> credit_{};  ///< By slice number modulo `kSlices`.
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_RETRY_ALLOWANCE_H_
