#ifndef BAMBOOTACK_CORE_TIME_H_
#define BAMBOOTACK_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace bambootack::core {

/// @brief Length of time used by every decision.
using Duration = std::chrono::microseconds;

/// @brief Clock type of monotonic time points. It has no `now`: the caller of a
/// decision passes the time in, so that tests can run in virtual time.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

/// @brief Monotonic time of one process. Never compared between processes.
using Time = MonotonicClock::time_point;

/// @brief Calendar time in milliseconds, compared with the time inside a
/// UUIDv7.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// @brief Converts a duration to whole milliseconds.
/// @param value The duration.
/// @return Milliseconds, rounded down.
[[nodiscard]] constexpr std::int64_t ToMilliseconds(Duration value) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_TIME_H_
