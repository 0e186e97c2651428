#ifndef BAMBOOTACK_GATEWAY_SERVER_POOL_H_
#define BAMBOOTACK_GATEWAY_SERVER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/gateway/model.h"
#include "bambootack/gateway/server_registry.h"

namespace bambootack::gateway {

/// @brief Most servers that one dispatcher counts. The dispatcher of 32 servers
/// with 4 requests/s each handles 128 requests/s, some percent of a core.
inline constexpr std::size_t kMaxGroupSize = 32;

/// @brief Number of groups into which the servers of a service are divided.
/// @param servers Number of servers.
/// @return The number of groups, at least 1.
[[nodiscard]] constexpr std::uint32_t GroupCount(std::size_t servers) noexcept {
  const std::size_t groups = (servers + kMaxGroupSize - 1) / kMaxGroupSize;
  return static_cast<std::uint32_t>(groups == 0 ? 1 : groups);
}

/// @brief What a request needs of a server.
struct SlotRequirements {
  std::string service;
  std::uint32_t group = 0;  ///< Group of the service's servers to choose from.
  std::string route;
  bool repeatable = false;  ///< It may be sent again if this send is lost.
  int priority = 0;
  bool defers_to_urgent = false;  ///< It leaves room for more urgent requests.
  bool waited_for_slot = false;  ///< It was asked for before and found no room.
  core::Duration
      max_queue_wait{};        ///< Longest useful wait in a server's queue.
  core::Duration time_left{};  ///< Time until the request is given up.
  std::string failure_domain;  ///< Preferred among equals.
  std::vector<std::string> excluded;  ///< Servers that the asker cannot use.
  std::uint64_t fingerprint = 0;      ///< The same for a request that returns.
  /// The pool sees the requests of the whole fleet, so that a server without
  /// any is idle. Not sent to other VMs.
  bool pool_is_fleet_wide = true;
};

/// @brief A right to send one request to a server.
struct Slot {
  std::uint64_t lease = 0;
  std::string server;
  std::string address;
};

/// @brief Load that a server reported with an answer.
struct ServerLoad {
  int executing = 0;
  int queued = 0;
};

/// @brief Whether a server gets work.
enum class ServerHealth : std::uint8_t {
  kHealthy,  ///< Gets work up to its slots.
  kProbing,  ///< Gets single repeatable requests after a failure.
  kEjected,  ///< Gets none until its rest ends.
};

/// @brief Names of the states in logs.
inline constexpr core::EnumNames<ServerHealth, 3> kServerHealthNames{
    {"trusted", "trial", "resting"}};

/// @brief A change of trust, for logs and metrics.
struct HealthChange {
  std::string server;
  ServerHealth to = ServerHealth::kHealthy;
  AttemptOutcome cause = AttemptOutcome::kServed;
};

/// @brief How a request ended at a server, for the watch on crashes.
struct FinishedAttempt {
  std::uint64_t fingerprint = 0;
  std::string server;
  AttemptOutcome outcome = AttemptOutcome::kServed;
};

/// @brief Slots and health of backend servers, from the results of real work.
/// The dispatcher of a service uses it for the whole fleet; an entry without a
/// dispatcher uses it for its own requests.
class ServerPool {
 public:
  /// @brief Takes over the registered servers.
  /// @param registry The registry.
  /// @param now Current time.
  void Update(const ServerRegistry& registry, core::Time now);

  /// @brief Chooses a server and takes one of its slots.
  /// @param need What the request needs.
  /// @param holder VM that will send the request.
  /// @param now Current time.
  /// @param random Source of random numbers.
  /// @return The slot, or nothing if no server can take the request in time.
  std::optional<Slot> Acquire(const SlotRequirements& need, core::VmId holder,
                              core::Time now, core::Random& random);

  /// @brief Gives a slot back with the result.
  /// @param lease The slot's lease; an unknown one is ignored.
  /// @param end How the request ended.
  /// @param load Load that the server reported, if any.
  /// @param now Current time.
  void Release(std::uint64_t lease, AttemptOutcome end,
               const std::optional<ServerLoad>& load, core::Time now);

  /// @brief Notes the result of a send whose slot another VM gave, so that this
  /// pool knows what to choose while that VM does not answer.
  /// @param server The server.
  /// @param route Route of the request.
  /// @param took Time between the send and its end.
  /// @param end How the request ended.
  /// @param now Current time.
  void RecordAttempt(std::string_view server, std::string_view route,
                     core::Duration took, AttemptOutcome end, core::Time now);

  /// @brief Releases leases whose holder has not reported in time.
  /// @param now Current time.
  void ExpireLeases(core::Time now);

