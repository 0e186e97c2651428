#ifndef BAMBOOTACK_DISPATCH_COUNT_MIN_H_
#define BAMBOOTACK_DISPATCH_COUNT_MIN_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace bambootack::dispatch {

/// @brief Rows of a sketch. An estimate is too high only if other customers
/// collide with the customer in every row.
inline constexpr std::size_t kSketchRows = 4;

/// @brief Cells in each row.
inline constexpr std::size_t kSketchWidth = 1024;

/// @brief Indexes of one customer's cells in a sketch, one for each row.
using SketchCells = std::array<std::size_t, kSketchRows>;

/// @brief Hashes a customer to its cells.
[[nodiscard]] SketchCells CellsOf(std::string_view customer) noexcept;

/// @brief Count-min sketch of one non-negative number for each customer. An
/// estimate is never below the customer's own number.
class CountMin {
 public:
  /// @brief Estimates a customer's number.
  /// @return The minimum of the customer's cells; 0 before the first `Raise`.
  [[nodiscard]] double Estimate(const SketchCells& cells) const noexcept {
    if (values_.empty()) {
      return 0.0;
    }
    double least = values_[cells[0]];
    for (const std::size_t it : cells) {
      least = std::min(least, values_[it]);
    }
    return least;
  }

  /// @brief Raises a customer's number (conservative update).
  /// @param value New number; cells with a higher value are not changed.
  void Raise(const SketchCells& cells, double value) {
    // Allocated on first use: a group without requests of a rank needs no
    // cells.
    if (values_.empty()) {
      values_.resize(kSketchRows * kSketchWidth, 0.0);
    }
    for (const std::size_t it : cells) {
      values_[it] = std::max(values_[it], value);
    }
  }

  /// @brief Multiplies every cell by a factor.
  void Scale(double factor) noexcept {
    for (double& it : values_) {
      it *= factor;
    }
  }

 private:
  std::vector<double> values_;  ///< Empty until the first `Raise`.
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_COUNT_MIN_H_
