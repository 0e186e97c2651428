#ifndef BAMBOOTACK_NODE_HEALTH_GLUE_H_
#define BAMBOOTACK_NODE_HEALTH_GLUE_H_

#include <map>
#include <string_view>

#include "bambootack/config/model.h"
#include "bambootack/core/handle.h"
#include "bambootack/core/time.h"
#include "bambootack/dispatch/group.h"
#include "bambootack/health/group_health.h"
#include "bambootack/health/request_quarantine.h"
#include "bambootack/node/events.h"

namespace bambootack::node {

struct Context;
struct Job;

/// @brief Kind of evidence of the end of an attempt.
/// @param event The end.
/// @return The kind.
[[nodiscard]] health::EvidenceKind EvidenceOf(const AttemptResult& event);

/// @brief Connects the dispatcher's attempts with the health of its groups and
/// with the fingerprints that crash servers.
class HealthGlue {
 public:
  /// @brief Takes over the configuration of a group.
  /// @param group The group.
  /// @param key Its key.
  /// @param config Configuration in force.
  /// @param now Current time.
  void Configure(dispatch::Group& group, const config::GroupKey& key,
                 const config::FleetConfig& config, core::Time now);

  /// @brief Tells whether a request is held.
  /// @param job The request.
  /// @param now Current time.
  /// @return True if it must not run.
  [[nodiscard]] bool IsHeld(const Job& job, core::Time now) const;

  /// @brief Notes that an attempt has started.
  /// @param attempt Its handle.
  /// @param job The request.
  /// @param now Current time.
  void Start(core::Handle attempt, const Job& job, core::Time now);

  /// @brief Notes the end of an attempt.
  /// @param event The end.
  /// @param job The request.
  /// @param group Its group.
  /// @param now Current time.
  void Finish(const AttemptResult& event, const Job& job,
              dispatch::Group& group, core::Time now);

  /// @brief Notes that the requester has cancelled an attempt.
  /// @param attempt Its handle.
  /// @param job The request.
  /// @param group Its group.
  /// @param now Current time.
  void Cancel(core::Handle attempt, const Job& job, dispatch::Group& group,
              core::Time now);

  /// @brief Notes what a source says about a server's departure.
  /// @param group The group.
  /// @param key Its key.
  /// @param server_id The server.
  /// @param source The source.
  /// @param leaving Whether the server is leaving.
  /// @param now Current time.
  void MarkLeaving(dispatch::Group& group, const config::GroupKey& key,
                   std::string_view server_id, health::LeavingSource source,
                   bool leaving, core::Time now);

  /// @brief Moves the states of a group on and logs their changes.
  /// @param group The group.
  /// @param key Its key.
  /// @param context Surroundings.
  void Tick(dispatch::Group& group, const config::GroupKey& key,
            Context& context);

  /// @brief Fingerprints suspected of crashing servers.
  /// @return The guard, from which gossip exports and into which it merges.
  [[nodiscard]] health::RequestQuarantine& Guard() noexcept { return guard_; }
  /// @copydoc Guard
  [[nodiscard]] const health::RequestQuarantine& Guard() const noexcept {
    return guard_;
  }

  /// @brief Health of the groups that this VM has served, for reports.
  /// @return The groups.
  [[nodiscard]] const std::map<config::GroupKey, health::GroupHealth>& Groups()
      const noexcept {
    return groups_;
  }

 private:
  bool NoteCrash(const AttemptResult& event, const Job& job, core::Time now);

  std::map<config::GroupKey, health::GroupHealth> groups_;
  health::RequestQuarantine guard_;
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_HEALTH_GLUE_H_
