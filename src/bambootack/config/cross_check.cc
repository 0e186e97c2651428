#include "bambootack/config/cross_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <vector>

namespace bambootack::config {
namespace {

template <typename Map, typename Objects>
void Replace(Map& map, const Objects& objects,
             const std::vector<std::string>& removed) {
  for (const auto& it : objects) {
    map.insert_or_assign(it.id, it);
  }
  for (const std::string& id : removed) {
    map.erase(id);
  }
}

/// Ids that exist once the ticket is in force, found without copying the
/// configuration.
template <typename Map, typename Objects>
bool WillExist(const Map& map, const Objects& objects,
               const std::vector<std::string>& removed, std::string_view id) {
  if (std::find(removed.begin(), removed.end(), id) != removed.end()) {
    return false;
  }
  return map.contains(id) ||
         std::any_of(objects.begin(), objects.end(),
                     [&](const auto& it) { return it.id == id; });
}

template <typename Objects>
bool IsUntouched(const Objects& objects,
                 const std::vector<std::string>& removed, std::string_view id) {
  return std::find(removed.begin(), removed.end(), id) == removed.end() &&
         std::none_of(objects.begin(), objects.end(),
                      [&](const auto& it) { return it.id == id; });
}

class Checker {
 public:
  Checker(const FleetConfig& config, const Ticket& ticket)
      : config_(config), ticket_(ticket) {}

  std::string Run() {
    CheckRemoved("service", config_.services, ticket_.removed_services);
    CheckRemoved("route", config_.routes, ticket_.removed_routes);
    CheckRemoved("limit", config_.limits, ticket_.removed_limits);
    for (const Route& it : ticket_.routes) {
      CheckRoute(it);
    }
    for (const Limit& it : ticket_.limits) {
      CheckLimit(it);
    }
    CheckWhatRemains();
    return problem_;
  }

 private:
  void Fail(const std::string& object, const std::string& reason) {
    if (problem_.empty()) {
      problem_ = fmt::format("{}:{}: {}: {}", ticket_.source,
                             LineOf(ticket_, object), object, reason);
    }
  }

  template <typename Map>
  void CheckRemoved(std::string_view kind, const Map& map,
                    const std::vector<std::string>& removed) {
    for (const std::string& id : removed) {
      if (!map.contains(id)) {
        Fail(fmt::format("{}/{}", kind, id), "is to be removed, but not there");
      }
    }
  }

  [[nodiscard]] bool HasService(std::string_view id) const {
    return WillExist(config_.services, ticket_.services,
                     ticket_.removed_services, id);
  }

  [[nodiscard]] bool HasRoute(std::string_view id) const {
    return WillExist(config_.routes, ticket_.routes, ticket_.removed_routes,
                     id);
  }

  void CheckRoute(const Route& it) {
    if (!HasService(it.service)) {
      Fail("route/" + it.id, fmt::format("no service {}", it.service));
    }
  }

  void CheckLimit(const Limit& it) {
    if (!it.service.empty() && !HasService(it.service)) {
      Fail("limit/" + it.id, fmt::format("no service {}", it.service));
    }
    if (!it.route.empty() && !HasRoute(it.route)) {
      Fail("limit/" + it.id, fmt::format("no route {}", it.route));
    }
  }

  /// Objects in force that the ticket does not touch may name removed ones.
  void CheckWhatRemains() {
    if (ticket_.removed_services.empty() && ticket_.removed_routes.empty()) {
      return;
    }
    for (const auto& [id, it] : config_.routes) {
      if (IsUntouched(ticket_.routes, ticket_.removed_routes, id)) {
        CheckRoute(it);
      }
    }
    for (const auto& [id, it] : config_.limits) {
      if (IsUntouched(ticket_.limits, ticket_.removed_limits, id)) {
        CheckLimit(it);
      }
    }
  }

  const FleetConfig& config_;
  const Ticket& ticket_;
  std::string problem_;
};

}  // namespace

void ReplaceObjects(FleetConfig& config, const Ticket& ticket) {
  Replace(config.services, ticket.services, ticket.removed_services);
  Replace(config.routes, ticket.routes, ticket.removed_routes);
  Replace(config.limits, ticket.limits, ticket.removed_limits);
  if (ticket.ranks) {
    for (const RankPolicy& policy : *ticket.ranks) {
      config.ranks[static_cast<std::size_t>(policy.rank)] = policy;
    }
  }
}

std::string CrossCheck(const FleetConfig& config, const Ticket& ticket) {
  return Checker(config, ticket).Run();
}

}  // namespace bambootack::config
