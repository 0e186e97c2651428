#ifndef BAMBOOTACK_NODE_OWNER_ROLE_H_
#define BAMBOOTACK_NODE_OWNER_ROLE_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "bambootack/core/table.h"
#include "bambootack/idempotency/owner.h"
#include "bambootack/node/context.h"

namespace bambootack::node {

/// @brief An entry that waits for the answer of a key.
struct Waiter {
  core::VmId vm{};
  core::Handle requester;
  wire::SendId send;
};

/// @brief An at-most-once operation that is being run.
struct OwnedOperation {
  wire::RoutedRequest request;
  core::Time deadline{};
  core::VmId dispatcher = core::kNoVm;
  std::uint32_t sends = 0;
  bool cancelled = false;  ///< The dispatcher was told that time is up.
  bool answered = false;   ///< Its waiters were told `unknown`.
  std::vector<Waiter> waiters;
};

/// @brief A request that waits until this VM may decide about it.
struct ParkedRequest {
  core::VmId from{};
  wire::OwnRequest message;
  core::Time deadline{};
  core::Time until{};  ///< Then it is refused.
};

/// @brief Runs each at-most-once operation at most once.
class OwnerRole {
 public:
  /// @brief Creates the role.
  /// @param self This VM.
  explicit OwnerRole(core::VmId self) : owner_(self) {}

  /// @brief Handles a request of an entry.
  /// @param from VM of the entry.
  /// @param message The request.
  /// @param context Surroundings.
  void Receive(core::VmId from, wire::OwnRequest message, Context& context);

  /// @brief Handles the reply of a dispatcher. A reply to an earlier send of
  /// the operation has no effect.
  /// @param from VM that sent it.
  /// @param reply The reply.
  /// @param context Surroundings.
  void Receive(core::VmId from, wire::DispatchReply reply, Context& context);

  /// @brief Handles a message of another owner.
  /// @param from Its VM.
  /// @param message The message.
  /// @param context Surroundings.
  void Receive(core::VmId from, const wire::AcquireRequest& message,
               Context& context);
  /// @copydoc Receive(core::VmId, const wire::AcquireRequest&, Context&)
  void Receive(core::VmId from, const wire::AcquireReply& message,
               Context& context);
  /// @copydoc Receive(core::VmId, const wire::AcquireRequest&, Context&)
  void Receive(core::VmId from, const wire::KeyUpdate& message,
               Context& context);

  /// @brief Follows a change of the view.
  /// @param table Ownership in the new view.
  /// @param changed Partitions whose ownership changed.
  /// @param member Incarnation as a member, or zero.
  /// @param context Surroundings.
  void Follow(const membership::PartitionTable& table,
              const std::vector<core::PartitionId>& changed,
              core::Incarnation member, Context& context);

  /// @brief Handles the loss of a VM.
  /// @param vm The VM.
  /// @param context Surroundings.
  void PeerLost(core::VmId vm, Context& context);

  /// @brief Ends operations without a reply and forgets old records.
  /// @param context Surroundings.
  void Tick(Context& context);

  /// @brief Number of requests that wait for an answer.
  /// @return The count.
  [[nodiscard]] std::size_t InFlight() const noexcept;

  /// @brief Operations in flight, for reports.
  /// @return The table.
  [[nodiscard]] const core::Table<OwnedOperation>& Operations() const noexcept {
    return operations_;
  }

  /// @brief Number of key records.
  /// @return The count.
  [[nodiscard]] std::size_t KeyCount() const noexcept {
    return owner_.Keys().size();
  }

  /// @brief The decisions on keys, for reports and for the membership role.
  /// @return The owner.
  [[nodiscard]] const idempotency::Owner& Decisions() const noexcept {
    return owner_;
  }

 private:
  void Decide(ParkedRequest request, Context& context);
  void Run(ParkedRequest request, Context& context);
  void Park(ParkedRequest request, Context& context);
  void RetryParked(Context& context);
  void Dispatch(core::Handle handle, Context& context);
  void Finish(core::Handle handle, const wire::Answer& answer,
              Context& context);
  void AnswerUnknown(core::Handle handle, core::ErrorKind kind,
                     Context& context);
  void Notify(OwnedOperation& operation, const wire::Answer& answer,
              Context& context);
  void Flush(Context& context);

  idempotency::Owner owner_;
  core::Table<OwnedOperation> operations_;
  std::unordered_map<std::string, core::Handle> by_key_;
  std::vector<ParkedRequest> parked_;
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_OWNER_ROLE_H_
