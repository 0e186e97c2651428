#ifndef BAMBOOTACK_METRICS_TEXT_H_
#define BAMBOOTACK_METRICS_TEXT_H_

#include <fmt/format.h>

#include <string>

#include "bambootack/metrics/metric_info.h"

// Writers of the Prometheus text format. Included by source files only.

namespace bambootack::metrics {

/// @brief Appends the lines that describe a metric.
/// @param out Receives the lines.
/// @param info The metric.
inline void WriteHead(std::string& out, const MetricInfo& info) {
  out += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", info.name, info.help,
                     info.type);
}

/// @brief Appends a metric without labels.
/// @param out Receives the lines.
/// @param info The metric.
/// @param value Its value.
inline void WriteValue(std::string& out, const MetricInfo& info,
                       std::uint64_t value) {
  WriteHead(out, info);
  out += fmt::format("{} {}\n", info.name, value);
}

/// @brief Appends a metric with labels.
/// @tparam Counts Map from labels to values.
/// @param out Receives the lines.
/// @param info The metric.
/// @param counts Values by their labels.
template <typename Counts>
void WriteCounts(std::string& out, const MetricInfo& info,
                 const Counts& counts) {
  WriteHead(out, info);
  for (const auto& [labels, count] : counts) {
    out += fmt::format("{}{{{}}} {}\n", info.name, labels, count);
  }
}

}  // namespace bambootack::metrics

#endif  // BAMBOOTACK_METRICS_TEXT_H_
