#ifndef BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_
#define BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Schedule of a graceful shutdown: new requests are accepted for a
/// grace period, then refused; the process exits once it is idle, or at a time
/// limit.
class GracefulShutdown {
 public:
  /// @brief Begins the shutdown.
  /// @param grace How long new requests are still accepted, from `now`.
  /// @param limit Latest exit, from `now`.
  GracefulShutdown(core::Time now, core::Duration grace,
                   core::Duration limit) noexcept
      : refuse_at_(now + grace),
        idle_exit_at_(refuse_at_),
        exit_deadline_(now + limit) {}

  /// @brief Records the current number of requests in flight.
  void RecordInFlight(std::size_t in_flight, core::Time now) noexcept {
    if (in_flight > 0) {
      idle_exit_at_ = std::max(idle_exit_at_, now + kIdleTimeBeforeExit);
    }
  }

  /// @brief Whether the grace period is over.
  [[nodiscard]] bool RefusesNewRequests(core::Time now) const noexcept {
    return now >= refuse_at_;
  }

  /// @brief Whether the process should exit: the grace period is over and it
  /// has been idle for long enough, or the limit is reached.
  [[nodiscard]] bool IsComplete(core::Time now) const noexcept {
    return now >= ExitTime();
  }

  /// @brief Time of the next step, either the end of the grace period or the
  /// exit.
  [[nodiscard]] core::Time NextTimer(core::Time now) const noexcept {
    return RefusesNewRequests(now) ? ExitTime()
                                   : std::min(refuse_at_, exit_deadline_);
  }

 private:
  /// Idle time before the exit, in which the last answers are transmitted.
  static constexpr core::Duration kIdleTimeBeforeExit =
      std::chrono::milliseconds(200);

  [[nodiscard]] core::Time ExitTime() const noexcept {
    return std::min(idle_exit_at_, exit_deadline_);
  }

  core::Time refuse_at_;
  core::Time idle_exit_at_;
  core::Time exit_deadline_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_
