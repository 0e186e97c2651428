#ifndef BAMBOOTACK_CORE_PARTITION_COUNT_H_
#define BAMBOOTACK_CORE_PARTITION_COUNT_H_

#include <cstdint>

namespace bambootack::core {

/// @brief Number of partitions of the key space.
inline constexpr std::uint32_t kPartitionCount = 16'384;

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_PARTITION_COUNT_H_
