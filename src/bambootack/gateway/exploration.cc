#include "bambootack/gateway/exploration.h"

#include <algorithm>
#include <cmath>

namespace bambootack::gateway {
namespace {

/// The floor applies to spans of 2 s.
constexpr core::Duration kInterval = std::chrono::milliseconds(250);

/// The floor is in force while between a tenth and half of a service's requests
/// fail. Trials add up to a hundredth to the share that is counted here, and a
/// group sees a part of the requests only.
constexpr double kFloorShare = 0.09;
constexpr double kMaxFailedShare = 0.55;

/// The idle time grows with this power of the distance to `kFloorShare`, so
/// that it is a few times the one of the floor where a service comes near it,
/// and has its full length where a third less fails.
constexpr double kExponent = 10.0;

/// With a larger share of repeatable requests, these explore.
constexpr double kMaxRepeatableShare = 0.1;

/// Failures below this number are chance.
constexpr std::uint32_t kMinFailures = 4;

/// Idle time that keeps the floor: in every 2 s, 70% of the servers receive
/// requests.
constexpr core::Duration kFloorIdleTime = std::chrono::milliseconds(1600);

/// Otherwise. Servers fail for some seconds at a time, so that what is known of
/// an idle one is outdated long before; the time bounds how long a server that
/// has become free of faults stays unused.
constexpr core::Duration kCalmIdleTime = std::chrono::seconds(20);

}  // namespace

Exploration::Interval& Exploration::IntervalAt(core::Time now) {
  const std::int64_t number = now.time_since_epoch() / kInterval;
  Interval& it = intervals_[static_cast<std::size_t>(number) % kIntervals];
  if (it.number != number) {
    it = Interval{};
    it.number = number;
  }
  return it;
}

Exploration::Interval Exploration::Sum(core::Time now) const {
  const std::int64_t number = now.time_since_epoch() / kInterval;
  Interval sum;
  for (const Interval& it : intervals_) {
    if (it.number >= 0 &&
        it.number + static_cast<std::int64_t>(kIntervals) > number) {
      sum.served += it.served;
      sum.failed += it.failed;
      sum.repeatable += it.repeatable;
    }
  }
  return sum;
}

void Exploration::RecordOutcome(bool served, core::Time now) {
  Interval& it = IntervalAt(now);
  ++(served ? it.served : it.failed);
}

void Exploration::RecordRepeatable(core::Time now) {
  ++IntervalAt(now).repeatable;
}

core::Duration Exploration::MaxIdleTime(core::Time now) const {
  const Interval sum = Sum(now);
  const double total = sum.served + sum.failed;
  if (sum.repeatable > kMaxRepeatableShare * total) {
    return kFloorIdleTime;
  }
  if (sum.failed < kMinFailures || sum.failed > kMaxFailedShare * total) {
    return kCalmIdleTime;
  }
  const double factor = std::pow(kFloorShare * total / sum.failed, kExponent);
  const auto most = static_cast<double>(kCalmIdleTime.count());
  const auto least = static_cast<double>(kFloorIdleTime.count());
  return core::Duration(
      static_cast<std::int64_t>(std::clamp(least * factor, least, most)));
}

}  // namespace bambootack::gateway
