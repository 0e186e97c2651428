#ifndef BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_
#define BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Course of a planned stop: new requests are taken for a grace time,
/// then refused; the process ends once it is idle, or at a limit.
class GracefulShutdown {
 public:
  /// @brief Begins the stop.
  /// @param now Current time.
  /// @param grace How long new requests are still taken.
  /// @param limit When the process ends at the latest, after `now`.
  GracefulShutdown(core::Time now, core::Duration grace,
                   core::Duration limit) noexcept
      : refuse_at_(now + grace),
        idle_until_(refuse_at_),
        end_at_(now + limit) {}

  /// @brief Notes the requests in flight.
  /// @param in_flight Their number.
  /// @param now Current time.
  void RecordInFlight(std::size_t in_flight, core::Time now) noexcept {
    if (in_flight > 0) {
      idle_until_ = std::max(idle_until_, now + kLinger);
    }
  }

  /// @brief Tells whether new requests are refused.
  /// @param now Current time.
  /// @return True after the grace time.
  [[nodiscard]] bool RefusesNewRequests(core::Time now) const noexcept {
    return now >= refuse_at_;
  }

  /// @brief Tells whether the process is to end.
  /// @param now Current time.
  /// @return True once the process has been idle, or at the limit.
  [[nodiscard]] bool IsComplete(core::Time now) const noexcept {
    return now >= NextEnd();
  }

  /// @brief When the next step is due.
  /// @param now Current time.
  /// @return The time.
  [[nodiscard]] core::Time NextTimer(core::Time now) const noexcept {
    return RefusesNewRequests(now) ? NextEnd() : std::min(refuse_at_, end_at_);
  }

 private:
  /// Time without requests before the end, in which the last answers leave the
  /// sockets.
  static constexpr core::Duration kLinger = std::chrono::milliseconds(200);

  [[nodiscard]] core::Time NextEnd() const noexcept {
    return std::min(idle_until_, end_at_);
  }

  core::Time refuse_at_;
  core::Time idle_until_;
  core::Time end_at_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_GRACEFUL_SHUTDOWN_H_
