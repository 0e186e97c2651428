#ifndef BAMBOOTACK_NODE_DISPATCHER_ROLE_H_
#define BAMBOOTACK_NODE_DISPATCHER_ROLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "bambootack/core/table.h"
#include "bambootack/dispatch/group.h"
#include "bambootack/dispatch/rate_limiter.h"
#include "bambootack/node/context.h"
#include "bambootack/node/events.h"
#include "bambootack/node/health_glue.h"

namespace bambootack::node {

/// @brief A request that was dispatched to this VM.
struct Job {
  core::VmId from{};
  wire::RequesterRole role = wire::RequesterRole::kEntry;
  core::Handle requester;
  wire::SendId send;
  config::GroupKey group;
  wire::RoutedRequest request;
  core::Time queued{};
  core::Time started{};  ///< When it was sent to the server.
  core::Time deadline{};
  std::string server_id;  ///< Empty while queued.
  int sends = 0;
};

/// @brief Queues requests for groups of servers and runs them.
class DispatcherRole {
 public:
  /// @brief Handles a request of an entry or owner.
  /// @param from Its VM.
  /// @param message The request.
  /// @param context Surroundings.
  void Receive(core::VmId from, wire::DispatchRequest message,
               Context& context);

  /// @brief Handles a cancellation.
  /// @param from VM of the requester.
  /// @param message The cancellation.
  /// @param context Surroundings.
  void Receive(core::VmId from, const wire::Cancel& message, Context& context);

  /// @brief Handles the end of an attempt.
  /// @param event The result.
  /// @param context Surroundings.
  void Receive(AttemptResult event, Context& context);

  /// @brief Removes work whose deadline has passed.
  /// @param context Surroundings.
  void Tick(Context& context);

  /// @brief Takes over a changed configuration.
  /// @param context Surroundings.
  void Reconfigure(Context& context);

  /// @brief Number of requests queued or running.
  /// @return The count.
  [[nodiscard]] std::size_t InFlight() const noexcept { return jobs_.size(); }

  /// @brief Requests queued or running, for reports.
  /// @return The table.
  [[nodiscard]] const core::Table<Job>& Jobs() const noexcept { return jobs_; }

  /// @brief Groups that this VM has served.
  /// @return The groups.
  [[nodiscard]] const std::map<config::GroupKey, dispatch::Group>& Groups()
      const noexcept {
    return groups_;
  }

  /// @brief Health of the groups and the held fingerprints.
  /// @return The glue to the health module.
  [[nodiscard]] HealthGlue& Health() noexcept { return health_; }
  /// @copydoc Health
  [[nodiscard]] const HealthGlue& Health() const noexcept { return health_; }

 private:
  /// What a requester calls a job: its VM, its role, its handle and its send.
  using Requester =
      std::tuple<core::VmId, wire::RequesterRole, core::Handle, wire::SendId>;

  /// What belongs to a group besides its queue.
  struct Serving {
    dispatch::RateLimiter limits;
    core::Time last_work{};
  };

  dispatch::Group* Open(const config::GroupKey& key, Context& context);
  void Configure(const config::GroupKey& key, dispatch::Group& group,
                 Context& context);
  std::optional<wire::Answer> Refuse(dispatch::Group& group, Serving& serving,
                                     core::Handle handle, Context& context);
  bool TakeBack(core::Handle handle, const AttemptResult& event,
                Context& context);
  void EndExpired(dispatch::Group& group, Context& context);
  void Pump(dispatch::Group& group, Context& context);
  void Reply(core::Handle handle, wire::RunState state, wire::Answer answer,
             Context& context);

  core::Table<Job> jobs_;
  std::map<Requester, core::Handle> by_requester_;
  std::map<config::GroupKey, dispatch::Group> groups_;
  std::map<config::GroupKey, Serving> serving_;
  HealthGlue health_;
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_DISPATCHER_ROLE_H_
