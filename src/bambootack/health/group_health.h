#ifndef BAMBOOTACK_HEALTH_GROUP_HEALTH_H_
#define BAMBOOTACK_HEALTH_GROUP_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/config/model.h"
#include "bambootack/core/enum_names.h"
#include "bambootack/core/handle.h"
#include "bambootack/core/time.h"
#include "bambootack/health/policy.h"

namespace bambootack::health {

/// @brief State of a server in the eyes of its dispatcher.
enum class ServerState : std::uint8_t {
  kServing,    ///< Gets work up to its slots.
  kEjected,    ///< Out for the ejection time.
  kProbing,    ///< Gets single repeatable requests after an ejection.
  kSlowStart,  ///< Trusted again, with a growing number of slots.
  kLeaving,    ///< Draining: gets no new work.
  kStarting,   ///< New or restarted: gets single repeatable requests.
};

/// @brief Names of the states in reports.
inline constexpr core::EnumNames<ServerState, 6> kServerStateNames{
    {"serving", "ejected", "trial", "ramp", "leaving", "starting"}};

/// @brief Source of a report that a server is leaving.
enum class LeavingSource : std::uint8_t { kServer, kTicket, kVmList, kPeer };

/// @brief How much work a server may get.
struct Admission {
  int slots = 0;
  bool repeatable_only = false;
  /// Running requests that are overdue. They are no measure of the server's
  /// load: a least-loaded choice that counts them sends no work that could show
  /// whether the server or a single request is at fault.
  int overdue = 0;

  friend bool operator==(const Admission&, const Admission&) = default;
};

/// @brief A server with the decisions on it.
struct ServerStatus {
  std::string id;
  int slots = 0;
  config::Pin pin = config::Pin::kNone;
  ServerState state = ServerState::kServing;
  Admission admission;
  bool restarting = false;   ///< Lost by a crash rather than by draining.
  int ejections = 0;         ///< Since it was last healthy for long.
  double failure_rate = 0;   ///< Moving average over the last requests.
  core::Time since{};        ///< Start of the state.
  core::Time until{};        ///< End of the ejection or next trial.
  int good_trials = 0;       ///< In a row.
  bool lost = false;         ///< The last result was a lost connection.
  core::Time last_reset{};   ///< Time of the last lost connection.
  std::uint8_t leaving = 0;  ///< Bit set of `LeavingSource`.
};

/// @brief A change of state, for logs and metrics.
struct Transition {
  std::string server;
  ServerState from = ServerState::kServing;
  ServerState to = ServerState::kServing;
};

/// @brief Health of one group of servers as seen by one dispatcher: who is
/// ejected, how servers return, and the group's share of the floor.
class GroupHealth {
 public:
  /// @brief Creates the health of a group without servers.
  /// @param kind Ejection policy.
  explicit GroupHealth(PolicyKind kind = PolicyKind::kSequential)
      : policy_(MakePolicy(kind)) {}

  /// @brief Takes over the configuration. The servers of the first
  /// configuration serve at once, later ones start with trial requests.
  /// @param service The service, for its floor.
  /// @param servers Servers of the group.
  /// @param now Current time.
  void Configure(const config::Service& service,
                 const std::vector<config::Server>& servers, core::Time now);

  /// @brief Notes that a request was sent to a server.
  /// @param request Its handle.
  /// @param server_id The server.
  /// @param route Route of the request.
  /// @param now Current time.
  void OnAttemptStarted(core::Handle request, std::string_view server_id,
                        std::string_view route, core::Time now);

  /// @brief Notes the end of a request.
  /// @param request Its handle.
  /// @param kind How it ended.
  /// @param now Current time.
  void OnAttemptFinished(core::Handle request, EvidenceKind kind,
                         core::Time now);

  /// @brief Notes the end of a request that is no evidence by itself, such as
  /// one that was cancelled or is suspected of crashing servers.
  /// @param request Its handle.
  /// @param kind How it ended; a lost connection is remembered, so that a
  /// refused one after it is recognized as a restart.
  /// @param now Current time.
  void OnAttemptFinishedWithoutEvidence(core::Handle request, EvidenceKind kind,
                                        core::Time now);

  /// @brief Notes what a source says about a server's departure.
  /// @param server_id The server.
  /// @param source The source.
  /// @param leaving Whether the server is leaving.
  /// @param now Current time.
  void MarkLeaving(std::string_view server_id, LeavingSource source,
                   bool leaving, core::Time now);

  /// @brief Evaluates elapsed times and moves states on.
  /// @param now Current time.
  void OnTimer(core::Time now);

  /// @brief Servers with their states and admissions.
  /// @return The servers.
  [[nodiscard]] const std::vector<ServerStatus>& Servers() const noexcept {
    return servers_;
  }

  /// @brief Slots admitted for all kinds of work.
  /// @return The sum over all servers.
  [[nodiscard]] int AdmittedSlots() const noexcept;

  /// @brief The group's share of the service's floor.
  /// @return Slots.
  [[nodiscard]] int FloorShare() const noexcept { return floor_share_; }

  /// @brief Changes of state since the last call.
  /// @return The changes in order.
  [[nodiscard]] std::vector<Transition> TakeTransitions();

 private:
  struct Running {
    std::string server_id;
    RouteIndex route = 0;
    core::Time started;
    std::uint8_t counted = 0;
    bool stuck = false;
  };

  [[nodiscard]] std::optional<ServerIndex> Find(std::string_view id) const;
  RouteIndex RouteOf(std::string_view route);
  void RemoveMissing(const std::vector<config::Server>& servers);
  void AddOrUpdate(const config::Server& server, bool first, core::Time now);
  void Move(ServerIndex server, ServerState to, core::Time now);
  void Eject(ServerIndex server, core::Time now);
  void Leave(ServerIndex server, core::Time now);
  void Restart(ServerIndex server, core::Time now);
  void Note(const Evidence& evidence, core::Time started);
  void NoteTrial(const Evidence& evidence);
  void ObserveRunning(core::Time now);
  void MoveOn(ServerIndex server, core::Time now);
  void EjectUnhealthy(core::Time now);
  void Allocate(core::Time now);

  std::vector<ServerStatus> servers_;
  std::map<std::string, RouteIndex, std::less<>> routes_;
  std::map<core::Handle, Running> running_;
  std::vector<Transition> transitions_;
  Policy policy_;
  int floor_share_ = 0;
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_GROUP_HEALTH_H_
