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

/// @brief State of a server as evaluated by its dispatcher.
enum class ServerState : std::uint8_t {
  kServing,    ///< Gets requests up to its slots.
  kEjected,    ///< Gets no requests for the ejection time.
  kProbing,    ///< Gets single repeatable requests after an ejection.
  kSlowStart,  ///< Gets requests up to a growing number of slots.
  kLeaving,    ///< Draining: gets no new requests.
  kStarting,   ///< New or restarted: gets single repeatable requests.
};

/// @brief Names of the states in reports and log lines.
inline constexpr core::EnumNames<ServerState, 6> kServerStateNames{
    {"serving", "ejected", "trial", "ramp", "leaving", "starting"}};

/// @brief Source of a report that a server is leaving.
enum class LeavingSource : std::uint8_t { kServer, kTicket, kVmList, kPeer };

/// @brief Requests that a server may be given.
struct Admission {
  int slots = 0;
  bool repeatable_only = false;
  /// Overdue requests on the server. They are not counted as load: a
  /// least-loaded choice that counted them would avoid the server, and no
  /// further requests would show whether the server or one request is at fault.
  int overdue = 0;

  friend bool operator==(const Admission&, const Admission&) = default;
};

/// @brief A server with its state and admission.
struct ServerStatus {
  std::string id;
  int slots = 0;
  config::Pin pin = config::Pin::kNone;
  ServerState state = ServerState::kServing;
  Admission admission;
  bool restarting = false;    ///< Starting after a crash rather than a drain.
  int ejections = 0;          ///< Reset after 10 min in `kServing`.
  double failure_rate = 0;    ///< Exponential moving average.
  core::Time since{};         ///< Start of the state.
  core::Time until{};         ///< End of the ejection or pause, or next probe.
  int successful_probes = 0;  ///< In a row.
  bool connection_lost = false;  ///< By the last result.
  core::Time last_reset{};       ///< Time of the last lost connection.
  std::uint8_t leaving = 0;      ///< Bit set of `LeavingSource`.
};

/// @brief A change of state, for logs and metrics.
struct Transition {
  std::string server;
  ServerState from = ServerState::kServing;
  ServerState to = ServerState::kServing;
};

/// @brief Health of one group of servers as evaluated by one dispatcher: which
/// servers are ejected and how they are readmitted, without going below the
/// group's share of the floor.
class GroupHealth {
 public:
  /// @param kind Ejection policy.
  explicit GroupHealth(PolicyKind kind = PolicyKind::kSequential)
      : policy_(MakePolicy(kind)) {}

  /// @brief Applies a configuration. The servers of the first configuration
  /// serve at once, servers added later are probed first.
  /// @param service The service, for its floor.
  /// @param servers Servers of the group.
  void Configure(const config::Service& service,
                 const std::vector<config::Server>& servers, core::Time now);

  /// @brief Records that a request was sent to a server.
  /// @param handle Identifies the attempt until it finishes.
  void OnAttemptStarted(core::Handle handle, std::string_view server_id,
                        std::string_view route, core::Time now);

  /// @brief Records the end of an attempt and evaluates its server.
  /// @param handle Handle of the attempt; an unknown one is ignored.
  void OnAttemptFinished(core::Handle handle, EvidenceKind kind,
                         core::Time now);

  /// @brief Records the end of an attempt that is no evidence by itself, such
  /// as one that was cancelled or is suspected of crashing servers.
  /// @param handle Handle of the attempt; an unknown one is ignored.
  /// @param kind How it ended; a lost connection is recorded, so that a refused
  /// one after it is recognized as a restart.
  void OnAttemptFinishedWithoutEvidence(core::Handle handle, EvidenceKind kind,
                                        core::Time now);

  /// @brief Records whether a source reports a server as leaving. The server
  /// gets no new requests while any source does.
  void MarkLeaving(std::string_view server_id, LeavingSource source,
                   bool leaving, core::Time now);

  /// @brief Evaluates attempts in flight and advances the states of servers
  /// whose time is up.
  void OnTimer(core::Time now);

  [[nodiscard]] const std::vector<ServerStatus>& Servers() const noexcept {
    return servers_;
  }

  /// @return Slots admitted for requests of any kind, over all servers. Slots
  /// for repeatable requests only don't count.
  [[nodiscard]] int AdmittedSlots() const noexcept;

  /// @return The group's share of the service's floor, in slots.
  [[nodiscard]] int FloorShare() const noexcept { return floor_share_; }

  /// @return Changes of state since the last call, oldest first.
  [[nodiscard]] std::vector<Transition> TakeTransitions();

 private:
  struct InFlightAttempt {
    std::string server_id;
    RouteIndex route = 0;
    core::Time started;
    std::uint8_t counted_signals = 0;
    bool overdue = false;
  };

  [[nodiscard]] std::optional<ServerIndex> FindServer(
      std::string_view id) const;
  RouteIndex RouteIndexOf(std::string_view route);
  void RemoveMissing(const std::vector<config::Server>& servers);
  void AddOrUpdate(const config::Server& server, bool first, core::Time now);
  void SetState(ServerIndex server, ServerState to, core::Time now);
  void Eject(ServerIndex server, core::Time now);
  void BeginLeaving(ServerIndex server, core::Time now);
  void BeginRestart(ServerIndex server, core::Time now);
  void RecordEvidence(const Evidence& evidence, core::Time started);
  void RecordProbe(const Evidence& evidence);
  void ObserveInFlight(core::Time now);
  void AdvanceState(ServerIndex server, core::Time now);
  void EjectUnhealthy(core::Time now);
  void UpdateAdmissions(core::Time now);

  std::vector<ServerStatus> servers_;
  std::map<std::string, RouteIndex, std::less<>> routes_;
  std::map<core::Handle, InFlightAttempt> in_flight_;
  std::vector<Transition> transitions_;
  Policy policy_;
  int floor_share_ = 0;
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_GROUP_HEALTH_H_
