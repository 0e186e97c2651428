#ifndef BAMBOOTACK_WIRE_REPLAY_WINDOW_H_
#define BAMBOOTACK_WIRE_REPLAY_WINDOW_H_

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace bambootack::wire {

/// @brief Width of the window in sequence numbers. Datagrams may overtake each
/// other by less than this.
inline constexpr std::size_t kReplayWindow = 2048;

/// @brief Sequence numbers of one sender that have been accepted. Numbers below
/// the window count as accepted.
class ReplayWindow {
 public:
  /// @brief Accepts a sequence number once.
  /// @param sequence The number, from 1.
  /// @return False if it was accepted before or lies below the window.
  [[nodiscard]] bool Accept(std::uint64_t sequence) {
    if (sequence > highest_) {
      const std::uint64_t step = sequence - highest_;
      seen_ = step < kReplayWindow ? seen_ << static_cast<std::size_t>(step)
                                   : std::bitset<kReplayWindow>();
      highest_ = sequence;
      seen_.set(0);
      return true;
    }
    const std::uint64_t age = highest_ - sequence;
    if (sequence == 0 || age >= kReplayWindow ||
        seen_.test(static_cast<std::size_t>(age))) {
      return false;
    }
    seen_.set(static_cast<std::size_t>(age));
    return true;
  }

 private:
  std::uint64_t highest_ = 0;
  std::bitset<kReplayWindow> seen_;
};

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_REPLAY_WINDOW_H_
