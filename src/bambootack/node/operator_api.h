#ifndef BAMBOOTACK_NODE_OPERATOR_API_H_
#define BAMBOOTACK_NODE_OPERATOR_API_H_

#include <string>

#include "bambootack/node/node.h"
#include "bambootack/report/value.h"

namespace bambootack::node {

/// @brief Short report on the VM, its peers and its servers.
/// @param node The node.
/// @param now Current time.
/// @return The report.
[[nodiscard]] report::Map StatusReport(const Node& node, core::Time now);

/// @brief Media type of the Prometheus text format.
inline constexpr const char* kMetricsType = "text/plain; version=0.0.4";

/// @brief Metrics of the node.
/// @param node The node.
/// @return Prometheus text.
[[nodiscard]] std::string MetricsText(const Node& node);

/// @brief Report on the whole state of the node.
/// @param node The node.
/// @param now Current time.
/// @return The report.
[[nodiscard]] report::Map DumpReport(const Node& node, core::Time now);

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_OPERATOR_API_H_
