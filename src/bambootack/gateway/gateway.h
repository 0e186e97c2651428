#ifndef BAMBOOTACK_GATEWAY_GATEWAY_H_
#define BAMBOOTACK_GATEWAY_GATEWAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bambootack/core/error_kind.h"
#include "bambootack/core/random.h"
#include "bambootack/core/table.h"
#include "bambootack/customers/key_confirmation.h"
#include "bambootack/gateway/graceful_shutdown.h"
#include "bambootack/gateway/limit_loans.h"
#include "bambootack/gateway/messages.h"
#include "bambootack/gateway/metrics.h"
#include "bambootack/gateway/peer_directory.h"
#include "bambootack/gateway/poison_request_detector.h"
#include "bambootack/gateway/refusal.h"
#include "bambootack/gateway/retry_allowance.h"
#include "bambootack/gateway/route_table.h"
#include "bambootack/gateway/server_pool.h"
#include "bambootack/gateway/server_protocol.h"
#include "bambootack/gateway/server_registry.h"
#include "bambootack/gateway/state_sync.h"
#include "bambootack/log/event.h"
#include "bambootack/node/actions.h"
#include "bambootack/node/events.h"
#include "bambootack/quota/lender.h"
#include "bambootack/quota/owner.h"

namespace bambootack::gateway {

/// @brief Identity of the local VM and parameters set by the platform.
struct GatewayOptions {
  core::VmId vm{};
  std::string peer_address;  ///< IP:port on which peers reach this VM.
  std::string failure_domain;
  HeaderNames header_names;
  double retry_ratio = 0.1;  ///< Retries per first attempt.
  double retry_burst = 1.0;  ///< Retries of the whole fleet beyond the ratio.
  core::Duration retry_window = std::chrono::seconds(10);
  /// Time within which a change of servers or of the configuration must be in
  /// force.
  core::Duration change_time = std::chrono::seconds(2);
  customers::HashSecret key_secret{};  ///< For hashes of API keys.
  /// Time after which a withdrawn API key must not work on any VM. Nothing: the
  /// API keys of the configuration in force are used however old it is.
  std::optional<core::Duration> key_withdrawal_time = std::nullopt;
  quota::Tolerance quota_tolerance = {};
};

/// @brief Action: transmits a request once to a backend server.
struct StartAttempt {
  std::uint64_t id = 0;
  std::string address;
  core::HttpRequest http;
  core::Duration timeout{};
};

/// @brief Action: closes the connection of an attempt.
struct CancelAttempt {
  std::uint64_t id = 0;
};

/// @brief Action: connects to a server and closes the connection without a
/// request. Report the result by `OnConnectionChecked`.
struct CheckConnection {
  ConnectionCheck check;
};

/// @brief Action: sends a message to the gateway on another VM.
struct SendToPeer {
  core::VmId vm{};
  PeerMessage message;
};

/// @brief Action: replaces the list of peers and their addresses.
struct SetMembers {
  std::vector<membership::Member> members;
};

/// @brief I/O that the daemon performs on behalf of a gateway.
using GatewayAction =
    std::variant<node::AnswerCaller, StartAttempt, CancelAttempt,
                 CheckConnection, SendToPeer, SetMembers, node::WriteLog>;

/// @brief Forwards requests, which carry no idempotency keys, to backend
/// servers. Only the entry decides on retries of a request. The dispatcher of
/// the service assigns a server to each attempt; while it does not answer, the
/// entry chooses one from its local state. The class does no I/O: events and
/// the current time go in, actions come out.
class Gateway {
 public:
  /// @brief Creates a gateway that has no configuration yet.
  Gateway(GatewayOptions options, std::uint64_t seed);

  /// @brief Applies a configuration. Ignores it unless its version is higher
  /// than that of the configuration in force.
  void Configure(GatewayConfig config, core::Time now);

  /// @brief Registry of backend servers, updated by the platform's store
  /// reader. Call `ApplyRegistry` after a change.
  [[nodiscard]] ServerRegistry& Registry() noexcept { return registry_; }

  /// @brief State synchronization, which also decides whether this VM reads the
  /// platform's store.
  [[nodiscard]] StateSync& Sync() noexcept { return sync_; }

  /// @brief Records that the configuration in force was the newest one when a
  /// read of the store began.
  void RecordConfigRead(core::Time began) { keys_.RecordStoreRead(began); }

  /// @brief Updates the pool of servers from the registry.
  void ApplyRegistry(core::Time now);

  /// @brief Handles a request of a caller. The result is an `AnswerCaller`
  /// action, now or later.
  /// @param caller Id of the connection to answer.
  void OnRequest(core::CallerId caller, core::HttpRequest http, core::Time now);

