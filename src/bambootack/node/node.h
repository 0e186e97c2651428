#ifndef BAMBOOTACK_NODE_NODE_H_
#define BAMBOOTACK_NODE_NODE_H_

#include <deque>
#include <optional>
#include <vector>

#include "bambootack/node/actions.h"
#include "bambootack/node/context.h"
#include "bambootack/node/control_role.h"
#include "bambootack/node/dispatcher_role.h"
#include "bambootack/node/entry.h"
#include "bambootack/node/events.h"
#include "bambootack/node/membership_role.h"
#include "bambootack/node/owner_role.h"

namespace bambootack::node {

/// @brief All decisions of one VM: events and time in, actions out.
class Node {
 public:
  /// @brief Creates a node.
  /// @param settings Settings of the daemon.
  /// @param incarnation Start number of the process.
  /// @param seed Seed of its random numbers.
  Node(settings::Settings settings, core::Incarnation incarnation,
       std::uint64_t seed);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @brief Reacts to an event.
  /// @param event The event.
  /// @param now Monotonic time.
  /// @param wall Calendar time.
  /// @return Actions for the shell, in order.
  [[nodiscard]] std::vector<Action> Handle(Event event, core::Time now,
                                           core::WallTime wall);

  /// @brief Shared state, for reports.
  /// @return The state.
  [[nodiscard]] const Shared& State() const noexcept { return shared_; }

  /// @brief The dispatcher role, for reports.
  /// @return The role.
  [[nodiscard]] const DispatcherRole& Dispatcher() const noexcept {
    return dispatcher_;
  }

  /// @brief The owner role, for reports.
  /// @return The role.
  [[nodiscard]] const OwnerRole& Owner() const noexcept { return owner_; }

  /// @brief The membership role, for reports.
  /// @return The role.
  [[nodiscard]] const MembershipRole& Membership() const noexcept {
    return membership_;
  }

  /// @brief The control role, for reports.
  /// @return The role.
  [[nodiscard]] const ControlRole& Control() const noexcept { return control_; }

  /// @brief The entry role, for reports.
  /// @return The role.
  [[nodiscard]] const Entry& EntryRole() const noexcept { return entry_; }

 private:
  void On(CallerRequest event, Context& context);
  void On(CallerGone event, Context& context);
  void On(PeerMessage event, Context& context);
  void On(const FrameRejected& event, Context& context);
  void On(PeerLost event, Context& context);
  void On(AttemptResult event, Context& context);
  void On(const LogRead& event, Context& context);
  void On(const LogAppended& event, Context& context);
  void On(const VmListRead& event, Context& context);
  void On(const OperatorRequest& event, Context& context);
  void On(StopRequested event, Context& context);
  void On(Tick event, Context& context);

  void ConnectHeldRequests();
  void Receive(core::VmId from, wire::Message message, Context& context);
  void FollowLog(const LogRead& event, Context& context);
  void TakeConfiguration(Context& context);
  void BeginStop(Context& context);
  void EndStopWhenIdle(Context& context);
  void EndStop(Context& context);
  [[nodiscard]] bool IsIdle() const noexcept;

  Shared shared_;
  std::deque<wire::Message> to_self_;
  Entry entry_;
  OwnerRole owner_;
  DispatcherRole dispatcher_;
  ControlRole control_;
  MembershipRole membership_;
  core::Time serve_until_{};  ///< End of the grace period of a stop.
  core::Time stop_by_{};      ///< Limit of a stop.
  std::optional<core::Time> idle_since_;
  bool announced_ready_ = false;
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_NODE_H_
