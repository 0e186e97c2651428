#include "bambootack/quota/return_schedule.h"

#include <algorithm>
#include <chrono>

namespace bambootack::quota {

core::Duration ReturnSchedule::Next(double rate, core::Time now) {
  const double min_rate =
      1.0 / std::chrono::duration<double>(kMaxReturnTime).count();
  const auto interval = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(1.0 / std::max(rate, min_rate)));
  const core::Time next = std::max(promised_until_, now) + interval;
  promised_until_ = next > now + kMaxReturnTime ? now + interval : next;
  return std::chrono::duration_cast<core::Duration>(promised_until_ - now);
}

}  // namespace bambootack::quota
