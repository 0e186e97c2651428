#ifndef BAMBOOTACK_METRICS_METRIC_INFO_H_
#define BAMBOOTACK_METRICS_METRIC_INFO_H_

#include <string_view>

namespace bambootack::metrics {

/// @brief Name, type and meaning of a metric.
struct MetricInfo {
  std::string_view name;
  std::string_view type;
  std::string_view help;
};

}  // namespace bambootack::metrics

#endif  // BAMBOOTACK_METRICS_METRIC_INFO_H_
