#include "bambootack/dispatch/customer_sketch.h"

#include <cmath>

namespace bambootack::dispatch {
namespace {

using Seconds = std::chrono::duration<double>;

/// Age at which a request counts 1/e.
constexpr Seconds kDecayTime{2.0};

/// Decay times after which counts are rescaled. e^40 is far below the limit of
/// double.
constexpr double kRescaleAfter = 40.0;

/// Decayed request count below which shares are reported as 0. With two
/// requests of two customers each of them would have half of the traffic.
constexpr double kMinTraffic = 32.0;

}  // namespace

void CustomerSketch::Rescale(core::Time now) {
  const double factor = std::exp(-Seconds(now - epoch_) / kDecayTime);
  counts_.Scale(factor);
  total_ *= factor;
  epoch_ = now;
}

void CustomerSketch::RecordRequest(const SketchCells& cells, core::Time now) {
  if (Seconds(now - epoch_) / kDecayTime > kRescaleAfter) {
    Rescale(now);
  }
  // Newer requests get a higher weight instead of a decay of the older ones, so
  // that only the cells of this customer change.
  last_weight_ = std::exp(Seconds(now - epoch_) / kDecayTime);
  counts_.Raise(cells, counts_.Estimate(cells) + last_weight_);
  total_ += last_weight_;
}

double CustomerSketch::Share(const SketchCells& cells) const noexcept {
  if (total_ < kMinTraffic * last_weight_) {
    return 0.0;
  }
  return std::min(1.0, counts_.Estimate(cells) / total_);
}

}  // namespace bambootack::dispatch
