#ifndef BAMBOOTACK_WIRE_ENUM_LIMITS_H_
#define BAMBOOTACK_WIRE_ENUM_LIMITS_H_

#include <cstdint>
#include <limits>

#include "bambootack/core/error_kind.h"
#include "bambootack/core/ids.h"
#include "bambootack/core/outcome.h"
#include "bambootack/core/rank.h"
#include "bambootack/wire/messages.h"

// Ranges of the enumerations in messages. Included by the codec only. An
// enumeration without an entry does not compile in a message.

namespace bambootack::wire {

/// @brief Number of values of an enumeration in a message; larger ones are
/// refused by the decoder.
/// @tparam E The enumeration.
template <typename E>
struct EnumLimit;

/// @brief Limit of ids, for which every number is valid.
struct AnyValue {
  static constexpr std::uint64_t kCount =
      std::numeric_limits<std::uint64_t>::max();
};

/// @brief Limit of a table of names.
/// @tparam E The enumeration.
/// @tparam N Number of names.
/// @return The number of values.
template <typename E, std::size_t N>
constexpr std::uint64_t CountOf(const core::EnumNames<E, N>& /*names*/) {
  return N;
}

template <>
struct EnumLimit<core::VmId> : AnyValue {};
template <>
struct EnumLimit<core::ViewNumber> : AnyValue {};
template <>
struct EnumLimit<core::Incarnation> : AnyValue {};
template <>
struct EnumLimit<core::PartitionId> {
  static constexpr std::uint64_t kCount = core::kPartitionCount;
};
template <>
struct EnumLimit<core::Outcome> {
  static constexpr std::uint64_t kCount = CountOf(core::kOutcomeNames);
};
template <>
struct EnumLimit<core::ErrorKind> {
  static constexpr auto kCount =
      static_cast<std::uint64_t>(core::ErrorKind::kCount);
};
template <>
struct EnumLimit<core::Rank> {
  static constexpr std::uint64_t kCount = CountOf(core::kRankNames);
};
template <>
struct EnumLimit<core::OperationKind> {
  static constexpr std::uint64_t kCount = CountOf(core::kOperationKindNames);
};
template <>
struct EnumLimit<RunState> {
  static constexpr std::uint64_t kCount = CountOf(kRunStateNames);
};
template <>
struct EnumLimit<RequesterRole> {
  static constexpr std::uint64_t kCount = 2;
};

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_ENUM_LIMITS_H_
