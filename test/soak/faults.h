#ifndef TEST_SOAK_FAULTS_H_
#define TEST_SOAK_FAULTS_H_

#include <span>
#include <string_view>

#include "soak/world.h"

namespace soak {

/// @brief A kind of fault, with targets and times drawn from the seed.
struct FaultKind {
  std::string_view name;
  void (*begin)(World& world);
};

/// @brief All kinds of faults.
/// @return The kinds.
[[nodiscard]] std::span<const FaultKind> FaultKinds() noexcept;

}  // namespace soak

#endif  // TEST_SOAK_FAULTS_H_
