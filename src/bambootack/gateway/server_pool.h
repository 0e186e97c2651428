#ifndef BAMBOOTACK_GATEWAY_SERVER_POOL_H_
#define BAMBOOTACK_GATEWAY_SERVER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/gateway/model.h"
#include "bambootack/gateway/server_registry.h"
#include "bambootack/gateway/stated_limit.h"
#include "bambootack/quota/return_schedule.h"

namespace bambootack::gateway {

/// @brief Maximum number of servers that one dispatcher handles. With 32
/// servers at 4 requests/s each it grants 128 slots/s, which takes a few
/// percent of a core.
inline constexpr std::size_t kMaxGroupSize = 32;

/// @brief Number of groups into which the servers of a service are divided, at
/// least 1.
[[nodiscard]] constexpr std::uint32_t GroupCount(std::size_t servers) noexcept {
  const std::size_t groups = (servers + kMaxGroupSize - 1) / kMaxGroupSize;
  return static_cast<std::uint32_t>(groups == 0 ? 1 : groups);
}

/// @brief Name of a group, which is hashed to choose its dispatcher.
[[nodiscard]] std::string GroupName(std::string_view service,
                                    std::uint32_t group);

/// @brief Constraints of a request on the choice of its server.
struct SlotRequirements {
  std::string service;
  std::uint32_t group = 0;  ///< Group of the service's servers to choose from.
  std::string route;
  bool repeatable = false;  ///< It may be retried if this attempt is lost.
  int priority = 0;
  /// Leaves one slot of each server to more urgent requests.
  bool defers_to_urgent = false;
  /// An earlier request for a slot found none free.
  bool waited_for_slot = false;
  /// Longest useful wait in a server's queue.
  core::Duration max_queue_wait{};
  core::Duration time_left{};  ///< Until the request's deadline.
  std::string failure_domain;  ///< Preferred among equally loaded servers.
  std::vector<std::string> excluded;  ///< Servers that the entry cannot use.
  /// Identifies the request; equal when a caller repeats it.
  std::uint64_t fingerprint = 0;
  std::string customer;   ///< Empty if the request has none.
  int customer_rank = 0;  ///< 0 is the most urgent; goes before `priority`.
  /// Whether the pool grants slots for the whole fleet. Only then is a server
  /// without requests idle. Not sent to peers.
  bool pool_is_fleet_wide = true;
  /// Part of the limits of servers that the pool may grant. Not sent to peers.
  double limit_share = 1.0;
};

/// @brief Permission to send one request to a server.
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

/// @brief Whether a server receives requests.
enum class ServerHealth : std::uint8_t {
  kHealthy,  ///< Receives requests up to its slots.
  kProbing,  ///< Receives single repeatable requests after a failure.
  kEjected,  ///< Receives none until its ejection time ends.
};

/// @brief Names of the states in logs and metrics.
inline constexpr core::EnumNames<ServerHealth, 3> kServerHealthNames{
    {"trusted", "trial", "resting"}};

/// @brief A change of a server's health, for logs and metrics.
struct HealthChange {
  std::string server;
  ServerHealth to = ServerHealth::kHealthy;
  AttemptOutcome cause = AttemptOutcome::kServed;
};

/// @brief Outcome of an attempt, for the detection of poison requests.
struct FinishedAttempt {
  std::uint64_t fingerprint = 0;
  std::string server;
  AttemptOutcome outcome = AttemptOutcome::kServed;
  core::Time start{};
};

/// @brief Server of a lease, and when the lease was granted.
struct LeaseStart {
  std::string server;
  core::Time start{};
};

/// @brief Slots and health of backend servers, derived from the outcomes of
/// real requests. The dispatcher of a service uses it for the whole fleet; an
/// entry without a dispatcher uses it for its own requests.
class ServerPool {
 public:
  /// @brief Updates the servers from the registry. A server whose address has
  /// changed needs no more probes.
  void Update(const ServerRegistry& registry, core::Time now);

