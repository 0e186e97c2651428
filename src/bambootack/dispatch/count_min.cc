#include "bambootack/dispatch/count_min.h"

#include <cstdint>

#include "bambootack/core/hash.h"

namespace bambootack::dispatch {

SketchCells CellsOf(std::string_view customer) noexcept {
  constexpr unsigned kBitsPerRow = 16;
  static_assert(kSketchRows * kBitsPerRow == 64);
  std::uint64_t hash = core::HashBytes(customer);
  SketchCells cells;
  for (std::size_t row = 0; row < kSketchRows; ++row) {
    cells[row] = row * kSketchWidth + hash % kSketchWidth;
    hash >>= kBitsPerRow;
  }
  return cells;
}

}  // namespace bambootack::dispatch
