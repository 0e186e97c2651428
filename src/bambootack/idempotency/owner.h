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

/// @brief What the owner does with a request for a key.
enum class Decision : std::uint8_t {
  kExecute,   ///< The key is new and now recorded as pending.
  kWait,      ///< The key is pending; the answer comes later.
  kAnswer,    ///< The recorded answer applies.
  kRefused,   ///< Not run, but without a record that would prove it.
  kMoving,    ///< This VM is the owner but must not run anything yet.
  kNotOwner,  ///< Another VM owns the key in this VM's view.
};

/// @brief Names of the decisions.
inline constexpr core::EnumNames<Decision, 6> kDecisionNames{
    {"run", "wait", "answer", "refused", "moving", "not-owner"}};

/// @brief A decision with its details.
struct BeginResult {
  Decision decision = Decision::kMoving;
  std::optional<core::ErrorKind> reason;  ///< Set for `kRefused`.
  const wire::Answer* answer = nullptr;   ///< Set for `kAnswer`.
};

/// @brief A message to the owner role of another VM.
struct OwnerMessage {
  core::VmId to{};
  std::variant<wire::AcquireRequest, wire::AcquireReply, wire::KeyUpdate>
      message;
};

/// @brief Decides which keys this VM may run, and moves key records between
/// owners when the view changes.
class Owner {
 public:
  /// @brief Creates an owner that owns nothing.
  /// @param self This VM.
  /// @param limits KeyTableLimits on what is stored.
  explicit Owner(core::VmId self, KeyTableLimits limits = {});

  /// @brief Follows a change of the view.
  /// @param table Ownership in the new view.
  /// @param changed Partitions whose ownership changed.
  /// @param member Incarnation of this process as a member, or zero if the view
  /// does not contain this process.
  /// @param now Current time.
  void ApplyView(const membership::PartitionTable& table,
                 const std::vector<core::PartitionId>& changed,
                 core::Incarnation member, core::Time now);

  /// @brief Decides about a request. A key that may be run is recorded as
  /// pending first.
  /// @param key Canonical text of a UUIDv7.
  /// @param fingerprint Hash of the request.
  /// @param wall Calendar time.
  /// @return The decision.
  BeginResult Begin(const std::string& key, std::uint64_t fingerprint,
                    core::WallTime wall);

  /// @brief Records the outcome of a key that this VM runs or has run. It may
  /// replace `unknown`, but no known outcome.
  /// @param key Canonical text of the key.
  /// @param answer The answer.
  /// @param now Current time.
  void Complete(const std::string& key, wire::Answer answer, core::Time now);

  /// @brief Records that a key was proven not to have run. The record is final,
  /// so the key never runs later.
  /// @param key Canonical text of the key.
  /// @param answer The answer; its outcome is set to `not-run`.
  /// @param now Current time.
  void RecordNotExecuted(const std::string& key, wire::Answer answer,
                         core::Time now);

  /// @brief Releases partitions to a new owner.
  /// @param from The new owner.
  /// @param request Its request.
  /// @param now Current time.
  void OnMessage(core::VmId from, const wire::AcquireRequest& request,
                 core::Time now);

  /// @brief Takes over released partitions.
  /// @param from The earlier owner.
  /// @param reply Its reply.
  /// @param now Current time.
  void OnMessage(core::VmId from, const wire::AcquireReply& reply,
                 core::Time now);

  /// @brief Takes over a late outcome.
  /// @param update The outcome.
  /// @param now Current time.
  void OnMessage(const wire::KeyUpdate& update, core::Time now);

  /// @brief Repeats requests without a reply and forgets expired records.
  /// @param now Current time.
  void OnTimer(core::Time now);

  /// @brief Messages to send since the last call.
  /// @return The messages.
  [[nodiscard]] std::vector<OwnerMessage> TakeMessages();

  /// @brief View that another VM has acted on and this one has not read yet.
  /// @return Its number, or zero.
  [[nodiscard]] core::ViewNumber AwaitedView() const noexcept {
    return awaited_ > view_ ? awaited_ : core::ViewNumber{};
  }

  /// @brief Tells whether each partition that this VM has held was released.
  /// @param table Current ownership.
  /// @return True if nothing has to be handed over.
  [[nodiscard]] bool IsHandedOver(
      const membership::PartitionTable& table) const;

  /// @brief Number of partitions that this VM owns but may not run yet.
  /// @return The count.
  [[nodiscard]] std::size_t AcquiringCount() const noexcept {
    return acquiring_.size();
  }

  /// @brief View that this VM follows.
  /// @return Its number.
  [[nodiscard]] core::ViewNumber View() const noexcept { return view_; }

  /// @brief The key records.
  /// @return The table.
  [[nodiscard]] const KeyTable& Keys() const noexcept { return keys_; }

 private:
  using Process = std::pair<core::VmId, core::Incarnation>;

  struct Slot {
    bool mine = false;            ///< Owned in the current view.
    core::ViewNumber since{};     ///< View in which the tenure began.
    core::ViewNumber acquired{};  ///< Tenure that was acquired last.
    core::ViewNumber covered{};   ///< Runs below this view are in the records.
    core::ViewNumber released{};  ///< Nothing runs under a view below this.
    core::VmId released_to = core::kNoVm;
    core::WallTime lost_until{};  ///< Keys created up to then may have run.
    std::vector<membership::EarlierOwner> waiting;
    std::vector<membership::EndedOwner> ended;
    std::vector<Process> replied;
    core::Time next_send{};
  };

  Slot& At(core::PartitionId partition) noexcept {
    return slots_[static_cast<std::size_t>(partition)];
  }
  void Refresh(core::PartitionId id, const membership::Partition& row,
               core::Time now);
  void FinishIfComplete(core::PartitionId id);
  void SendRequests(core::Time now);
  wire::ReleasedPartition Release(core::VmId to, core::ViewNumber view,
                                  core::PartitionId id, core::Time now);
  void Accept(core::VmId from, const wire::AcquireReply& reply,
              const wire::ReleasedPartition& part, core::Time now);
  [[nodiscard]] std::optional<core::ErrorKind> ReasonNotToRun(
      const Slot& slot, const std::string& key, core::WallTime wall) const;
  void RecordOutcome(const std::string& key, wire::Answer answer,
                     core::Time now);
  void SendUpdate(const std::string& key, core::Time now);

  core::VmId self_;
  core::Incarnation member_{};
  core::ViewNumber view_{};
  core::ViewNumber awaited_{};
  KeyTable keys_;
  std::vector<Slot> slots_;
  std::set<core::PartitionId> acquiring_;
  std::vector<OwnerMessage> messages_;
};

}  // namespace bambootack::idempotency

#endif  // BAMBOOTACK_IDEMPOTENCY_OWNER_H_
