#ifndef BAMBOOTACK_WIRE_OWNERSHIP_MESSAGES_H_
#define BAMBOOTACK_WIRE_OWNERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/wire/answer.h"

namespace bambootack::wire {

/// @brief Record of a key as it travels between owners. A key that is still
/// being run travels as `unknown`.
struct KeyState {
  std::string key;
  std::uint64_t fingerprint = 0;
  Answer answer;
  core::Duration remaining{};  ///< Time for which the record is still kept.

  friend bool operator==(const KeyState&, const KeyState&) = default;
};

/// @brief New owner to earlier owner: release these partitions.
struct AcquireRequest {
  core::ViewNumber view{};  ///< View in which the sender owns them.
  std::vector<core::PartitionId> partitions;

  friend bool operator==(const AcquireRequest&,
                         const AcquireRequest&) = default;
};

/// @brief What an earlier owner says about one partition.
struct ReleasedPartition {
  core::PartitionId partition{};
  /// The earlier owner runs nothing under a view below this. If it is above the
  /// view asked for, the requester is behind and nothing was released to it.
  core::ViewNumber released_view{};
  /// The earlier owner holds what was run in all views below this.
  core::ViewNumber acquired_view{};
  /// Keys created up to this time may have run without a record.
  core::WallTime lost_until{};
  std::vector<KeyState> keys;

  friend bool operator==(const ReleasedPartition&,
                         const ReleasedPartition&) = default;
};

/// @brief Earlier owner to new owner: released partitions with their records.
struct AcquireReply {
  core::Incarnation incarnation{};  ///< Process that releases.
  core::ViewNumber view{};          ///< View of the request.
  std::vector<ReleasedPartition> partitions;

  friend bool operator==(const AcquireReply&, const AcquireReply&) = default;
};

/// @brief Earlier owner to new owner: a key that travelled as `unknown` has an
/// outcome.
struct KeyUpdate {
  core::PartitionId partition{};
  KeyState key;

  friend bool operator==(const KeyUpdate&, const KeyUpdate&) = default;
};

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_OWNERSHIP_MESSAGES_H_
