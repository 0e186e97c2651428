#ifndef BAMBOOTACK_METRICS_TIME_HISTOGRAM_H_
#define BAMBOOTACK_METRICS_TIME_HISTOGRAM_H_

#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "bambootack/core/time.h"

namespace bambootack::metrics {

/// @brief Upper bounds of the buckets. They hold the targets of the design (2
/// ms added latency) and the usual targets of the ranks (0.3 s, 1 s, 5 s).
inline constexpr std::array<core::Duration, 15> kTimeBuckets{
    {core::Duration(250), core::Duration(500), core::Duration(1'000),
     core::Duration(2'000), core::Duration(5'000), core::Duration(10'000),
     core::Duration(20'000), core::Duration(50'000), core::Duration(100'000),
     core::Duration(300'000), core::Duration(500'000),
     core::Duration(1'000'000), core::Duration(2'000'000),
     core::Duration(5'000'000), core::Duration(30'000'000)}};

/// @brief Distribution of a length of time.
class TimeHistogram {
 public:
  TimeHistogram();

  /// @brief Adds a sample. Negative samples count as zero.
  /// @param value The length of time.
  void Observe(core::Duration value);

  /// @brief Appends the Prometheus text of the buckets, the sum and the count.
  /// @param out Receives the lines.
  /// @param name Name of the metric.
  /// @param labels Labels such as `rank="urgent"`; may be empty.
  void Write(std::string& out, std::string_view name,
             std::string_view labels) const;

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Counts = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<Axis>, Counts> counts_;
  core::Duration sum_{};
};

}  // namespace bambootack::metrics

#endif  // BAMBOOTACK_METRICS_TIME_HISTOGRAM_H_
