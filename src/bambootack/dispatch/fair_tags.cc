#include "bambootack/dispatch/fair_tags.h"

#include <algorithm>

namespace bambootack::dispatch {

double FairTags::StartTag(const SketchCells& cells) const noexcept {
  return std::max(virtual_time_, finish_tags_.Estimate(cells));
}

std::uint64_t FairTags::RoundOf(const SketchCells& cells) const noexcept {
  return static_cast<std::uint64_t>(StartTag(cells)) / kFairQuantum;
}

void FairTags::OnEnqueued(const SketchCells& cells) {
  const double finish = StartTag(cells) + 1.0;
  finish_tags_.Raise(cells, finish);
  max_finish_tag_ = std::max(max_finish_tag_, finish);
}

void FairTags::AdvanceTo(std::uint64_t round) noexcept {
  virtual_time_ =
      std::max(virtual_time_, static_cast<double>(round * kFairQuantum));
}

}  // namespace bambootack::dispatch
