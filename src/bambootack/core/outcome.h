#ifndef BAMBOOTACK_CORE_OUTCOME_H_
#define BAMBOOTACK_CORE_OUTCOME_H_

#include <cstdint>

#include "bambootack/core/enum_names.h"

namespace bambootack::core {

/// @brief What an answer says about the operation.
enum class Outcome : std::uint8_t {
  kDone,     ///< A backend server completed it and this is its answer.
  kNotRun,   ///< It did not run and never will under this key.
  kUnknown,  ///< Neither of the above is proven.
};

/// @brief Values of the `Bambootack-Outcome` header.
inline constexpr EnumNames<Outcome, 3> kOutcomeNames{
    {"done", "not-run", "unknown"}};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_OUTCOME_H_
