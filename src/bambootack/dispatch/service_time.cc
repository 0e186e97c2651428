#include "bambootack/dispatch/service_time.h"

#include <cmath>

namespace bambootack::dispatch {
namespace {

/// Weight of a new sample. About 32 samples determine the mean.
constexpr double kSmoothingFactor = 1.0 / 32.0;

/// Distance of the tail from the mean, in mean deviations. With exponentially
/// distributed service times 2 in 100 requests take longer.
constexpr double kTailDeviations = 4.0;

/// Mean before the first sample.
constexpr core::Duration kInitialMean = std::chrono::milliseconds(50);

}  // namespace

void ServiceTime::Add(core::Duration value) noexcept {
  const auto sample = static_cast<double>(value.count());
  if (!measured_) {
    measured_ = true;
    mean_us_ = sample;
    deviation_us_ = sample / 2.0;
    return;
  }
  deviation_us_ +=
      kSmoothingFactor * (std::abs(sample - mean_us_) - deviation_us_);
  mean_us_ += kSmoothingFactor * (sample - mean_us_);
}

core::Duration ServiceTime::Mean() const noexcept {
  return measured_ ? core::Duration(std::llround(mean_us_)) : kInitialMean;
}

core::Duration ServiceTime::Tail() const noexcept {
  return Mean() + core::Duration(std::llround(kTailDeviations * deviation_us_));
}

}  // namespace bambootack::dispatch
