#ifndef BAMBOOTACK_CORE_HASH_H_
#define BAMBOOTACK_CORE_HASH_H_

#include <cstdint>
#include <string_view>

#include "bambootack/core/ids.h"

namespace bambootack::core {

/// @brief 64-bit xxHash of bytes.
/// @param bytes The bytes.
/// @param seed Seed of the hash.
/// @return The hash.
[[nodiscard]] std::uint64_t HashBytes(std::string_view bytes,
                                      std::uint64_t seed = 0) noexcept;

/// @brief Score of a VM for an object in rendezvous hashing; the highest wins.
/// @param object Hash of the object.
/// @param vm The VM.
/// @return The score.
[[nodiscard]] std::uint64_t RendezvousScore(std::uint64_t object,
                                            VmId vm) noexcept;

/// @brief Partition of an idempotency key.
/// @param key Canonical text of the key.
/// @return The partition.
[[nodiscard]] PartitionId PartitionOf(std::string_view key) noexcept;

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_HASH_H_
