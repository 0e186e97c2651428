#ifndef BAMBOOTACK_SPREAD_SNAPSHOT_SCHEDULE_H_
#define BAMBOOTACK_SPREAD_SNAPSHOT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "bambootack/config/state.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"

namespace bambootack::spread {

/// @brief Records after the last snapshot that make a new one due.
inline constexpr std::uint64_t kSnapshotRecords = 200;

/// @brief Age of the last snapshot that makes a new one due after any change.
inline constexpr core::Duration kSnapshotInterval = std::chrono::minutes(5);

/// @brief Pause per place in the hash order, more than the time in which a
/// snapshot of the VM before becomes visible.
inline constexpr core::Duration kSnapshotTurn = std::chrono::seconds(4);

/// @brief Time between two looks at the stream of snapshots.
inline constexpr core::Duration kSnapshotReadInterval = std::chrono::seconds(2);

/// @brief Decides when this VM publishes a snapshot.
class SnapshotSchedule {
 public:
  /// @brief Notes a snapshot found in the log.
  /// @param position Position of its state.
  /// @param now Current time.
  void Seen(config::Position position, core::Time now);

  /// @brief Notes that the log holds no snapshot any more.
  void Lost() noexcept { last_.reset(); }

  /// @brief Tells whether to publish now. A double publication is harmless.
  /// @param position Own position.
  /// @param log_first Oldest record of the ticket stream.
  /// @param rank Place of this VM in the hash order.
  /// @param now Current time.
  /// @param random Source of the jitter.
  /// @return True once when it is this VM's turn.
  [[nodiscard]] bool IsTurn(config::Position position, std::uint64_t log_first,
                            std::size_t rank, core::Time now,
                            core::Random& random);

 private:
  [[nodiscard]] bool IsDue(config::Position position, std::uint64_t log_first,
                           core::Time now) const;

  std::optional<config::Position> last_;
  core::Time last_at_{};
  std::optional<core::Time> due_since_;
  core::Duration jitter_{};
};

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_SNAPSHOT_SCHEDULE_H_
