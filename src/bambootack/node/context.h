#ifndef BAMBOOTACK_NODE_CONTEXT_H_
#define BAMBOOTACK_NODE_CONTEXT_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/config/store.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/dispatch/group_chooser.h"
#include "bambootack/dispatch/retry_budget.h"
#include "bambootack/membership/view.h"
#include "bambootack/metrics/registry.h"
#include "bambootack/node/actions.h"
#include "bambootack/settings/settings.h"

namespace bambootack::node {

/// @brief How long a VM is avoided after it was found silent.
inline constexpr core::Duration kSuspicion = std::chrono::seconds(2);

/// @brief Groups and retry budgets, derived from the configuration and view.
struct DispatchTables {
  config::Position position;
  core::ViewNumber view{};
  std::size_t members = 0;  ///< Of the view; 0 before the first computation.
  dispatch::GroupChooser chooser;
  dispatch::RetryBudgets retries;
};

/// @brief State that the roles of one node share.
struct Shared {
  settings::Settings settings;
  core::Incarnation incarnation{};
  config::Store store;
  membership::View view;
  core::Random random{0};
  /// VMs whose connection failed lately, with the end of the suspicion.
  std::map<core::VmId, core::Time> suspected;
  DispatchTables dispatch;
  bool stopping = false;
  metrics::Registry metrics;
  /// The state of a peer, or the log to its end, has been taken over.
  bool caught_up = false;

  /// @brief Tells whether this VM may take traffic by its control state.
  /// @return True if so.
  [[nodiscard]] bool HasControlState() const noexcept {
    return caught_up && store.HasState();
  }
};

/// @brief Surroundings of one event: time, shared state and collected output.
struct Context {
  core::Time now;
  core::WallTime wall;
  Shared& shared;
  std::vector<Action>& actions;
  std::deque<wire::Message>& to_self;  ///< Messages to this VM, handled next.

  /// @brief Emits an action.
  /// @param action The action.
  void Do(Action action) { actions.push_back(std::move(action)); }

  /// @brief Sends a message to a VM, which may be this one.
  /// @param vm Receiver.
  /// @param message The message.
  void Send(core::VmId vm, wire::Message message) {
    if (vm == shared.settings.vm) {
      to_self.push_back(std::move(message));
    } else {
      Do(SendToPeer{vm, std::move(message)});
    }
  }

  /// @brief Writes a log event.
  /// @param id Event.
  /// @param detail Details of this occurrence.
  void Log(log::EventId id, std::string detail) {
    Do(WriteLog{{id, std::move(detail)}});
  }

  /// @brief Avoids a VM for a while.
  /// @param vm The VM.
  void Suspect(core::VmId vm) const { shared.suspected[vm] = now + kSuspicion; }

  /// @brief Tells whether a VM is suspected to be unreachable.
  /// @param vm The VM.
  /// @return True while the suspicion lasts.
  [[nodiscard]] bool IsSuspected(core::VmId vm) const {
    const auto it = shared.suspected.find(vm);
    return it != shared.suspected.end() && it->second > now;
  }
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_CONTEXT_H_