  /// @brief Cancels the request of a caller whose connection has closed.
  void OnCallerDisconnected(core::CallerId caller, core::Time now);

  /// @brief Handles the start of a large answer to an attempt, whose body has a
  /// time limit of its own.
  void OnLargeBody(std::uint64_t attempt_id, core::Time now);

  /// @brief Handles the result of an attempt.
  /// @param attempt_id Id from `StartAttempt`; one that is no longer in flight
  /// is ignored.
  /// @param end Outcome as the HTTP client reports it.
  /// @param answer The server's answer if `end` is `kAnswered`.
  void OnAttemptFinished(std::uint64_t attempt_id, node::AttemptEnd end,
                         core::HttpAnswer answer, core::Time now);

  /// @brief Handles the result of a `CheckConnection`.
  void OnConnectionChecked(std::string_view server, ConnectionResult result,
                           core::Time now);

  /// @brief Handles a message from the gateway on another VM.
  void OnMessage(core::VmId from, PeerMessage message, core::Time now);

  /// @brief Handles expired time limits of requests, of state synchronization
  /// and of registry entries.
  void OnTimer(core::Time now);

  /// @brief When to call `OnTimer`.
  /// @return The time. It is always set, since state synchronization has a
  /// timer.
  [[nodiscard]] std::optional<core::Time> NextTimer() const;

  /// @brief Begins a graceful shutdown: announces to the peers that this VM is
  /// leaving, and sends answers with `Connection: close` so that callers
  /// reconnect. Callers may keep sending on open connections; requests that
  /// cannot end in time are refused.
  void BeginShutdown(const ShutdownSchedule& schedule);

  /// @brief Whether the VM should receive new connections: it has routes and
  /// servers and is not shutting down.
  [[nodiscard]] bool IsReady() const noexcept {
    return !shutdown_ && HasRoutesAndServers();
  }

  /// @brief Adds a member of the fleet or updates its address, and announces
  /// this VM to it.
  void AddPeer(membership::Member member);

  /// @brief Number of requests without an answer, including those that wait for
  /// the first configuration.
  [[nodiscard]] std::size_t InFlight() const noexcept {
    return requests_.size() + early_requests_.size();
  }

  [[nodiscard]] const RouteTable& Routes() const noexcept { return *routes_; }

  [[nodiscard]] GatewayMetrics& Metrics() noexcept { return metrics_; }

  /// @brief Current values of the gauges among the metrics.
  [[nodiscard]] GatewayGauges Gauges(core::Time now);

  /// @brief Returns and clears the pending actions, in the order in which they
  /// are to be performed.
  [[nodiscard]] std::vector<GatewayAction> TakeActions();

 private:
  struct Attempt {
    std::uint64_t id = 0;
    Slot slot;
    core::VmId granter{};  ///< VM whose pool granted the slot.
    core::Time started{};
  };

  /// Slot that was granted before the token of its request.
  struct HeldSlot {
    Slot slot;
    core::VmId granter{};
  };

  /// Whether a request may run by the quota of its customer.
  enum class TokenState : std::uint8_t { kNotNeeded, kPending, kGranted };

  struct Request {
    core::CallerId caller{};
    core::HttpRequest http;
    std::string id;
    std::uint64_t fingerprint = 0;
    /// Owns the route; the table in force at the last slot request.
    std::shared_ptr<const RouteTable> table;
    const GatewayRoute* route = nullptr;
    std::string service;
    std::string customer;  ///< Empty if the request needs no API key.
    int customer_rank = 0;
    quota::Quota quota;  ///< Of the customer; a rate of 0 is no limit.
    TokenState token = TokenState::kNotNeeded;
    std::uint64_t token_number = 0;
    core::Time token_requested_at{};
    bool token_sent = false;
    core::Time token_retry_at{};  ///< When the token is requested again.
    core::Time token_deadline{};  ///< When the request is refused without one.
    bool slot_after_token = false;  ///< The slot is requested afterwards.
    std::optional<HeldSlot> held_slot;
    bool attempted = false;  ///< An attempt has been started.
    core::Time arrived{};
    core::Time deadline{};
    /// Slot requests so far; the number of the latest one.
    std::uint32_t slot_requests = 0;
    std::uint32_t group = 0;  ///< Group of servers to request from.
    /// Consecutive groups that had no free slot.
    std::uint32_t groups_without_slot = 0;
    /// Until limited servers admit a request, as the last dispatcher promised.
    std::optional<core::Duration> admission_wait;
    /// Attempts, except those that could not connect.
    int attempts = 0;
    /// Those among `attempts` that a server may have executed; excludes those
    /// that ended with `kNotExecuted` or `kWrongServer`.
    int possible_executions = 0;
    /// Start of the time limit for capacity waits: admission or the end of the
    /// last attempt.
    core::Time capacity_wait_start{};
    std::uint32_t capacity_waits = 0;
    std::optional<core::Time> next_slot_request;  ///< Set in a capacity wait.
    /// Dispatcher whose reply is awaited.
    std::optional<core::VmId> awaited_dispatcher;
    core::Time slot_requested_at{};
    core::Time dispatcher_deadline{};
    std::optional<Attempt> attempt;  ///< In flight.
    /// When the attempt is replaced if it has not ended.
    core::Time attempt_deadline{};
    std::vector<std::string> failed_servers;  ///< Excluded from retries.
    core::ErrorKind last_error = core::ErrorKind::kNoServer;
    core::Time next_timer{};  ///< Time under which it is in `by_timer_`.
  };

