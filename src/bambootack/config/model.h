#ifndef BAMBOOTACK_CONFIG_MODEL_H_
#define BAMBOOTACK_CONFIG_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/rank.h"
#include "bambootack/core/time.h"

namespace bambootack::config {

/// @brief Most servers that one dispatcher handles.
inline constexpr std::size_t kMaxGroupSize = 8;

/// @brief Operator's override of health decisions on a server.
enum class Pin : std::uint8_t { kNone, kIn, kOut };

/// @brief Names of the overrides in tickets.
inline constexpr core::EnumNames<Pin, 3> kPinNames{{"none", "in", "out"}};

/// @brief One backend server.
struct Server {
  std::string id;
  std::string address;  ///< IP:port
  std::string failure_domain;
  int slots = 1;  ///< Requests that it runs at the same time.
  Pin pin = Pin::kNone;
  bool leaving = false;

  friend bool operator==(const Server&, const Server&) = default;
};

/// @brief One service with its backend servers.
struct Service {
  std::string id;
  int floor_slots = 0;        ///< Healthy slots that ejection must leave.
  double retry_budget = 0.1;  ///< Retries as a share of first attempts.
  std::vector<Server> servers;

  friend bool operator==(const Service&, const Service&) = default;
};

/// @brief Maps a method and path prefix to a service and its treatment.
struct Route {
  std::string id;
  std::string method;
  std::string path;  ///< Prefix of the path, whole segments.
  std::string service;
  core::Rank rank = core::Rank::kNormal;
  core::OperationKind kind = core::OperationKind::kAtMostOnce;
  core::Duration timeout = std::chrono::seconds(2);
  bool mint_key = false;  ///< The entry makes a key when the caller has none.

  friend bool operator==(const Route&, const Route&) = default;
};

/// @brief Treatment of one rank in every queue.
struct RankPolicy {
  core::Rank rank = core::Rank::kNormal;
  core::Duration target = std::chrono::milliseconds(500);
  double share = 0.0;  ///< Guaranteed share of the slots while work waits.

  friend bool operator==(const RankPolicy&, const RankPolicy&) = default;
};

/// @brief Rate limit. An empty field matches everything.
struct Limit {
  std::string id;
  std::string service;
  std::string route;
  std::string customer;  ///< "*" limits each customer by itself.
  std::optional<core::Rank> rank;
  double per_second = 0.0;
  double burst = 1.0;

  friend bool operator==(const Limit&, const Limit&) = default;
};

/// @brief The whole configuration in force.
struct FleetConfig {
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, Route, std::less<>> routes;
  std::map<std::string, Limit, std::less<>> limits;
  std::array<RankPolicy, core::kRankCount> ranks{{
      {core::Rank::kUrgent, std::chrono::milliseconds(300), 0.5},
      {core::Rank::kNormal, std::chrono::milliseconds(1000), 0.25},
      {core::Rank::kBackground, std::chrono::milliseconds(5000), 0.1},
  }};

  friend bool operator==(const FleetConfig&, const FleetConfig&) = default;
};

/// @brief Finds the route with the longest matching path prefix.
/// @param config Configuration.
/// @param method Request method.
/// @param path Request path.
/// @return The route, or null.
[[nodiscard]] const Route* FindRoute(const FleetConfig& config,
                                     std::string_view method,
                                     std::string_view path) noexcept;

/// @brief Identifies a dispatcher's group of servers.
struct GroupKey {
  std::string service;
  std::string failure_domain;
  std::uint32_t number = 0;

  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

/// @brief Text form of a group key, for hashing and reports.
/// @param key The key.
/// @return "service/failure_domain/number".
[[nodiscard]] std::string ToString(const GroupKey& key);

/// @brief Divides a service's servers into groups of at most `kMaxGroupSize`.
/// @param service The service.
/// @return Servers of each group, in the order of their ids.
[[nodiscard]] std::map<GroupKey, std::vector<Server>> GroupsOf(
    const Service& service);

/// @brief Share of the service's floor that one group has to hold.
/// The shares of all groups add up to at least the floor.
/// @param service The service.
/// @param group_slots Slots of the group.
/// @return Slots, rounded up.
[[nodiscard]] int FloorShare(const Service& service, int group_slots) noexcept;

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_MODEL_H_
