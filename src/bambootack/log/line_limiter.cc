#include "bambootack/log/line_limiter.h"

#include <algorithm>
#include <utility>

namespace bambootack::log {

std::optional<std::uint64_t> LineLimiter::Admit(EventId id, core::Time now) {
  const LineLimit limit = InfoOf(id).limit;
  if (limit == LineLimit::kNone) {
    return 0;
  }
  const bool back_off = limit == LineLimit::kFault;
  Window& window = windows_[id];
  if (now >= window.start + window.length) {
    Renew(window, back_off, now);
  }
  if (++window.lines > (back_off ? kLinesPerWindow : kRequestLinesPerWindow)) {
    ++window.held_back;
    return std::nullopt;
  }
  return std::exchange(window.held_back, 0);
}

void LineLimiter::Renew(Window& window, bool back_off, core::Time now) {
  const bool busy = back_off && window.lines > kLinesPerWindow &&
                    now < window.start + 2 * window.length;
  window.length =
      busy ? std::min(2 * window.length, kLongestWindow) : kShortestWindow;
  window.start = now;
  window.lines = 0;
}

}  // namespace bambootack::log
