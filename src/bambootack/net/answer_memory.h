#ifndef BAMBOOTACK_NET_ANSWER_MEMORY_H_
#define BAMBOOTACK_NET_ANSWER_MEMORY_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <set>
#include <utility>

namespace bambootack::net {

/// @brief Answers above this size take long to arrive on a slow link.
inline constexpr std::size_t kLargeBodyBytes = 32UL * 1024;

/// @brief Limits on the memory that answers take. A call that exceeds one ends
/// as `kInvalid`, and its connection is closed.
struct AnswerLimits {
  std::size_t body_bytes = 0;  ///< Body of one answer.
  /// Heads and bodies of all calls in flight. Large answers leave a quarter of
  /// it to the others.
  std::size_t total_body_bytes = std::numeric_limits<std::size_t>::max();
};

/// @brief Memory of the answers that a client receives. If it is short, an
/// answer that is not large takes the memory of the largest one, so that few
/// answers without end cannot displace many ordinary ones. Used on one thread.
class AnswerMemory {
 public:
  explicit AnswerMemory(AnswerLimits limits) : limits_(limits) {}

  [[nodiscard]] const AnswerLimits& Limits() const noexcept { return limits_; }

  /// @brief Memory of one answer, released at the end of its life.
  class Account {
   public:
    /// @param on_evicted Frees the answer, which gets no memory any more. Must
    /// not change an account.
    Account(AnswerMemory& memory, std::function<void()> on_evicted)
        : memory_(memory), on_evicted_(std::move(on_evicted)) {}
    ~Account() { memory_.Set(*this, 0); }
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// @brief Changes the memory of the answer.
    /// @return False, with nothing changed, if there is too little, or the
    /// answer was evicted.
    [[nodiscard]] bool Resize(std::size_t bytes) {
      return memory_.Resize(*this, bytes);
    }

    [[nodiscard]] bool IsEvicted() const noexcept { return evicted_; }

   private:
    friend class AnswerMemory;

    AnswerMemory& memory_;
    std::function<void()> on_evicted_;
    std::size_t bytes_ = 0;
    bool evicted_ = false;
  };

 private:
  [[nodiscard]] bool Resize(Account& account, std::size_t bytes);
  [[nodiscard]] bool EvictLargerThan(std::size_t bytes);
  void Set(Account& account, std::size_t bytes);

  AnswerLimits limits_;
  std::size_t used_ = 0;
  std::set<std::pair<std::size_t, Account*>> by_bytes_;  ///< Those in use.
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_ANSWER_MEMORY_H_
