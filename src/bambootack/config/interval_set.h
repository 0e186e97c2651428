#ifndef BAMBOOTACK_CONFIG_INTERVAL_SET_H_
#define BAMBOOTACK_CONFIG_INTERVAL_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>

namespace bambootack::config {

/// @brief Set of numbers kept as disjoint ranges, so that numbers without gaps
/// take constant space.
class IntervalSet {
 public:
  /// @brief First and last number of each range.
  using Ranges = std::map<std::uint64_t, std::uint64_t>;

  /// @brief Adds a range.
  /// @param first Its first number.
  /// @param last Its last number, at least `first`.
  void Insert(std::uint64_t first, std::uint64_t last);

  /// @brief Adds every number of another set.
  /// @param other The other set.
  void InsertAll(const IntervalSet& other);

  /// @brief Closes the lowest gaps until few enough ranges are left.
  /// @param max_ranges Most ranges to keep, at least 1.
  void Compact(std::size_t max_ranges);

  /// @brief Tells whether a number is in the set.
  /// @param number The number.
  /// @return True if so.
  [[nodiscard]] bool Contains(std::uint64_t number) const noexcept;

  /// @brief Highest number.
  /// @return The number, 0 for an empty set.
  [[nodiscard]] std::uint64_t Highest() const noexcept {
    return ranges_.empty() ? 0 : ranges_.rbegin()->second;
  }

  /// @brief Tells whether the set has no numbers.
  /// @return True if empty.
  [[nodiscard]] bool empty() const noexcept { return ranges_.empty(); }

  /// @brief The ranges, for hashing and transfer.
  /// @return The ranges in ascending order.
  [[nodiscard]] const Ranges& All() const noexcept { return ranges_; }

  friend bool operator==(const IntervalSet&, const IntervalSet&) = default;

 private:
  Ranges ranges_;
};

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_INTERVAL_SET_H_
