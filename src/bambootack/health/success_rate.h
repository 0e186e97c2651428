#ifndef BAMBOOTACK_HEALTH_SUCCESS_RATE_H_
#define BAMBOOTACK_HEALTH_SUCCESS_RATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/health/evidence.h"

namespace bambootack::health {

/// @brief Baseline policy: at the end of each window, a server is unhealthy if
/// its success rate lies more than 1.9 standard deviations under the mean.
/// Members as in `Sequential`.
class SuccessRate {
 public:
  /// @copydoc Sequential::Add
  void Add() { servers_.emplace_back(); }
  /// @copydoc Sequential::Remove
  void Remove(ServerIndex server);
  /// @copydoc Sequential::Activate
  void Activate(ServerIndex server);
  /// @copydoc Sequential::Deactivate
  void Deactivate(ServerIndex server, core::Time now);
  /// @copydoc Sequential::Observe
  void Observe(const Evidence& evidence);
  /// @copydoc Sequential::ObserveRunning
  [[nodiscard]] std::uint8_t ObserveRunning(const RunningRequest& request,
                                            core::Time now) noexcept;
  /// @copydoc Sequential::IsOverdue
  [[nodiscard]] bool IsOverdue(const RunningRequest& request) const noexcept;
  /// @copydoc Sequential::OnTimer
  void OnTimer(core::Time now);
  /// @copydoc Sequential::IsBad
  [[nodiscard]] bool IsBad(const Evidence& evidence) const noexcept;
  /// @copydoc Sequential::Worst
  [[nodiscard]] std::optional<ServerIndex> Worst(
      core::Time now, const std::vector<bool>& exempt) const;
  /// @copydoc Sequential::Suspicion
  [[nodiscard]] double Suspicion(ServerIndex server) const noexcept;

 private:
  struct Judged {
    bool active = true;
    bool unhealthy = false;
    double requests = 0.0;
    double successes = 0.0;
  };

  [[nodiscard]] static bool IsRated(const Judged& it) noexcept;
  void CloseWindow();

  std::vector<Judged> servers_;
  core::Time window_end_{};
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_SUCCESS_RATE_H_
