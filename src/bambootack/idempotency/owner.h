#ifndef BAMBOOTACK_IDEMPOTENCY_OWNER_H_
#define BAMBOOTACK_IDEMPOTENCY_OWNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bambootack/core/error_kind.h"
#include "bambootack/idempotency/key_table.h"
#include "bambootack/membership/partition_table.h"

namespace bambootack::idempotency {

/// @brief How the owner handles a request for a key.
enum class Decision : std::uint8_t {
  kExecute,   ///< The key is new and now recorded as pending.
  kWait,      ///< The key is pending; the answer comes later.
  kAnswer,    ///< The recorded answer applies.
  kRefused,   ///< Not executed, but no record proves it.
  kMoving,    ///< This VM is the owner but must not execute keys yet.
  kNotOwner,  ///< Another VM owns the key in this VM's view.
};

inline constexpr core::EnumNames<Decision, 6> kDecisionNames{
    {"run", "wait", "answer", "refused", "moving", "not-owner"}};

/// @brief Decision about a request, with the reason or the answer.
struct BeginResult {
  Decision decision = Decision::kMoving;
  std::optional<core::ErrorKind> reason;  ///< Set for `kRefused`.
  const wire::Answer* answer = nullptr;   ///< Set for `kAnswer`.
};

/// @brief Message to the key owner of another VM.
struct OwnerMessage {
  core::VmId to{};
  std::variant<wire::AcquireRequest, wire::AcquireReply, wire::KeyUpdate>
      message;
};

/// @brief Decides which keys this VM may execute, and transfers key records
/// between owners when the view changes.
class Owner {
 public:
  /// @brief Creates an owner without partitions.
  explicit Owner(core::VmId self, KeyTableLimits limits = {});

  /// @brief Applies a change of the view.
  /// @param table Ownership in the new view.
  /// @param changed Partitions whose ownership changed.
  /// @param member Incarnation of this process as a member, or zero if the view
  /// does not contain this process.
  void ApplyView(const membership::PartitionTable& table,
                 const std::vector<core::PartitionId>& changed,
                 core::Incarnation member, core::Time now);

  /// @brief Decides about a request. A key that may be executed is recorded as
  /// pending before this returns.
  /// @param key Canonical text of a UUIDv7.
  /// @param fingerprint Hash of the request.
  BeginResult Begin(const std::string& key, std::uint64_t fingerprint,
                    core::WallTime wall);

  /// @brief Records the outcome of a key that this VM is executing or has
  /// executed. It may replace `unknown`, but no known outcome.
  /// @param key Canonical text of the key.
  void Complete(const std::string& key, wire::Answer answer, core::Time now);

  /// @brief Records that a key was proven not to have been executed. The record
  /// is final, so the key is never executed later.
  /// @param key Canonical text of the key.
  /// @param answer The answer; its outcome is set to `not-run`.
  void RecordNotExecuted(const std::string& key, wire::Answer answer,
                         core::Time now);

  /// @brief Releases partitions to a new owner.
  /// @param from The new owner.
  void OnMessage(core::VmId from, const wire::AcquireRequest& request,
                 core::Time now);

  /// @brief Imports the records of released partitions; a partition is acquired
  /// once no earlier owner is awaited.
  /// @param from The earlier owner.
  void OnMessage(core::VmId from, const wire::AcquireReply& reply,
                 core::Time now);

  /// @brief Imports an outcome that was recorded after its partition was
  /// released, and forwards it if the partition was released further.
  void OnMessage(const wire::KeyUpdate& update, core::Time now);

  /// @brief Sends requests without a reply again and erases expired records.
  void OnTimer(core::Time now);

  /// @return Messages queued since the last call.
  [[nodiscard]] std::vector<OwnerMessage> TakeMessages();

  /// @return Number of the latest view that another VM has acted on and this
  /// one has not read yet, or zero.
  [[nodiscard]] core::ViewNumber AwaitedView() const noexcept {
    return awaited_view_ > view_ ? awaited_view_ : core::ViewNumber{};
  }

  /// @param table Current ownership.
  /// @return True if each partition that this VM has acquired was released or
  /// has no owner, so that nothing is left to hand over.
  [[nodiscard]] bool IsHandedOver(
      const membership::PartitionTable& table) const;

  /// @return Number of partitions that this VM owns but whose keys it must not
  /// execute yet.
  [[nodiscard]] std::size_t AcquiringCount() const noexcept {
    return acquiring_.size();
  }

  /// @return Number of the view applied last.
  [[nodiscard]] core::ViewNumber View() const noexcept { return view_; }

  [[nodiscard]] const KeyTable& Keys() const noexcept { return keys_; }

 private:
  using Process = std::pair<core::VmId, core::Incarnation>;

  struct PartitionState {
    bool owned = false;                  ///< Owned in the current view.
    core::ViewNumber tenure{};           ///< View in which the tenure began.
    core::ViewNumber acquired_tenure{};  ///< Tenure that was acquired last.
    /// What was executed below this view is in the records.
    core::ViewNumber recorded_below{};
    /// This VM executes nothing under a view below this.
    core::ViewNumber released_view{};
    core::VmId released_to = core::kNoVm;
    /// Keys created up to this time may have been executed without a record.
    core::WallTime lost_until{};
    std::vector<membership::EarlierOwner> awaited_owners;
    std::vector<membership::EndedOwner> ended_owners;
    std::vector<Process> released_by;
    core::Time next_request{};
  };

  PartitionState& At(core::PartitionId partition) noexcept {
    return partitions_[static_cast<std::size_t>(partition)];
  }
  void UpdatePartition(core::PartitionId id, const membership::Partition& row,
                       core::Time now);
  void TryFinishAcquisition(core::PartitionId id);
  void QueueAcquireRequests(core::Time now);
  wire::ReleasedPartition ReleasePartition(core::VmId to, core::ViewNumber view,
                                           core::PartitionId id,
                                           core::Time now);
  void ImportPartition(core::VmId from, const wire::AcquireReply& reply,
                       const wire::ReleasedPartition& part, core::Time now);
  [[nodiscard]] std::optional<core::ErrorKind> ReasonToRefuse(
      const PartitionState& state, const std::string& key,
      core::WallTime wall) const;
  void RecordOutcome(const std::string& key, wire::Answer answer,
                     core::Time now);
  void QueueKeyUpdate(const std::string& key, core::Time now);

  core::VmId self_;
  core::Incarnation incarnation_{};
  core::ViewNumber view_{};
  core::ViewNumber awaited_view_{};
  KeyTable keys_;
  std::vector<PartitionState> partitions_;
  std::set<core::PartitionId> acquiring_;
  std::vector<OwnerMessage> messages_;
};

}  // namespace bambootack::idempotency

#endif  // BAMBOOTACK_IDEMPOTENCY_OWNER_H_
