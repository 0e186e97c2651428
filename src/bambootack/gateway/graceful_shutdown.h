#ifndef BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_
#define BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Course of a graceful shutdown: every request is accepted at first,
/// later only those that end in time.
struct ShutdownSchedule {
  core::Time accept_until{};  ///< Until then every new request is accepted.
  core::Time answer_by{};     ///< Until then every request has its answer.
  core::Time exit_by{};       ///< Latest exit.

  /// @brief Whether a new request is accepted.
  /// @param deadline Time at which it has an answer in any case.
  [[nodiscard]] constexpr bool Accepts(core::Time deadline,
                                       core::Time now) const noexcept {
    return now < accept_until || deadline <= answer_by;
  }
};

/// @brief Plans a shutdown. The balancer needs two checks, a second apart, to
/// notice a VM that is not ready. Requests that servers are still executing are
/// answered as late as possible; the last 16th of the grace delivers these
/// answers.
/// @param grace Time until the process is killed.
[[nodiscard]] constexpr ShutdownSchedule PlanShutdown(
    core::Time now, core::Duration grace) noexcept {
  constexpr core::Duration kBalancerDelay = std::chrono::milliseconds(2500);
  return {now + std::min(kBalancerDelay, grace * 5 / 12), now + grace * 15 / 16,
          now + grace * 31 / 32};
}

/// @brief Decides when a process exits that shuts down: once requests are no
/// longer accepted in any case and it is idle, or at a time limit.
class GracefulShutdown {
 public:
  explicit GracefulShutdown(const ShutdownSchedule& schedule) noexcept
      : accept_until_(schedule.accept_until),
        idle_exit_at_(schedule.accept_until),
        exit_by_(schedule.exit_by) {}

  /// @brief Records the current number of requests whose answers are not
  /// transmitted completely.
  void RecordInFlight(std::size_t in_flight, core::Time now) noexcept {
    if (in_flight > 0) {
      idle_exit_at_ = std::max(idle_exit_at_, now + kIdleTimeBeforeExit);
    }
  }

  /// @brief Whether the process should exit.
  [[nodiscard]] bool IsComplete(core::Time now) const noexcept {
    return now >= ExitTime();
  }

  /// @brief Time of the next step, either the end of the acceptance or the
  /// exit.
  [[nodiscard]] core::Time NextTimer(core::Time now) const noexcept {
    return now < accept_until_ ? std::min(accept_until_, exit_by_) : ExitTime();
  }

 private:
  /// Idle time before the exit, in which the last answers are transmitted.
  static constexpr core::Duration kIdleTimeBeforeExit =
      std::chrono::milliseconds(200);

  [[nodiscard]] core::Time ExitTime() const noexcept {
    return std::min(idle_exit_at_, exit_by_);
  }

  core::Time accept_until_;
  core::Time idle_exit_at_;
  core::Time exit_by_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_
