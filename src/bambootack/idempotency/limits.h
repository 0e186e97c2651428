#ifndef BAMBOOTACK_IDEMPOTENCY_LIMITS_H_
#define BAMBOOTACK_IDEMPOTENCY_LIMITS_H_

#include <cstddef>

#include "bambootack/core/time.h"

namespace bambootack::idempotency {

/// @brief Clock error allowed between a caller and a VM and between two VMs.
inline constexpr core::Duration kMaxClockSkew = std::chrono::seconds(2);

/// @brief A key older than this without a record is `unknown`.
inline constexpr core::Duration kRetention = std::chrono::minutes(30);

/// @brief Time for which a record is kept after its completion. A key may carry
/// a time up to one margin ahead of its first owner's clock, and a later
/// owner's clock may be one margin behind. With the bare retention time the
/// record could go while the key still counts as young enough to run.
inline constexpr core::Duration kRecordLifetime =
    kRetention + 2 * kMaxClockSkew;

/// @brief Added to the time at which an owner ended: a key that it has run
/// carries a time at most one margin ahead of its clock, which is at most one
/// margin ahead of the clock of the record's writer.
inline constexpr core::Duration kRecordLossMargin = 2 * kMaxClockSkew;

/// @brief KeyTableLimits on what an owner stores. With 55 VMs, 250,000 records
/// in 30 min allow 7,600 at-most-once operations per second; both limits
/// together stay within half of the 256 MB for control state.
struct KeyTableLimits {
  std::size_t max_records = 250'000;
  std::size_t max_records_per_partition = 4'096;
  std::size_t max_answer_bytes = 64 * 1024 * 1024;
};

}  // namespace bambootack::idempotency

#endif  // BAMBOOTACK_IDEMPOTENCY_LIMITS_H_
