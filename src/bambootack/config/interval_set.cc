#include "bambootack/config/interval_set.h"

#include <algorithm>
#include <iterator>

namespace bambootack::config {

void IntervalSet::Insert(std::uint64_t first, std::uint64_t last) {
  auto it = ranges_.upper_bound(first);
  if (it != ranges_.begin()) {
    const auto before = std::prev(it);
    // Ranges that touch are joined; the comparison avoids overflow.
    if (before->second >= first || before->second + 1 == first) {
      it = before;
    }
  }
  while (it != ranges_.end() && (it->first <= last || it->first - 1 == last)) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    it = ranges_.erase(it);
  }
  ranges_[first] = last;
}

void IntervalSet::InsertAll(const IntervalSet& other) {
  for (const auto& [first, last] : other.ranges_) {
    Insert(first, last);
  }
}

void IntervalSet::Compact(std::size_t max_ranges) {
  while (ranges_.size() > max_ranges) {
    const auto lowest = ranges_.begin();
    const auto next = std::next(lowest);
    lowest->second = next->second;
    ranges_.erase(next);
  }
}

bool IntervalSet::Contains(std::uint64_t number) const noexcept {
  const auto it = ranges_.upper_bound(number);
  return it != ranges_.begin() && std::prev(it)->second >= number;
}

}  // namespace bambootack::config
