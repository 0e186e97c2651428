#ifndef BENCH_COMMON_EVENT_QUEUE_H_
#define BENCH_COMMON_EVENT_QUEUE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "bambootack/core/time.h"

namespace bench {

namespace core = bambootack::core;

/// @brief Events in virtual time. Events of the same time run in the order in
/// which they were added, so that a run depends on its seed only.
class EventQueue {
 public:
  using Call = std::function<void()>;

  /// @brief Creates an empty queue.
  /// @param start First virtual time.
  explicit EventQueue(core::Time start = {}) : now_(start) {}

  /// @brief Current virtual time.
  /// @return The time.
  [[nodiscard]] core::Time Now() const noexcept { return now_; }

  /// @brief Adds an event.
  /// @param time When it runs.
  /// @param call What to do.
  void At(core::Time time, Call call) {
    events_.emplace(time, std::move(call));
  }

  /// @brief Adds an event.
  /// @param delay Time from now.
  /// @param call What to do.
  void After(core::Duration delay, Call call) {
    At(now_ + delay, std::move(call));
  }

  /// @brief Runs events up to a time.
  /// @param end The time.
  /// @param before_each Called with the current time set, before each event.
  template <typename BeforeEach>
  void RunUntil(core::Time end, BeforeEach before_each) {
    while (!events_.empty() && events_.begin()->first <= end) {
      // The event is removed before it runs, because it may add others.
      const auto event = events_.extract(events_.begin());
      now_ = std::max(now_, event.key());
      before_each();
      event.mapped()();
    }
    now_ = end;
    before_each();
  }

  /// @brief Runs events up to a time.
  /// @param end The time.
  void RunUntil(core::Time end) {
    RunUntil(end, [] {});
  }

 private:
  std::multimap<core::Time, Call> events_;
  core::Time now_;
};

}  // namespace bench

#endif  // BENCH_COMMON_EVENT_QUEUE_H_
