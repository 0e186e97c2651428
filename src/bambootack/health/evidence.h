#ifndef BAMBOOTACK_HEALTH_EVIDENCE_H_
#define BAMBOOTACK_HEALTH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/time.h"

namespace bambootack::health {

/// @brief How an attempt on a backend server ended.
enum class EvidenceKind : std::uint8_t {
  kSuccess,      ///< A complete response other than 4xx and 5xx.
  kError,        ///< A 5xx or an invalid response.
  kTimeout,      ///< No complete response within the time limit.
  kReset,        ///< The connection broke after it was established.
  kRefused,      ///< No connection was established.
  kClientError,  ///< 4xx: the request is at fault, not the server.
  kShed,         ///< Refused by the server before executing it.
  kDraining,     ///< Refused because the server is leaving.
};

inline constexpr std::size_t kEvidenceKindCount = 8;

/// @brief Names of the kinds in reports.
inline constexpr core::EnumNames<EvidenceKind, kEvidenceKindCount>
    kEvidenceKindNames{{"success", "error", "timeout", "reset", "refused",
                        "client-error", "shed", "draining"}};

/// @brief Index of a server within a policy, without gaps.
using ServerIndex = std::size_t;

/// @brief Index of a route within a group, without gaps.
using RouteIndex = std::size_t;

/// @brief Result of one attempt on one server.
struct Evidence {
  ServerIndex server = 0;
  RouteIndex route = 0;
  EvidenceKind kind = EvidenceKind::kSuccess;
  core::Duration elapsed{};
  core::Time at{};
  /// Bit set of the signals that `Policy::ObserveInFlight` has counted already.
  std::uint8_t counted_signals = 0;
};

/// @brief An attempt that has not ended yet.
struct InFlightRequest {
  ServerIndex server = 0;
  RouteIndex route = 0;
  core::Duration elapsed{};
  std::uint8_t counted_signals = 0;
};

/// @return Factor on the log-likelihood ratio of a failure of this kind; 0 for
/// a success and for kinds that are not evidence.
[[nodiscard]] double FailureWeight(EvidenceKind kind) noexcept;

/// @return True if the kind reflects the server's health: all but 4xx and
/// explicit refusals.
[[nodiscard]] bool IsEvidence(EvidenceKind kind) noexcept;

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_EVIDENCE_H_
