#ifndef BAMBOOTACK_CORE_IDS_H_
#define BAMBOOTACK_CORE_IDS_H_

#include <compare>
#include <cstdint>

#include "bambootack/core/partition_count.h"

namespace bambootack::core {

/// @brief Number that the platform gives to a VM. Zero is no VM.
enum class VmId : std::uint32_t {};

/// @brief No VM.
inline constexpr VmId kNoVm{0};

/// @brief Number of a membership view: the position of its record in the log.
enum class ViewNumber : std::uint64_t {};

/// @brief Start number of a process on a VM. A later start has a higher number.
enum class Incarnation : std::uint64_t {};

/// @brief Partition of the idempotency key space.
enum class PartitionId : std::uint16_t {};

/// @brief Number of a request as given by the HTTP server; never reused.
enum class CallerId : std::uint64_t {};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_IDS_H_
