#include "bambootack/core/hash.h"

#include <xxhash.h>

namespace bambootack::core {

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t RendezvousScore(std::uint64_t object, VmId vm) noexcept {
  const auto number = static_cast<std::uint32_t>(vm);
  return XXH3_64bits_withSeed(&number, sizeof(number), object);
}

PartitionId PartitionOf(std::string_view key) noexcept {
  return static_cast<PartitionId>(HashBytes(key) % kPartitionCount);
}

}  // namespace bambootack::core
