#ifndef BAMBOOTACK_LOG_LINE_LIMITER_H_
#define BAMBOOTACK_LOG_LINE_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "bambootack/core/time.h"
#include "bambootack/log/event.h"

namespace bambootack::log {

/// @brief Lines in one window of an event that a fault repeats.
inline constexpr std::uint64_t kLinesPerWindow = 10;

/// @brief Lines in one window of an event of each request. A VM serves some ten
/// requests a second; under a flood the log keeps this rate.
inline constexpr std::uint64_t kRequestLinesPerWindow = 50;

/// @brief Length of a window. For events that a fault repeats it doubles while
/// lines are held back.
inline constexpr core::Duration kShortestWindow = std::chrono::seconds(1);
inline constexpr core::Duration kLongestWindow = std::chrono::seconds(64);

/// @brief Holds back lines of events that a fault can repeat for each request,
/// so that a fault does not fill the log.
class LineLimiter {
 public:
  /// @brief Decides whether a line is written.
  /// @param id Its event; those without a limit are never held back.
  /// @param now Current time.
  /// @return Lines held back since the last one written, or nothing if this
  /// line is held back.
  [[nodiscard]] std::optional<std::uint64_t> Admit(EventId id, core::Time now);

 private:
  struct Window {
    core::Time start{};
    core::Duration length = kShortestWindow;
    std::uint64_t lines = 0;
    std::uint64_t held_back = 0;
  };

  static void Renew(Window& window, bool back_off, core::Time now);

  std::map<EventId, Window> windows_;
};

}  // namespace bambootack::log

#endif  // BAMBOOTACK_LOG_LINE_LIMITER_H_