  /// @brief Chooses a server and takes one of its slots.
  /// @param holder VM that will send the request.
  /// @param random Breaks ties between equal servers.
  /// @return The slot, or nothing if no server can take the request in time.
  std::optional<Slot> Acquire(const SlotRequirements& requirements,
                              core::VmId holder, core::Time now,
                              core::Random& random);

  /// @brief Promises a time at which the servers of a group are expected to
  /// admit a request. Each promise is later than the last one, so that callers
  /// return at the rate that the servers take.
  /// @param requirements Those of a call of `Acquire` that found no slot.
  /// @return Nothing if a healthy server of the group has no limit.
  [[nodiscard]] std::optional<core::Duration> PromiseAdmission(
      const SlotRequirements& requirements, core::Time now);

  /// @brief Finds the server and the start of a lease.
  /// @return Nothing if the lease is unknown.
  [[nodiscard]] std::optional<LeaseStart> FindLease(std::uint64_t lease) const;

  /// @brief Returns a slot and evaluates the outcome of its attempt.
  /// @param lease The slot's lease; an unknown one is ignored.
  /// @param load Load that the server reported, if any.
  void Release(std::uint64_t lease, AttemptOutcome outcome,
               const std::optional<ServerLoad>& load, core::Time now);

  /// @brief Records the outcome of an attempt whose slot a peer granted, so
  /// that this pool can choose servers while that peer does not answer.
  /// @param duration Duration of the attempt.
  void RecordAttempt(std::string_view server, std::string_view route,
                     core::Duration duration, AttemptOutcome outcome,
                     core::Time now);

  /// @brief Records what a server states about the rate of its requests.
  /// @param request_sent When the request of its answer was sent.
  /// @param stated When it answered.
  /// @return The limit known before, if it has changed.
  std::optional<LimitReport> RecordLimit(std::string_view server,
                                         const LimitReport& report,
                                         core::Time request_sent,
                                         core::Time stated);

  /// @brief Number of servers that limit the rate of their requests.
  [[nodiscard]] std::size_t LimitedServers() const noexcept {
    return limited_servers_;
  }

  /// @brief Limits of the servers of a group, to tell its dispatcher.
  [[nodiscard]] std::vector<KnownLimit> KnownLimits(std::string_view service,
                                                    std::uint32_t group,
                                                    core::Time now) const;

  /// @brief Releases leases whose holder has not reported in time.
  void ExpireLeases(core::Time now);

  /// @brief Takes the health changes since the last call, oldest first.
  [[nodiscard]] std::vector<HealthChange> TakeHealthChanges() {
    return std::exchange(health_changes_, {});
  }

  /// @brief Takes the outcomes of this pool's leases since the last call,
  /// oldest first.
  [[nodiscard]] std::vector<FinishedAttempt> TakeFinishedAttempts() {
    return std::exchange(finished_attempts_, {});
  }

  /// @brief Exponential moving average of the response times of a route, or
  /// nothing before the first answer.
  [[nodiscard]] std::optional<core::Duration> AverageResponseTime(
      std::string_view route) const;

  /// @brief Whether at least one server of a service is registered.
  [[nodiscard]] bool HasServers(std::string_view service) const {
    return servers_by_service_.contains(service);
  }

  /// @brief Number of groups of a service, at least 1.
  [[nodiscard]] std::uint32_t GroupCountOf(std::string_view service) const;

  /// @brief Number of requests in flight with leases of this pool.
  [[nodiscard]] std::size_t InFlight() const noexcept { return leases_.size(); }

