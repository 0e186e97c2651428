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
#include "bambootack/dispatch/retry_budget.h"
#include "bambootack/gateway/messages.h"
#include "bambootack/gateway/metrics.h"
#include "bambootack/gateway/peer_directory.h"
#include "bambootack/gateway/poison_request_detector.h"
#include "bambootack/gateway/route_table.h"
#include "bambootack/gateway/server_pool.h"
#include "bambootack/gateway/server_protocol.h"
#include "bambootack/gateway/server_registry.h"
#include "bambootack/gateway/state_sync.h"
#include "bambootack/log/event.h"
#include "bambootack/node/actions.h"
#include "bambootack/node/events.h"

namespace bambootack::gateway {

/// @brief What a gateway needs to know of its VM and platform.
struct GatewayOptions {
  core::VmId vm{};
  std::string peer_address;  ///< IP:port for messages of other VMs.
  std::string failure_domain;
  HeaderNames header_names;
  double retry_ratio = 0.1;  ///< Second sends for each first one.
  double retry_burst = 1.0;  ///< Second sends without first ones, whole fleet.
};

/// @brief Send a request to a server.
struct StartAttempt {
  std::uint64_t id = 0;
  std::string address;
  core::HttpRequest http;
  core::Duration timeout{};
};

/// @brief Close the connection of a send.
struct CancelAttempt {
  std::uint64_t id = 0;
};

/// @brief Send a message to another gateway.
struct SendToPeer {
  core::VmId vm{};
  PeerMessage message;
};

/// @brief Addresses of the other VMs have changed.
struct SetMembers {
  std::vector<membership::Member> members;
};

/// @brief Everything that a gateway asks its shell to do.
using GatewayAction =
    std::variant<node::AnswerCaller, StartAttempt, CancelAttempt, SendToPeer,
                 SetMembers, node::WriteLog>;

/// @brief Serves requests without idempotency keys: each reaches one entry, and
/// that entry alone decides whether it is sent again. The dispatcher of the
/// service gives each send a server; while it does not answer, the entry
/// chooses by its own knowledge. Events and time in, actions out.
class Gateway {
 public:
  /// @brief Creates a gateway without configuration.
  /// @param options Its options.
  /// @param seed Seed of its random numbers.
  Gateway(GatewayOptions options, std::uint64_t seed);

  /// @brief Takes over a configuration unless a higher version is in force.
  /// @param config The configuration.
  /// @param now Current time.
  void Configure(GatewayConfig config, core::Time now);

  /// @brief Registry of servers, to be fed by the platform's reader.
  /// @return The registry.
  [[nodiscard]] ServerRegistry& Registry() noexcept { return registry_; }

  /// @brief Decides which VM reads the platform's store.
  /// @return The spread.
  [[nodiscard]] StateSync& Sync() noexcept { return spread_; }

  /// @brief Takes over changes of the registry.
  /// @param now Current time.
  void ApplyRegistry(core::Time now);

  /// @brief Takes a caller's request.
  /// @param caller Number of the caller.
  /// @param http The request.
  /// @param now Current time.
  void OnRequest(core::CallerId caller, core::HttpRequest http, core::Time now);

  /// @brief Ends the work for a caller that has hung up.
  /// @param caller Number of the caller.
  /// @param now Current time.
  void OnCallerDisconnected(core::CallerId caller, core::Time now);

  /// @brief Takes the result of a send.
  /// @param send Its number.
  /// @param end How the attempt ended.
  /// @param answer The server's answer, if there is one.
  /// @param now Current time.
  void OnAttemptFinished(std::uint64_t send, node::AttemptEnd end,
                         core::HttpAnswer answer, core::Time now);

  /// @brief Takes a message of another gateway.
  /// @param from The sender.
  /// @param message The message.
  /// @param now Current time.
  void OnMessage(core::VmId from, PeerMessage message, core::Time now);

  /// @brief Does what is due.
  /// @param now Current time.
  void OnTimer(core::Time now);

  /// @brief When `OnTimer` is due.
  /// @return The time, or nothing while nothing is pending.
  [[nodiscard]] std::optional<core::Time> NextTimer() const;

  /// @brief Begins a planned stop: answers ask callers to reconnect.
  void BeginShutdown();

  /// @brief Refuses new requests from now on. Callers that keep using an open
  /// connection would otherwise have requests in flight when the process ends.
  void RefuseNewRequests() noexcept { refusing_ = true; }

  /// @brief Tells whether the VM should get new connections.
  /// @return True if it is configured, knows servers and does not stop.
  [[nodiscard]] bool IsReady() const noexcept {
    return !stopping_ && HasKnowledge();
  }

  /// @brief Takes over a VM of the fleet and introduces this one to it.
  /// @param member The VM.
  void AddPeer(membership::Member member);

  /// @brief Requests that wait for their answers.
  /// @return The count.
  [[nodiscard]] std::size_t InFlight() const noexcept {
    return requests_.size() + early_.size();
  }

  /// @brief Routes in force.
  /// @return The table.
  [[nodiscard]] const RouteTable& Routes() const noexcept { return *routes_; }

  /// @brief Counters and histograms.
  /// @return The metrics.
  [[nodiscard]] GatewayMetrics& Metrics() noexcept { return metrics_; }

  /// @brief Values for the metrics.
  /// @param now Current time.
  /// @return The values.
  [[nodiscard]] GatewayGauges Gauges(core::Time now) const;

  /// @brief Takes the actions since the last call.
  /// @return The actions, in order.
  [[nodiscard]] std::vector<GatewayAction> TakeActions();

 private:
  struct Send {
    std::uint64_t number = 0;
    Slot slot;
    core::VmId granter{};
    core::Time started{};
  };

