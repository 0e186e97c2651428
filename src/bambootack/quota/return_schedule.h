#ifndef BAMBOOTACK_QUOTA_RETURN_SCHEDULE_H_
#define BAMBOOTACK_QUOTA_RETURN_SCHEDULE_H_

#include "bambootack/core/time.h"

namespace bambootack::quota {

/// @brief Callers return after a third of their remaining time at the latest, a
/// few seconds. Longer waits are not promised.
inline constexpr core::Duration kMaxReturnTime = std::chrono::seconds(4);

/// @brief Spreads the times at which refused callers are told to return.
class ReturnSchedule {
 public:
  /// @brief Promises the next time, one interval after the last one. A promise
  /// beyond `kMaxReturnTime` starts over.
  /// @param rate Callers per second.
  /// @return Time until the caller should return.
  [[nodiscard]] core::Duration Next(double rate, core::Time now);

 private:
  core::Time promised_until_{};
};

}  // namespace bambootack::quota

#endif  // BAMBOOTACK_QUOTA_RETURN_SCHEDULE_H_
