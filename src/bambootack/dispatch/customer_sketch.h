#ifndef BAMBOOTACK_DISPATCH_CUSTOMER_SKETCH_H_
#define BAMBOOTACK_DISPATCH_CUSTOMER_SKETCH_H_

#include "bambootack/core/time.h"
#include "bambootack/dispatch/count_min.h"

namespace bambootack::dispatch {

/// @brief Estimates the share of each customer in recent traffic with a
/// count-min sketch whose counts decay exponentially.
class CustomerSketch {
 public:
  void RecordRequest(const SketchCells& cells, core::Time now);

  /// @brief Share of a customer in recent traffic.
  /// @return 0 to 1, never below the true share; 0 while there are too few
  /// recent requests for an estimate.
  [[nodiscard]] double Share(const SketchCells& cells) const noexcept;

 private:
  /// Moves `epoch_` to `now` without a change of the shares.
  void Rescale(core::Time now);

  CountMin counts_;
  double total_ = 0.0;
  double last_weight_ = 1.0;  ///< Weight of the last request.
  core::Time epoch_{};        ///< A request at this time has weight 1.
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_CUSTOMER_SKETCH_H_
