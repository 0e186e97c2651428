#ifndef BAMBOOTACK_DISPATCH_GROUP_CHOOSER_H_
#define BAMBOOTACK_DISPATCH_GROUP_CHOOSER_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/config/model.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/membership/view.h"
#include "bambootack/wire/messages.h"

namespace bambootack::dispatch {

/// @brief Number of VMs, from the front of the hash order, that may be the
/// dispatcher of a group.
inline constexpr std::size_t kDispatcherCandidates = 3;

/// @brief A group that can handle requests of a service.
struct GroupCandidate {
  config::GroupKey group;
  std::vector<config::Server> servers;
  std::vector<core::VmId> dispatchers;  ///< In hash order.
  double slots = 0.0;                   ///< Of the servers that are in service.
  double weight = 0.0;  ///< Proportional to the probability of a draw.
  wire::GroupLoad load;
  core::Time load_at{};  ///< When `load` was recorded.
};

/// @brief Chooses a group for each request: of two that are drawn at random by
/// weight, the less loaded one according to their last recorded loads. Groups
/// and their dispatchers are computed once for each configuration and view.
class GroupChooser {
 public:
  /// @brief Applies a configuration and a membership view. A group that stays
  /// keeps its last load.
  /// @param local_domain Failure domain of the local VM.
  void Configure(const config::FleetConfig& config,
                 const membership::View& view, std::string_view local_domain);

  /// @brief Records the load of a group; an unknown group is ignored.
  void RecordLoad(const wire::GroupLoad& load, core::Time now);

  /// @param rank Rank of the request, whose expected wait is compared.
  /// @return The group, or null if the service has no servers.
  [[nodiscard]] const GroupCandidate* Choose(std::string_view service,
                                             core::Rank rank, core::Time now,
                                             core::Random& random) const;

  /// @return The group, or null if the configuration has none.
  [[nodiscard]] const GroupCandidate* Find(const config::GroupKey& key) const;

 private:
  using Candidates = std::vector<GroupCandidate>;

  std::map<std::string, Candidates, std::less<>> services_;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_GROUP_CHOOSER_H_
