#ifndef BAMBOOTACK_NODE_DUMP_TABLES_H_
#define BAMBOOTACK_NODE_DUMP_TABLES_H_

#include <cstddef>

#include "bambootack/node/node.h"
#include "bambootack/report/value.h"

namespace bambootack::node {

/// @brief Rows shown of each table of requests. A dump is written on the
/// control thread, which must not stop for long; `in_flight` has the totals.
inline constexpr std::size_t kMaxDumpedRows = 1000;

/// @brief Adds the tables of all roles to a dump: requests, operations, jobs,
/// submitted tickets, routes, limits, ranks, marks, recent tickets and
/// partitions. Bodies, header fields, keys of VMs and the token are left out.
/// @param map The dump.
/// @param node The node.
/// @param now Current time.
void AddTables(report::Map& map, const Node& node, core::Time now);

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_DUMP_TABLES_H_