  /// A request received before the first configuration.
  struct EarlyRequest {
    core::CallerId caller{};
    core::HttpRequest http;
    core::Time arrived{};
  };

  /// Whether routes and servers are known. They arrive some tens of
  /// milliseconds after a start.
  [[nodiscard]] bool HasRoutesAndServers() const noexcept {
    return routes_->Version() > 0 && !registry_.Servers().empty();
  }

  /// Whether API keys are in use that have to be confirmed.
  [[nodiscard]] bool NeedsKeyConfirmation() const noexcept {
    return options_.key_withdrawal_time && routes_->Config().requires_keys;
  }
  [[nodiscard]] bool AreKeysConfirmed(core::Time now) const noexcept {
    return !NeedsKeyConfirmation() || keys_.IsValid(now);
  }
  /// Whether requests can be admitted since the start of the process.
  [[nodiscard]] bool IsInitialized(core::Time now) const {
    return HasRoutesAndServers() &&
           (!NeedsKeyConfirmation() || keys_.Age(now).has_value());
  }
  void ConfirmKeys(core::Time now);
  void Admit(core::CallerId caller, core::HttpRequest http, core::Time arrived,
             core::Time now);
  void AdmitEarlyRequests(core::Time now);
  void AnswerRemainingRequests(core::Time now);
  void EndWithoutAnswer(core::Handle handle, AttemptOutcome outcome,
                        core::ErrorKind not_executed, core::Time now);
  [[nodiscard]] bool EndsBeforeExit(const Request& request,
                                    core::Time now) const;

  void Handle(core::VmId from, SlotRequest& message, core::Time now);
  void Handle(core::VmId from, SlotReply& message, core::Time now);
  void Handle(core::VmId from, SlotRelease& message, core::Time now);
  void Handle(core::VmId from, MemberNotice& message, core::Time now);
  void Handle(core::VmId from, StateUpdate& message, core::Time now);
  void Handle(core::VmId from, StateQuery& message, core::Time now);
  void Handle(core::VmId from, CrashNotice& message, core::Time now);
  void Handle(core::VmId from, LeavingNotice& message, core::Time now);
  void Handle(core::VmId from, customers::KeyStateQuery& message,
              core::Time now);
  void Handle(core::VmId from, customers::KeyStateReply& message,
              core::Time now);
  void Handle(core::VmId from, quota::TokenRequest& message, core::Time now);
  void Handle(core::VmId from, quota::TokenReply& message, core::Time now);
  void Handle(core::VmId from, quota::LeaseNotice& message, core::Time now);
  void Handle(core::VmId from, quota::LeaseReply& message, core::Time now);
  void Handle(core::VmId from, quota::TokenReturn& message, core::Time now);

  [[nodiscard]] quota::Lender::Target ChooseQuotaOwner(std::uint32_t shard,
                                                       core::Time now);
  void ApplyQuotas();
  void RenewLoans(core::Time now);
  void RequestToken(core::Handle handle, core::Time now);
  void SendTokenRequest(core::Handle handle, core::Time now);
  void OnTokenReply(core::VmId from, const quota::TokenReply& reply,
                    core::Time now);
  void OnTokenTimer(core::Handle handle, core::Time now);
  void GiveUpToken(Request& request, core::Time now);
  [[nodiscard]] bool WasRefusedLately(const std::string& customer,
                                      core::Time now) const;

  void ApplyServerNotice(const Request& request, const Attempt& attempt,
                         const ServerNotice& notice, core::Time now);
  void RecordLimit(std::string_view server, const LimitReport& report,
                   core::Time request_sent, core::Time stated, core::VmId from);
  [[nodiscard]] bool IsPaused(std::string_view server, core::Time now) const;
  [[nodiscard]] std::optional<core::Duration> ShortestPause(
      std::string_view service, core::Time now) const;
  void RefuseForPause(core::Handle handle, core::Duration pause,
                      core::Time now);

