#ifndef BAMBOOTACK_HEALTH_POLICY_H_
#define BAMBOOTACK_HEALTH_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/time.h"
#include "bambootack/health/consecutive.h"
#include "bambootack/health/evidence.h"
#include "bambootack/health/sequential.h"
#include "bambootack/health/success_rate.h"

namespace bambootack::health {

/// @brief Methods of deciding that a server is unhealthy.
enum class PolicyKind : std::uint8_t {
  kSequential,
  kConsecutive,
  kSuccessRate
};

/// @brief Names of the policies in settings and reports.
inline constexpr core::EnumNames<PolicyKind, 3> kPolicyKindNames{
    {"sequential", "consecutive", "success-rate"}};

/// @brief An ejection policy. All alternatives have the members of
/// `Sequential`, which documents them.
using Policy = std::variant<Sequential, Consecutive, SuccessRate>;

[[nodiscard]] Policy MakePolicy(PolicyKind kind);

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_POLICY_H_
