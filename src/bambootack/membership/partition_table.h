#ifndef BAMBOOTACK_MEMBERSHIP_PARTITION_TABLE_H_
#define BAMBOOTACK_MEMBERSHIP_PARTITION_TABLE_H_

#include <bitset>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/membership/view_record.h"

namespace bambootack::membership {

/// @brief A process that owned a partition in an earlier view and still lives.
struct EarlierOwner {
  core::VmId vm{};
  core::Incarnation incarnation{};
  core::ViewNumber end{};  ///< First view in which it no longer owned.

  friend bool operator==(const EarlierOwner&, const EarlierOwner&) = default;
};

/// @brief A process that owned a partition and has ended.
struct EndedOwner {
  core::VmId vm{};
  core::Incarnation incarnation{};
  core::ViewNumber end{};  ///< First view in which it no longer owned.
  core::WallTime at{};     ///< It ran nothing after this time.

  friend bool operator==(const EndedOwner&, const EndedOwner&) = default;
};

/// @brief Ownership of one partition.
struct Partition {
  core::VmId owner = core::kNoVm;
  core::ViewNumber since{};  ///< View in which the owner's tenure began.
  std::uint64_t score = 0;   ///< Rendezvous score of the owner.
  std::vector<EarlierOwner> earlier;
  std::vector<EndedOwner> ended;
};

/// @brief Most ended owners kept for a partition. Beyond it the two oldest are
/// merged into one that covers both, which can only make more keys `unknown`.
inline constexpr std::size_t kMaxEndedOwners = 8;

/// @brief Age at which an ended owner is forgotten: its keys are past the
/// retention time of 30 min and count as `unknown` without it. Twice the
/// retention time leaves room for the clocks of the writers.
inline constexpr core::Duration kEndedOwnerMemory = std::chrono::minutes(60);

/// @brief Owner and earlier owners of every partition, updated by record.
class PartitionTable {
 public:
  PartitionTable();

  /// @brief Applies a record that changed the view.
  /// @param record A record for which `ViewLog::Apply` returned true.
  /// @return Partitions whose owner, earlier owners or ended owners changed.
  std::vector<core::PartitionId> Apply(const ViewRecord& record);

  /// @brief Ownership of a partition.
  /// @param partition The partition.
  /// @return Its row.
  [[nodiscard]] const Partition& At(
      core::PartitionId partition) const noexcept {
    return partitions_[static_cast<std::size_t>(partition)];
  }

  /// @brief View of the last record applied.
  /// @return Its number.
  [[nodiscard]] core::ViewNumber Number() const noexcept { return number_; }

 private:
  using Marks = std::bitset<core::kPartitionCount>;

  struct Process {
    core::Incarnation incarnation{};
    bool eligible = true;  ///< Owns partitions; false while it leaves.
    Marks touched;         ///< Partitions that it owns or has owned.
  };

  void Join(const Member& member, core::WallTime at, Marks& changed);
  void StopOwning(core::VmId vm, Marks& changed);
  void End(core::VmId vm, core::WallTime at, Marks& changed);
  void Take(std::size_t index, core::VmId vm, std::uint64_t score);
  void TakeByBest(std::size_t index);
  void AddEnded(Partition& partition, const EndedOwner& owner) const;

  core::ViewNumber number_{};
  std::vector<Partition> partitions_;
  std::unordered_map<core::VmId, Process> processes_;
  std::vector<core::VmId> eligible_;
};

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_PARTITION_TABLE_H_
