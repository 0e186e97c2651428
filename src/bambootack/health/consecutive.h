#ifndef BAMBOOTACK_HEALTH_CONSECUTIVE_H_
#define BAMBOOTACK_HEALTH_CONSECUTIVE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/health/evidence.h"

namespace bambootack::health {

/// @brief Baseline policy: a server is unhealthy after a fixed number of
/// failures in a row. Members as in `Sequential`.
class Consecutive {
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
  void OnTimer(core::Time now) noexcept;
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
    int failures = 0;  ///< In a row.
  };

  std::vector<Judged> servers_;
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_CONSECUTIVE_H_
