#ifndef BAMBOOTACK_DISPATCH_SERVICE_TIME_H_
#define BAMBOOTACK_DISPATCH_SERVICE_TIME_H_

#include "bambootack/core/time.h"

namespace bambootack::dispatch {

/// @brief Exponentially weighted mean and mean deviation of service times.
class ServiceTime {
 public:
  /// @brief Adds the time that a server took for one request.
  void Add(core::Duration value) noexcept;

  /// @brief Expected service time.
  /// @return The mean; a default before the first `Add`.
  [[nodiscard]] core::Duration Mean() const noexcept;

  /// @brief Service time that few requests exceed.
  /// @return The mean plus a multiple of the deviation.
  [[nodiscard]] core::Duration Tail() const noexcept;

 private:
  bool measured_ = false;
  double mean_us_ = 0.0;
  double deviation_us_ = 0.0;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_SERVICE_TIME_H_
