#ifndef BAMBOOTACK_HEALTH_SUCCESS_RATE_H_
#define BAMBOOTACK_HEALTH_SUCCESS_RATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/health/evidence.h"

namespace bambootack::health {

/// @brief Baseline policy: at the end of each window, a server is unhealthy if
/// its success rate is more than 1.9 standard deviations below the mean.
/// It has the members of `Sequential`.
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
  /// @copydoc Sequential::ObserveInFlight
  [[nodiscard]] std::uint8_t ObserveInFlight(const InFlightRequest& request,
                                             core::Time now) noexcept;
  /// @copydoc Sequential::IsOverdue
  [[nodiscard]] bool IsOverdue(const InFlightRequest& request) const noexcept;
  /// @copydoc Sequential::OnTimer
  void OnTimer(core::Time now);
  /// @copydoc Sequential::IndicatesFault
  [[nodiscard]] bool IndicatesFault(const Evidence& evidence) const noexcept;
  /// @copydoc Sequential::NextToEject
  [[nodiscard]] std::optional<ServerIndex> NextToEject(
      core::Time now, const std::vector<bool>& exempt) const;
  /// @copydoc Sequential::NormalizedScore
  [[nodiscard]] double NormalizedScore(ServerIndex server) const noexcept;

 private:
  struct ServerData {
    bool active = true;
    bool unhealthy = false;
    double requests = 0.0;
    double successes = 0.0;
  };

  [[nodiscard]] static bool HasEnoughRequests(const ServerData& it) noexcept;
  void CloseWindow();

  std::vector<ServerData> servers_;
  core::Time window_end_{};
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_SUCCESS_RATE_H_