  [[nodiscard]] std::optional<core::ErrorKind> ResolveRoute(
      Request& request) const;
  [[nodiscard]] bool FindRoute(Request& request) const;
  [[nodiscard]] std::optional<core::ErrorKind> IdentifyCustomer(
      Request& request, core::Time now);
  [[nodiscard]] bool ApplyCurrentRoute(core::Handle handle, core::Time now);
  void KeepAttemptOrRefuse(core::Handle handle, core::ErrorKind not_executed,
                           core::Time now);
  [[nodiscard]] SlotRequirements RequirementsOf(const Request& request,
                                                core::Time now) const;
  [[nodiscard]] bool TryNextGroup(core::Handle handle, core::Time now);
  [[nodiscard]] bool WaitForCapacity(core::Handle handle, core::Time now);
  void RequestSlot(core::Handle handle, core::Time now);
  void ChooseLocally(core::Handle handle, core::Time now);
  void ChooseFromPool(core::Handle handle, bool local,
                      const SlotRequirements& requirements, core::Time now);
  [[nodiscard]] bool IsUsable(const Slot& slot, core::Time now) const;
  void OnSlotDecision(core::Handle handle, std::optional<Slot> slot,
                      core::VmId granter, core::Time now);
  void StartAttemptInSlot(core::Handle handle, Slot slot, core::VmId granter,
                          core::Time now);
  void ReleaseSlot(core::VmId granter, const SlotRelease& release,
                   core::Time now);
  void RetryOrRefuse(core::Handle handle, core::Time now);
  void LimitAttempt(core::Handle handle, core::Time now);
  using Allowances = std::map<std::string, RetryAllowance, std::less<>>;

  [[nodiscard]] RetryAllowance& RetryAllowanceFor(
      bool local, const SlotRequirements& requirements);
  [[nodiscard]] std::optional<Slot> AcquireSlot(
      core::VmId holder, bool local, bool retry,
      const SlotRequirements& requirements, core::Time now);
  [[nodiscard]] double LimitShareOf(std::string_view group,
                                    core::Time now) const;
  [[nodiscard]] bool MayRetry(const Request& request, core::Time now) const;
  void ForwardAnswer(core::Handle handle, core::HttpAnswer answer,
                     core::Time now);
  void Refuse(core::Handle handle, core::ErrorKind kind, core::Time now,
              core::Duration wait = kDefaultRetryWait);
  void SendAnswer(core::CallerId caller, core::HttpAnswer answer);
  void CancelAttemptOf(Request& request, AttemptOutcome outcome,
                       core::Time now);
  void UpdateTimer(core::Handle handle, Request& request);
  void Erase(core::Handle handle);
  void ReportHealthChanges();
  void RecordFinishedAttempts(core::Time now);
  void RecordFinishedAttempt(const FinishedAttempt& attempt, core::Time now);
  void CheckLostServers(core::Time now);
  void ReportCrashes(core::Time now);
  void Log(log::EventId id, std::string detail);

  GatewayOptions options_;
  core::Random random_;
  std::shared_ptr<const RouteTable> routes_ =
      std::make_shared<const RouteTable>();
  ServerRegistry registry_;
  ServerPool pool_;
  PeerDirectory peers_;
  StateSync sync_;
  PoisonRequestDetector poison_detector_;
  customers::KeyConfirmation keys_;
  LimitLender limit_lender_;
  LimitBorrower limit_borrower_;
  quota::Lender lender_;
  quota::Owner quota_owner_;
  /// When customers were last refused for their quota.
  std::map<std::string, core::Time, std::less<>> refused_at_;
  std::uint64_t last_token_ = 0;
  bool keys_confirmed_ = true;               ///< As last logged.
  std::deque<EarlyRequest> early_requests_;  ///< In order of arrival.
  core::Table<Request> requests_;
  std::unordered_map<core::CallerId, core::Handle> by_caller_;
  std::unordered_map<std::uint64_t, core::Handle> by_attempt_;
  std::unordered_map<std::uint64_t, core::Handle> by_token_;
  std::set<std::pair<core::Time, core::Handle>> by_timer_;
  std::map<std::string, core::Time, std::less<>> unreachable_until_;
  /// Ends of the pauses that servers want from this VM.
  std::map<std::string, core::Time, std::less<>> paused_until_;
  /// By group, for retries of all entries while this VM is a dispatcher of
  /// rank 0 or 1.
  Allowances fleet_allowances_;
  /// By service, for local choices and as dispatcher of a later rank.
  Allowances local_allowances_;
  GatewayMetrics metrics_;
  std::vector<GatewayAction> actions_;
  std::uint64_t last_attempt_ = 0;
  std::optional<ShutdownSchedule> shutdown_;  ///< Set once it has begun.
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_GATEWAY_H_
