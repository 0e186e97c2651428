#ifndef BAMBOOTACK_CORE_RANK_H_
#define BAMBOOTACK_CORE_RANK_H_

#include <cstddef>
#include <cstdint>

#include "bambootack/core/enum_names.h"

namespace bambootack::core {

/// @brief Priority class of a request, most urgent first.
enum class Rank : std::uint8_t { kUrgent, kNormal, kBackground };

/// @brief Number of ranks.
inline constexpr std::size_t kRankCount = 3;

/// @brief Names of the ranks in tickets and reports.
inline constexpr EnumNames<Rank, kRankCount> kRankNames{
    {"urgent", "normal", "background"}};

/// @brief Whether an operation may be run more than once.
enum class OperationKind : std::uint8_t { kRepeatable, kAtMostOnce };

/// @brief Names of the operation kinds in tickets.
inline constexpr EnumNames<OperationKind, 2> kOperationKindNames{
    {"repeatable", "at-most-once"}};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_RANK_H_
