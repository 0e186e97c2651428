#ifndef BAMBOOTACK_NODE_ENTRY_H_
#define BAMBOOTACK_NODE_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

#include "bambootack/core/table.h"
#include "bambootack/core/time.h"
#include "bambootack/node/context.h"
#include "bambootack/node/events.h"

namespace bambootack::node {

/// @brief A caller's request that waits for its answer.
struct EntryRequest {
  core::CallerId caller{};
  wire::RoutedRequest request;
  core::Time deadline{};
  /// Time of the next step: an owner is asked again, or the caller is told that
  /// no answer came.
  core::Time due{};
  core::VmId awaited = core::kNoVm;  ///< VM whose reply is awaited, if any.
  std::uint32_t sends = 0;
};

/// @brief Receives requests of callers and answers them.
class Entry {
 public:
  /// @brief Handles a new request.
  /// @param event The request.
  /// @param context Surroundings.
  void Accept(CallerRequest event, Context& context);

  /// @brief Cancels what a caller that hung up was waiting for.
  /// @param event The caller.
  /// @param context Surroundings.
  void Drop(const CallerGone& event, Context& context);

  /// @brief Handles the answer of a key owner.
  /// @param from VM that sent it.
  /// @param reply The answer.
  /// @param context Surroundings.
  void Receive(core::VmId from, const wire::OwnReply& reply, Context& context);

  /// @brief Handles the reply of a dispatcher.
  /// @param from VM that sent it.
  /// @param reply The reply.
  /// @param context Surroundings.
  void Receive(core::VmId from, const wire::DispatchReply& reply,
               Context& context);

  /// @brief Handles the loss of a VM.
  /// @param vm The VM.
  /// @param context Surroundings.
  void PeerLost(core::VmId vm, Context& context);

  /// @brief Ends requests whose deadline has passed.
  /// @param context Surroundings.
  void Tick(Context& context);

  /// @brief Number of requests in flight.
  /// @return The count.
  [[nodiscard]] std::size_t InFlight() const noexcept {
    return requests_.size();
  }

 private:
  void Forward(core::Handle handle, Context& context);
  void SendToOwner(core::Handle handle, EntryRequest& it, Context& context);
  void SendToDispatcher(core::Handle handle, EntryRequest& it,
                        Context& context);
  static wire::SendId SendIdOf(const EntryRequest& it, const Context& context);
  [[nodiscard]] bool IsAwaited(core::VmId from, core::Handle handle,
                               const wire::SendId& send,
                               const Context& context) const;
  void Await(core::Handle handle, EntryRequest& it, core::VmId vm);
  void SetDue(core::Handle handle, EntryRequest& it, core::Time due);
  void RetryOwnerOrFinish(core::Handle handle, const wire::Answer& answer,
                          Context& context);
  static void Answer(core::CallerId caller, const wire::Answer& answer,
                     Context& context);
  void CancelRead(core::Handle handle, Context& context);
  void Finish(core::Handle handle, const wire::Answer& answer,
              Context& context);
  void Erase(core::Handle handle);

  core::Table<EntryRequest> requests_;
  std::unordered_map<core::CallerId, core::Handle> by_caller_;
  // A tick and the loss of a VM visit only the requests concerned.
  std::set<std::pair<core::Time, core::Handle>> by_due_;
  std::set<std::pair<core::VmId, core::Handle>> by_awaited_;
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_ENTRY_H_