  /// @brief Takes the changes of trust since the last call.
  /// @return The changes, oldest first.
  [[nodiscard]] std::vector<HealthChange> TakeHealthChanges() {
    return std::exchange(changes_, {});
  }

  /// @brief Takes the ends of requests since the last call.
  /// @return The ends by leases of this pool, oldest first.
  [[nodiscard]] std::vector<FinishedAttempt> TakeFinishedAttempts() {
    return std::exchange(ends_, {});
  }

  /// @brief Usual time that a server takes for a route.
  /// @param route The route.
  /// @return The moving average, or nothing before the first answer.
  [[nodiscard]] std::optional<core::Duration> AverageResponseTime(
      std::string_view route) const;

  /// @brief Tells whether servers of a service are known.
  /// @param service The service.
  /// @return True if there is at least one.
  [[nodiscard]] bool HasServers(std::string_view service) const {
    return by_service_.contains(service);
  }

  /// @brief Number of groups of a service.
  /// @param service The service.
  /// @return The number, at least 1.
  [[nodiscard]] std::uint32_t GroupCountOf(std::string_view service) const;

  /// @brief Requests in flight by this pool's leases.
  /// @return The count.
  [[nodiscard]] std::size_t InFlight() const noexcept { return leases_.size(); }

 private:
  struct Row {
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    int slots = 1;
    bool draining = false;
    core::Time warmup_end{};
    int in_flight = 0;
    int trials = 0;           ///< Repeatable requests in flight on trial.
    int good_needed = 0;      ///< Successes until the server is trusted.
    int failures = 0;         ///< In a row.
    core::Time rest_until{};  ///< End of the pause after a failure.
    core::Time full_until{};  ///< End of the pause after a refusal.
    core::Time granted_at{};  ///< Last request given to it.
    core::Time served_at{};   ///< Last answer to a request.
    ServerLoad load;          ///< As last reported.
    core::Time load_at{};
    core::VmId unreachable_from = core::kNoVm;  ///< Last VM without a path.
    core::Time unreachable_at{};
  };

  struct Lease {
    std::string server;
    std::string route;
    std::uint64_t fingerprint = 0;
    core::VmId holder{};
    core::Time start{};
    core::Time overdue_at{};  ///< When the request takes unusually long.
    core::Time expires_at{};  ///< When its holder has surely given it up.
    bool trial = false;
  };

  /// Order in which candidates are preferred; the lowest wins.
  struct Preference {
    int tier = 0;
    core::Duration order{};
    double load = 0.0;
    std::uint64_t tie = 0;

    friend auto operator<=>(const Preference&, const Preference&) = default;
  };

  void DivideIntoGroups();
  [[nodiscard]] std::optional<Preference> Rate(const Row& row,
                                               const SlotRequirements& need,
                                               core::Time now,
                                               core::Random& random) const;
  [[nodiscard]] double LoadOf(const Row& row, core::Time now) const;
  [[nodiscard]] bool HasOverdue(const Row& row, core::Time now) const;
  [[nodiscard]] bool IsUnproven(const Row& row, core::Time now) const;
  [[nodiscard]] Preference RateOnTrial(const Row& row,
                                       const SlotRequirements& need,
                                       bool overdue, core::Time now) const;
  [[nodiscard]] Preference RateTrusted(const Row& row,
                                       const SlotRequirements& need,
                                       double load, core::Time now) const;
  [[nodiscard]] double QueueLimit(const Row& row,
                                  const SlotRequirements& need) const;
  void Judge(Row& row, const Lease& lease, AttemptOutcome end, core::Time now);
  void Fail(Row& row, AttemptOutcome cause, core::Duration rest,
            int good_needed, core::Time now);
  void Succeed(Row& row);
  void Learn(const Lease& lease, core::Time now);
  void Note(const Row& row, ServerHealth to, AttemptOutcome cause);
  Slot Grant(Row& row, const SlotRequirements& need, core::VmId holder,
             bool trial, core::Time now);

  std::map<std::string, Row, std::less<>> rows_;
  /// Servers that do not drain, by service and group.
  std::map<std::string, std::vector<std::vector<std::string>>, std::less<>>
      by_service_;
  std::map<std::uint64_t, Lease> leases_;
  std::set<std::pair<std::string, std::uint64_t>> by_server_;
  std::set<std::pair<core::Time, std::uint64_t>> by_expiry_;
  std::map<std::string, core::Duration, std::less<>> usual_;
  std::vector<HealthChange> changes_;
  std::vector<FinishedAttempt> ends_;
  std::uint64_t last_lease_ = 0;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SERVER_POOL_H_
