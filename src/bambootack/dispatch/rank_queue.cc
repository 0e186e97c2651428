#include "bambootack/dispatch/rank_queue.h"

#include <limits>

namespace bambootack::dispatch {
namespace {

/// Requests examined to find a repeatable one, for a server that is limited to
/// these.
constexpr int kMaxLookAhead = 16;

}  // namespace

std::size_t RankQueue::CountBefore(core::Time deadline,
                                   const SketchCells& cells) const {
  return order_.order_of_key(Key{tags_.RoundOf(cells), deadline,
                                 std::numeric_limits<std::uint64_t>::max()});
}

void RankQueue::Push(const QueuedRequest& request, const SketchCells& cells) {
  const Key key{tags_.RoundOf(cells), request.deadline, next_sequence_};
  ++next_sequence_;
  tags_.OnEnqueued(cells);
  order_.insert(
      {key, QueueEntry{request.job, request.deadline, request.repeatable}});
  keys_[request.job] = key;
}

std::optional<QueueEntry> RankQueue::First(bool repeatable_only) const {
  int examined = 0;
  for (const auto& [key, entry] : order_) {
    if (!repeatable_only || entry.repeatable) {
      return entry;
    }
    ++examined;
    if (examined == kMaxLookAhead) {
      break;
    }
  }
  return std::nullopt;
}

void RankQueue::Dequeue(core::Handle job) {
  tags_.AdvanceTo(keys_.at(job).round);
  Remove(job);
}

bool RankQueue::Remove(core::Handle job) {
  const auto it = keys_.find(job);
  if (it == keys_.end()) {
    return false;
  }
  order_.erase(it->second);
  keys_.erase(it);
  if (keys_.empty()) {
    tags_.OnQueueEmpty();
  }
  return true;
}

std::vector<core::Handle> RankQueue::RemoveExpired(core::Time now) {
  std::vector<core::Handle> expired;
  for (const auto& [key, entry] : order_) {
    if (entry.deadline <= now) {
      expired.push_back(entry.job);
    }
  }
  for (const core::Handle job : expired) {
    Remove(job);
  }
  return expired;
}

}  // namespace bambootack::dispatch