 private:
  struct ServerState {
    std::string id;
    std::string service;
    std::string address;
    std::string failure_domain;
    int slots = 1;
    bool draining = false;
    core::Time warmup_end{};
    int in_flight = 0;
    int probes_in_flight = 0;
    int successes_needed = 0;  ///< Successes until the server is healthy again.
    int consecutive_failures = 0;
    core::Time ejected_until{};  ///< End of the ejection after a failure.
    /// End of the pause after it had no capacity.
    core::Time no_capacity_until{};
    core::Time last_grant{};    ///< Time of its last lease.
    core::Time last_success{};  ///< Time of its last served request.
    ServerLoad load;            ///< As last reported.
    core::Time load_reported_at{};
    /// VM that last failed to connect.
    core::VmId unreachable_from = core::kNoVm;
    core::Time unreachable_at{};
    StatedLimit limit;
    std::int64_t started = 0;  ///< A later start knows nothing of the limit.
  };

  struct Lease {
    std::string server;
    std::string route;
    std::uint64_t fingerprint = 0;
    core::VmId holder{};
    core::Time start{};
    core::Time overdue_at{};
    core::Time expires_at{};  ///< After the deadline of its request.
    bool probe = false;
  };

  /// Sort key of a candidate server; the lowest one is chosen.
  struct Preference {
    int tier = 0;
    core::Duration order{};  ///< Within a tier.
    double load = 0.0;
    std::uint64_t tie_breaker = 0;

    friend auto operator<=>(const Preference&, const Preference&) = default;
  };

  void DivideIntoGroups();
  void CountLimitedServers();
  [[nodiscard]] std::span<const std::string> ServersOf(
      std::string_view service, std::uint32_t group) const;
  [[nodiscard]] static bool IsLimitUsed(const ServerState& state,
                                        const SlotRequirements& requirements);
  [[nodiscard]] std::optional<Preference> PreferenceOf(
      const ServerState& state, const SlotRequirements& requirements,
      core::Time now, core::Random& random) const;
  [[nodiscard]] double LoadOf(const ServerState& state, core::Time now) const;
  [[nodiscard]] bool HasOverdueLease(const ServerState& state,
                                     core::Time now) const;
  [[nodiscard]] bool IsUnverified(const ServerState& state,
                                  core::Time now) const;
  [[nodiscard]] Preference UnhealthyPreference(
      const ServerState& state, const SlotRequirements& requirements,
      bool overdue, core::Time now) const;
  [[nodiscard]] Preference HealthyPreference(
      const ServerState& state, const SlotRequirements& requirements,
      double load, core::Time now) const;
  [[nodiscard]] double RequestLimit(const ServerState& state,
                                    const SlotRequirements& requirements) const;
  void Evaluate(ServerState& state, const Lease& lease, AttemptOutcome outcome,
                core::Time now);
  void RecordFailure(ServerState& state, AttemptOutcome cause,
                     core::Duration ejection, int successes_needed,
                     core::Time now);
  void RecordSuccess(ServerState& state);
  void UpdateAverageResponseTime(const Lease& lease, core::Time now);
  void RecordHealthChange(const ServerState& state, ServerHealth to,
                          AttemptOutcome cause);
  Slot Grant(ServerState& state, const SlotRequirements& requirements,
             core::VmId holder, bool probe, core::Time now);

  std::map<std::string, ServerState, std::less<>> servers_;
  /// Ids of servers that are not draining, by service and group.
  std::map<std::string, std::vector<std::vector<std::string>>, std::less<>>
      servers_by_service_;
  std::map<std::uint64_t, Lease> leases_;
  std::set<std::pair<std::string, std::uint64_t>> leases_by_server_;
  std::set<std::pair<core::Time, std::uint64_t>> leases_by_expiry_;
  std::map<std::string, core::Duration, std::less<>> response_times_;
  /// Admissions that were promised to refused callers, by group.
  std::map<std::string, quota::ReturnSchedule, std::less<>> returns_;
  std::vector<HealthChange> health_changes_;
  std::vector<FinishedAttempt> finished_attempts_;
  std::uint64_t last_lease_ = 0;
  std::size_t limited_servers_ = 0;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SERVER_POOL_H_
