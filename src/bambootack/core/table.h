#ifndef BAMBOOTACK_CORE_TABLE_H_
#define BAMBOOTACK_CORE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "bambootack/core/handle.h"

namespace bambootack::core {

/// @brief Dense table with versioned handles.
/// Rows lie side by side for iteration; erasing moves the last row into the
/// gap.
/// @tparam T Type of a row.
template <typename T>
class Table {
 public:
  /// @brief A row together with its handle.
  struct Row {
    Handle handle;
    T value;
  };

  /// @brief Adds a row.
  /// @param value The new row.
  /// @return Its handle.
  Handle Insert(T value) {
    const std::uint32_t index = TakeIndex();
    Slot& slot = slots_[index];
    slot.position = static_cast<std::uint32_t>(rows_.size());
    slot.used = true;
    const Handle handle{index, slot.version};
    rows_.push_back(Row{handle, std::move(value)});
    return handle;
  }

  /// @brief Finds a row.
  /// @param handle Handle of the row.
  /// @return The row, or null if it has been erased.
  [[nodiscard]] T* Find(Handle handle) noexcept {
    return Contains(handle) ? &rows_[slots_[handle.index].position].value
                            : nullptr;
  }

  /// @copydoc Find
  [[nodiscard]] const T* Find(Handle handle) const noexcept {
    return Contains(handle) ? &rows_[slots_[handle.index].position].value
                            : nullptr;
  }

  /// @brief Tells whether a handle refers to a row.
  /// @param handle Handle to test.
  /// @return True if the row exists.
  [[nodiscard]] bool Contains(Handle handle) const noexcept {
    return handle.index < slots_.size() && slots_[handle.index].used &&
           slots_[handle.index].version == handle.version;
  }

  /// @brief Erases a row. Erasing an absent row has no effect.
  /// @param handle Handle of the row.
  /// @return True if a row was erased.
  bool Erase(Handle handle) {
    if (!Contains(handle)) {
      return false;
    }
    Slot& slot = slots_[handle.index];
    const std::uint32_t position = slot.position;
    if (position + 1 != rows_.size()) {
      rows_[position] = std::move(rows_.back());
      slots_[rows_[position].handle.index].position = position;
    }
    rows_.pop_back();
    slot.used = false;
    ++slot.version;
    free_.push_back(handle.index);
    return true;
  }

  /// @brief Number of rows.
  /// @return The count.
  [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

  /// @brief Tells whether the table has no rows.
  /// @return True if empty.
  [[nodiscard]] bool empty() const noexcept { return rows_.empty(); }

  /// @brief First row in table order.
  /// @return Iterator.
  [[nodiscard]] auto begin() noexcept { return rows_.begin(); }
  /// @brief End of the rows.
  /// @return Iterator.
  [[nodiscard]] auto end() noexcept { return rows_.end(); }
  /// @copydoc begin
  [[nodiscard]] auto begin() const noexcept { return rows_.begin(); }
  /// @copydoc end
  [[nodiscard]] auto end() const noexcept { return rows_.end(); }

 private:
  struct Slot {
    std::uint32_t position = 0;
    std::uint32_t version = 1;
    bool used = false;
  };

  std::uint32_t TakeIndex() {
    if (free_.empty()) {
      slots_.emplace_back();
      return static_cast<std::uint32_t>(slots_.size() - 1);
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    return index;
  }

  std::vector<Row> rows_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_TABLE_H_
