#ifndef BAMBOOTACK_GATEWAY_EXPLORATION_H_
#define BAMBOOTACK_GATEWAY_EXPLORATION_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Decides, for a group of servers, when requests that are not
/// repeatable go to servers that nothing is known of. Each such request may be
/// lost. Where hardly any repeatable request finds out which servers fail,
/// those in regular use carry the others as long as few fail. While more fail,
/// the floor applies: most of the healthy servers have to receive requests.
class Exploration {
 public:
  /// @brief Records the end of an attempt that was no trial. The failures of
  /// trials would cause further trials.
  /// @param served Whether the caller got the answer of a server.
  void RecordOutcome(bool served, core::Time now);

  /// @brief Records the attempt of a repeatable request.
  void RecordRepeatable(core::Time now);

  /// @brief Time without requests after which a healthy server receives one
  /// that is not repeatable.
  [[nodiscard]] core::Duration MaxIdleTime(core::Time now) const;

 private:
  static constexpr std::size_t kIntervals = 8;

  struct Interval {
    std::int64_t number = -1;
    std::uint32_t served = 0;
    std::uint32_t failed = 0;
    std::uint32_t repeatable = 0;
  };

  [[nodiscard]] Interval& IntervalAt(core::Time now);
  [[nodiscard]] Interval Sum(core::Time now) const;

  std::array<Interval, kIntervals> intervals_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_EXPLORATION_H_
