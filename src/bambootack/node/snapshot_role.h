#ifndef BAMBOOTACK_NODE_SNAPSHOT_ROLE_H_
#define BAMBOOTACK_NODE_SNAPSHOT_ROLE_H_

#include <cstdint>
#include <optional>

#include "bambootack/node/context.h"
#include "bambootack/node/events.h"
#include "bambootack/spread/peer_table.h"
#include "bambootack/spread/snapshot_schedule.h"

namespace bambootack::node {

/// @brief Stream of the platform's log that holds snapshots.
inline constexpr const char* kSnapshotStream = "snapshots";

/// @brief Reads snapshots from the log and publishes them.
class SnapshotRole {
 public:
  /// @brief Handles records of the stream of snapshots.
  /// @param event The records.
  /// @param context Surroundings.
  /// @return The newest state, or nothing.
  [[nodiscard]] std::optional<config::State> Receive(const LogRead& event,
                                                     Context& context);

  /// @brief Looks for snapshots and publishes one when it is time.
  /// @param log_first Oldest record of the ticket stream.
  /// @param peers The other VMs.
  /// @param context Surroundings.
  void Tick(std::uint64_t log_first, const spread::PeerTable& peers,
            Context& context);

  /// @brief Looks for snapshots at the next tick.
  void ReadSoon() noexcept { next_read_ = {}; }

 private:
  void Publish(Context& context);

  spread::SnapshotSchedule schedule_;
  core::Time next_read_{};
  bool known_ = false;      ///< The last read of the stream succeeded.
  std::uint64_t seen_ = 0;  ///< Offset after the last snapshot read.
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_SNAPSHOT_ROLE_H_
