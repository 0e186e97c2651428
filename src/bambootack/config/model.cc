#include "bambootack/config/model.h"

#include <algorithm>
#include <numeric>

namespace bambootack::config {
namespace {

bool HasPrefix(std::string_view path, std::string_view prefix) noexcept {
  if (!path.starts_with(prefix)) {
    return false;
  }
  const bool whole = prefix.ends_with('/') || path.size() == prefix.size();
  return whole || path[prefix.size()] == '/';
}

}  // namespace

const Route* FindRoute(const FleetConfig& config, std::string_view method,
                       std::string_view path) noexcept {
  const Route* best = nullptr;
  for (const auto& [id, route] : config.routes) {
    if (route.method == method && HasPrefix(path, route.path) &&
        (best == nullptr || route.path.size() > best->path.size())) {
      best = &route;
    }
  }
  return best;
}

std::string ToString(const GroupKey& key) {
  return key.service + "/" + key.failure_domain + "/" +
         std::to_string(key.number);
}

std::map<GroupKey, std::vector<Server>> GroupsOf(const Service& service) {
  std::map<std::string, std::vector<Server>> domains;
  for (const Server& server : service.servers) {
    domains[server.failure_domain].push_back(server);
  }
  std::map<GroupKey, std::vector<Server>> groups;
  for (auto& [domain, servers] : domains) {
    std::sort(servers.begin(), servers.end(),
              [](const Server& a, const Server& b) { return a.id < b.id; });
    const std::size_t count =
        (servers.size() + kMaxGroupSize - 1) / kMaxGroupSize;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      const auto number = static_cast<std::uint32_t>(i % count);
      groups[GroupKey{service.id, domain, number}].push_back(servers[i]);
    }
  }
  return groups;
}

int FloorShare(const Service& service, int group_slots) noexcept {
  const int total =
      std::accumulate(service.servers.begin(), service.servers.end(), 0,
                      [](int sum, const Server& it) { return sum + it.slots; });
  if (total == 0) {
    return 0;
  }
  return (service.floor_slots * group_slots + total - 1) / total;
}

}  // namespace bambootack::config
