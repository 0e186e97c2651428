#ifndef BAMBOOTACK_IDEMPOTENCY_LIMITS_H_
#define BAMBOOTACK_IDEMPOTENCY_LIMITS_H_

#include <cstddef>

#include "bambootack/core/time.h"

namespace bambootack::idempotency {

/// @brief Largest tolerated clock difference between a caller and a VM and
/// between two VMs.
inline constexpr core::Duration kMaxClockSkew = std::chrono::seconds(2);

/// @brief A key older than this that has no record is `unknown`.
inline constexpr core::Duration kRetention = std::chrono::minutes(30);

/// @brief Time for which a record is kept after its completion. The timestamp
/// in a key may be up to one `kMaxClockSkew` ahead of its first owner's clock,
/// and the clock of a later owner may be one `kMaxClockSkew` behind. With only
/// `kRetention` the record could expire while the key is still young enough to
/// be executed.
inline constexpr core::Duration kRecordLifetime =
    kRetention + 2 * kMaxClockSkew;

/// @brief Added to the time at which an owner ended: the timestamp in a key
/// that it executed is at most one `kMaxClockSkew` ahead of its clock, which is
/// at most one `kMaxClockSkew` ahead of the clock of the record's writer.
inline constexpr core::Duration kRecordLossMargin = 2 * kMaxClockSkew;

/// @brief Limits on the records that an owner stores. With 55 VMs, 250,000
/// records in 30 min allow 7,600 at-most-once operations per second. The limits
/// on records and on answers together take at most half of the 256 MB for
/// control state.
struct KeyTableLimits {
  std::size_t max_records = 250'000;
  std::size_t max_records_per_partition = 4'096;
  std::size_t max_answer_bytes = 64 * 1024 * 1024;
};

}  // namespace bambootack::idempotency

#endif  // BAMBOOTACK_IDEMPOTENCY_LIMITS_H_
