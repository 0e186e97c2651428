#include "bambootack/spread/snapshot_schedule.h"

namespace bambootack::spread {
namespace {

constexpr std::uint64_t kJitterMicroseconds = 1'000'000;

}  // namespace

void SnapshotSchedule::Seen(config::Position position, core::Time now) {
  if (!last_ || position > *last_) {
    last_ = position;
    last_at_ = now;
    due_since_.reset();
  }
}

bool SnapshotSchedule::IsDue(config::Position position, std::uint64_t log_first,
                             core::Time now) const {
  if (!last_) {
    return true;
  }
  if (position <= *last_) {
    return false;
  }
  return position.generation > last_->generation || log_first > last_->offset ||
         position.offset - last_->offset >= kSnapshotRecords ||
         now - last_at_ >= kSnapshotInterval;
}

bool SnapshotSchedule::IsTurn(config::Position position,
                              std::uint64_t log_first, std::size_t rank,
                              core::Time now, core::Random& random) {
  if (!IsDue(position, log_first, now)) {
    due_since_.reset();
    return false;
  }
  if (!due_since_) {
    due_since_ = now;
    jitter_ = core::Duration(random.Below(kJitterMicroseconds));
  }
  // A place far down the order is reached only if all before it are cut off
  // from the log.
  const core::Duration wait =
      kSnapshotTurn * static_cast<std::int64_t>(rank + 1) + jitter_;
  if (now - *due_since_ < wait) {
    return false;
  }
  due_since_ = now;
  return true;
}

}  // namespace bambootack::spread
