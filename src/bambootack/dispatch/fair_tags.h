#ifndef BAMBOOTACK_DISPATCH_FAIR_TAGS_H_
#define BAMBOOTACK_DISPATCH_FAIR_TAGS_H_

#include <cstdint>

#include "bambootack/dispatch/count_min.h"

namespace bambootack::dispatch {

/// @brief Requests of one customer in each round of service.
inline constexpr std::uint64_t kFairQuantum = 4;

/// @brief Start-time fair queueing between customers, with the tags in a
/// sketch. A customer has `kFairQuantum` requests in a round; its further
/// requests are in later rounds, behind the requests of other customers.
class FairTags {
 public:
  /// @brief Round that the next request of a customer would get.
  [[nodiscard]] std::uint64_t RoundOf(const SketchCells& cells) const noexcept;

  /// @brief Records that a request of a customer was queued.
  void OnEnqueued(const SketchCells& cells);

  /// @brief Advances the virtual time to the start of a round.
  /// @param round Round of the request that is served.
  void AdvanceTo(std::uint64_t round) noexcept;

  /// @brief Advances the virtual time past all finish tags, so that a customer
  /// with many served requests has no disadvantage in the next busy period.
  void OnQueueEmpty() noexcept { virtual_time_ = max_finish_tag_; }

 private:
  [[nodiscard]] double StartTag(const SketchCells& cells) const noexcept;

  CountMin finish_tags_;
  double virtual_time_ = 0.0;
  double max_finish_tag_ = 0.0;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_FAIR_TAGS_H_
