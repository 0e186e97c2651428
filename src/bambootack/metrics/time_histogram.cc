#include "bambootack/metrics/time_histogram.h"

#include <fmt/format.h>

#include <algorithm>

namespace bambootack::metrics {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

/// Bounds between whole microseconds: a bucket of Prometheus includes its upper
/// bound, while a bin of Boost.Histogram excludes it.
std::vector<double> Edges() {
  std::vector<double> edges{-0.5};
  for (const core::Duration it : kTimeBuckets) {
    edges.push_back(static_cast<double>(it.count()) + 0.5);
  }
  return edges;
}

double Seconds(core::Duration value) {
  return static_cast<double>(value.count()) / kMicrosecondsPerSecond;
}

}  // namespace

TimeHistogram::TimeHistogram()
    : counts_(boost::histogram::make_histogram_with(Counts(), Axis(Edges()))) {}

void TimeHistogram::Observe(core::Duration value) {
  const core::Duration sample = std::max(value, core::Duration{});
  counts_(static_cast<double>(sample.count()));
  sum_ += sample;
}

void TimeHistogram::Write(std::string& out, std::string_view name,
                          std::string_view labels) const {
  const std::string_view comma = labels.empty() ? "" : ",";
  const std::string braces =
      labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < kTimeBuckets.size(); ++i) {
    count += counts_.at(static_cast<int>(i));
    out += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, comma,
                       Seconds(kTimeBuckets[i]), count);
  }
  count += counts_.at(static_cast<int>(kTimeBuckets.size()));
  out += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma,
                     count);
  out += fmt::format("{}_sum{} {}\n", name, braces, Seconds(sum_));
  out += fmt::format("{}_count{} {}\n", name, braces, count);
}

}  // namespace bambootack::metrics
