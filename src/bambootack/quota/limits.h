#ifndef BAMBOOTACK_QUOTA_LIMITS_H_
#define BAMBOOTACK_QUOTA_LIMITS_H_

#include <cstdint>
#include <string_view>

#include "bambootack/core/hash.h"
#include "bambootack/core/time.h"

namespace bambootack::quota {

/// @brief Customers are divided into this many shards, each with an owner of
/// its own. VMs renew a lease for each shard, so that few shards cost few
/// messages; with eight of them, an owner answers about a hundred requests/s
/// for a fleet that serves 800.
inline constexpr std::uint32_t kShards = 8;

/// @brief Shard of a customer.
[[nodiscard]] inline std::uint32_t ShardOf(std::string_view customer) {
  return static_cast<std::uint32_t>(core::HashBytes(customer) % kShards);
}

/// @brief Time for which a share is lent. A new owner holds the shares of a
/// lost one after this time at the latest.
inline constexpr core::Duration kLease = std::chrono::seconds(4);

/// @brief A lender without requests renews its lease after this time. Two
/// renewals may be lost.
inline constexpr core::Duration kRenewalTime = std::chrono::milliseconds(1300);

/// @brief What the platform tolerates beyond the rate and the burst of a
/// customer in one window.
struct Tolerance {
  double overshoot = 0.1;  ///< As a part of the quota.
  double slack = 20.0;     ///< Requests beyond that.
};

/// @brief Quota of a customer.
struct Quota {
  double rate = 0.0;   ///< Requests per second.
  double burst = 0.0;  ///< Requests beyond the rate at one moment.

  friend bool operator==(const Quota&, const Quota&) = default;
};

}  // namespace bambootack::quota

#endif  // BAMBOOTACK_QUOTA_LIMITS_H_
