#ifndef STANDIN_COMMON_JOURNAL_H_
#define STANDIN_COMMON_JOURNAL_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace standin {

/// @brief Counts how often each operation ran, by its key. Kept in memory and
/// read over HTTP, so that doubles are counted from the outside.
class Journal {
 public:
  /// @brief Records one run.
  /// @param key Idempotency key.
  void Add(const std::string& key) {
    const std::scoped_lock lock(mutex_);
    ++runs_[key];
  }

  /// @brief All runs.
  /// @return One line "key count" for each key.
  [[nodiscard]] std::string Text() const {
    const std::scoped_lock lock(mutex_);
    std::string text;
    for (const auto& [key, n] : runs_) {
      text += key + " " + std::to_string(n) + "\n";
    }
    return text;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> runs_;
};

}  // namespace standin

#endif  // STANDIN_COMMON_JOURNAL_H_
