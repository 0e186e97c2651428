#ifndef BAMBOOTACK_NODE_MEMBERSHIP_ROLE_H_
#define BAMBOOTACK_NODE_MEMBERSHIP_ROLE_H_

#include <cstdint>
#include <vector>

#include "bambootack/membership/absence_watch.h"
#include "bambootack/membership/appender.h"
#include "bambootack/membership/partition_table.h"
#include "bambootack/membership/view_log.h"
#include "bambootack/node/context.h"
#include "bambootack/node/events.h"

namespace bambootack::node {

/// @brief Stream of the platform's log that holds view records.
inline constexpr const char* kFleetStream = "fleet";

/// @brief Keeps the membership view and this VM's place in it.
class MembershipRole {
 public:
  /// @brief Handles records of the fleet's stream; ignores other streams.
  /// @param event The records.
  /// @param context Surroundings. Its view follows the log once the log has
  /// been read to its end.
  /// @return Partitions whose ownership changed.
  std::vector<core::PartitionId> Receive(const LogRead& event,
                                         Context& context);

  /// @brief Handles the result of an append.
  /// @param event The result.
  void Receive(const LogAppended& event);

  /// @brief Handles the platform's VM list.
  /// @param event The list.
  /// @param context Surroundings.
  void Receive(const VmListRead& event, Context& context);

  /// @brief Reads the log and the VM list and appends records when due.
  /// @param handed_over True if this VM, while leaving, holds no partition that
  /// its new owner has not acquired, and runs no operation.
  /// @param context Surroundings.
  void Tick(bool handed_over, Context& context);

  /// @brief Asks for a reading of the log at the next tick.
  void ReadSoon() noexcept { next_read_ = core::Time{}; }

  /// @brief Partitions by owner, as far as the log has been read.
  /// @return The table.
  [[nodiscard]] const membership::PartitionTable& Table() const noexcept {
    return table_;
  }

  /// @brief Incarnation under which this process is a member.
  /// @return The incarnation, or zero before it joins and after it ended.
  [[nodiscard]] core::Incarnation Joined() const noexcept { return joined_; }

  /// @brief Tells whether this process itself, not an earlier one on its VM, is
  /// a member or leaving member of the view.
  /// @param shared Shared state.
  /// @return True if it is.
  [[nodiscard]] bool IsMember(const Shared& shared) const noexcept;

  /// @brief Tells whether the log says that this process is gone or replaced.
  /// @return True if it has to stop.
  [[nodiscard]] bool Ended() const noexcept { return ended_; }

  /// @brief Tells whether a stop need not wait for the membership any longer.
  /// @param context Surroundings.
  /// @return True once this VM is no member, or the time for it has passed.
  [[nodiscard]] bool StopComplete(Context& context);

 private:
  void Apply(const LogRecord& record, Context& context,
             std::vector<core::PartitionId>& changed);
  void Publish(Context& context);
  void FollowOwnState(Context& context);
  void AppendWhatIsDue(bool handed_over, Context& context);
  void Append(membership::ViewChange change, membership::Member member,
              Context& context);

  membership::ViewLog views_;
  membership::PartitionTable table_;
  membership::Appender appender_;
  membership::AbsenceWatch absence_;
  std::uint64_t position_ = 0;
  bool caught_up_ = false;
  bool gap_ = false;
  bool reading_ = false;  ///< An answer of the log is awaited.
  bool ended_ = false;
  core::Incarnation joined_{};
  core::Time next_read_{};
  core::Time next_list_{};
  core::Time stop_by_{};
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_MEMBERSHIP_ROLE_H_