  struct Request {
    core::CallerId caller{};
    core::HttpRequest http;
    std::string id;
    std::uint64_t fingerprint = 0;
    std::shared_ptr<const RouteTable> table;  ///< Owns the route.
    const GatewayRoute* route = nullptr;
    std::string service;
    core::Time arrived{};
    core::Time deadline{};
    std::uint32_t asks = 0;         ///< Slots asked for.
    std::uint32_t group = 0;        ///< Group of servers that is asked.
    std::uint32_t groups_full = 0;  ///< Groups without a slot for it.
    int arrivals = 0;               ///< Sends that may have reached a server.
    int runs = 0;                   ///< Sends that a server may have run.
    core::Time room_wanted_at{};    ///< Arrival or end of the last send.
    std::uint32_t waits = 0;        ///< Times that it waited for room.
    std::optional<core::Time> ask_again_at;  ///< While it waits for room.
    std::optional<core::VmId> asked;  ///< Dispatcher that has yet to reply.
    core::Time asked_at{};
    core::Time asked_until{};
    std::optional<Send> send;         ///< Send in flight.
    core::Time impatient_at{};        ///< When a read is sent once more.
    std::vector<std::string> failed;  ///< Servers that did not serve it.
    core::ErrorKind last_error = core::ErrorKind::kNoServer;
    core::Time due{};
  };

  /// A request that came before the first configuration.
  struct EarlyRequest {
    core::CallerId caller{};
    core::HttpRequest http;
    core::Time arrived{};
  };

  /// A VM that has just started knows routes and servers some tens of
  /// milliseconds later.
  [[nodiscard]] bool HasKnowledge() const noexcept {
    return routes_->Version() > 0 && !registry_.Servers().empty();
  }

  void Admit(core::CallerId caller, core::HttpRequest http, core::Time arrived,
             core::Time now);
  void AdmitEarly(core::Time now);

  void On(core::VmId from, SlotRequest& message, core::Time now);
  void On(core::VmId from, SlotReply& message, core::Time now);
  void On(core::VmId from, SlotRelease& message, core::Time now);
  void On(core::VmId from, MemberNotice& message, core::Time now);
  void On(core::VmId from, StateUpdate& message, core::Time now);
  void On(core::VmId from, StateQuery& message, core::Time now);
  void On(core::VmId from, CrashNotice& message, core::Time now);

  [[nodiscard]] std::optional<core::ErrorKind> Route(Request& request) const;
  [[nodiscard]] SlotRequirements NeedOf(const Request& request,
                                        core::Time now) const;
  [[nodiscard]] bool TryNextGroup(core::Handle handle, core::Time now);
  [[nodiscard]] bool WaitForRoom(core::Handle handle, core::Time now);
  void AskForSlot(core::Handle handle, core::Time now);
  void ChooseAlone(core::Handle handle, core::Time now);
  void ChooseHere(core::Handle handle, bool alone, const SlotRequirements& need,
                  core::Time now);
  [[nodiscard]] bool IsUsable(const Slot& slot) const;
  void UseSlot(core::Handle handle, std::optional<Slot> slot,
               core::VmId granter, core::Time now);
  void StartOn(core::Handle handle, Slot slot, core::VmId granter,
               core::Time now);
  void GiveBack(const Send& send, AttemptOutcome end,
                const std::optional<ServerLoad>& load, core::Time now);
  void GiveBack(core::VmId granter, std::uint64_t lease, AttemptOutcome end,
                const std::optional<ServerLoad>& load, core::Time now);
  void SendAgainOrFail(core::Handle handle, core::Time now);
  using Budgets = std::map<std::string, dispatch::RetryBudget, std::less<>>;

  [[nodiscard]] dispatch::RetryBudget& BudgetOf(bool alone,
                                                const SlotRequirements& need);
  [[nodiscard]] std::optional<Slot> TakeSlot(core::VmId holder, bool alone,
                                             bool repeat,
                                             const SlotRequirements& need,
                                             core::Time now);
  [[nodiscard]] bool MaySendAgain(const Request& request, core::Time now) const;
  void Deliver(core::Handle handle, core::HttpAnswer answer, core::Time now);
  void Refuse(core::Handle handle, core::ErrorKind kind, core::Time now);
  void Answer(core::CallerId caller, core::HttpAnswer answer);
  void CancelSendOf(Request& request, AttemptOutcome end, core::Time now);
  void SetDue(core::Handle handle, Request& request);
  void Erase(core::Handle handle);
  void ReportTrust();
  void WatchCrashes(core::Time now);
  void ReportCrashes(core::Time now);
  void Log(log::EventId id, std::string detail);

  GatewayOptions options_;
  core::Random random_;
  std::shared_ptr<const RouteTable> routes_ =
      std::make_shared<const RouteTable>();
  ServerRegistry registry_;
  ServerPool pool_;
  PeerDirectory broker_;
  StateSync spread_;
  PoisonRequestDetector crash_watch_;
  std::deque<EarlyRequest> early_;  ///< In the order of their arrival.
  core::Table<Request> requests_;
  std::unordered_map<core::CallerId, core::Handle> by_caller_;
  std::unordered_map<std::uint64_t, core::Handle> by_send_;
  std::set<std::pair<core::Time, core::Handle>> by_due_;
  std::map<std::string, core::Time, std::less<>> unreachable_until_;
  Budgets fleet_budgets_;  ///< As dispatcher, for all entries.
  Budgets alone_budgets_;  ///< As an entry that hears no dispatcher.
  GatewayMetrics metrics_;
  std::vector<GatewayAction> actions_;
  std::uint64_t last_send_ = 0;
  bool stopping_ = false;
  bool refusing_ = false;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_GATEWAY_H_
