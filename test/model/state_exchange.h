#ifndef TEST_MODEL_STATE_EXCHANGE_H_
#define TEST_MODEL_STATE_EXCHANGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/gateway/messages.h"
#include "bambootack/gateway/peer_directory.h"
#include "bambootack/gateway/server_registry.h"
#include "bambootack/gateway/state_sync.h"
#include "platform/store_client.h"

namespace bambootack::model {

/// @brief Kinds of events in the exchange of state.
enum class EventKind : std::uint8_t {
  kReport,       ///< A server appends a report to the store.
  kRemove,       ///< The entry of a server is removed.
  kOtherWriter,  ///< Another writer appends an entry with a server's address.
  kRequest,      ///< A VM sends its requests to the store.
  kAnswer,       ///< The answers of the store reach a VM.
  kRead,         ///< A VM sends its requests and gets the answers at once.
  kDeliver,      ///< The oldest message from one VM to another arrives.
  kLose,         ///< The oldest message from one VM to another is lost.
  kToggleCut,    ///< A VM is cut off from all, or reconnected.
  kRestart,      ///< A VM is killed and starts again.
  kTogglePause,  ///< A VM is paused, or continues.
  kExpire,       ///< The store deletes all records but the newest of each key.
  kToggleStore,  ///< The store refuses all requests, or answers again.
  kShortWait,    ///< Time passes: less than state needs to go stale.
  kLongWait,     ///< Time passes: longer than entries need to expire.
};

inline constexpr core::EnumNames<EventKind, 15> kEventKindNames{
    {"report", "remove", "other-writer", "request", "answer", "read", "deliver",
     "lose", "toggle-cut", "restart", "toggle-pause", "expire", "toggle-store",
     "short-wait", "long-wait"}};

/// @brief One event. An event that is not possible in a state changes nothing,
/// so that any part of an order of events is an order of events.
struct Event {
  EventKind kind = EventKind::kReport;
  std::uint8_t subject = 0;  ///< VM, sender, or server.
  std::uint8_t other = 0;    ///< Receiver of a message.

  friend bool operator==(const Event&, const Event&) = default;
};

/// @brief Text form of an event, like `deliver 0 2`.
[[nodiscard]] std::string ToText(const Event& event);

/// @brief Gateways' state, the decisions of their reads of the store, and the
/// store, without sockets and clocks.
class StateExchange {
 public:
  static constexpr std::size_t kVms = 3;
  static constexpr std::size_t kServers = 2;
  /// Entry of another writer, beside those of the servers.
  static constexpr std::size_t kOtherEntry = kServers;
  static constexpr std::size_t kEntries = kServers + 1;

  /// @brief All VMs know all servers.
  /// @param domains Failure domains of the VMs, 1 or 2.
  explicit StateExchange(std::size_t domains);

  /// @brief Applies an event.
  /// @return False if it is not possible in this state.
  bool Apply(const Event& event);

  /// @brief Ends all disruptions and lets the VMs exchange their state until
  /// all could have learned of everything.
  void CalmDown();

  /// @brief Invariant that is broken in this state.
  [[nodiscard]] std::optional<std::string> Violation() const;

  /// @brief Whether all VMs have the servers of the store. Holds after
  /// `CalmDown`.
  [[nodiscard]] std::optional<std::string> Disagreement() const;

 private:
  /// A record of the topic of servers; its offset is its index in the log.
  struct Record {
    std::size_t server = 0;
    bool removed = false;
  };

  struct StoreRead {
    platform::StoreClient::Request request;
    core::Time sent;
    bool reached_store = false;
    /// Computed at once unless the store holds the read.
    std::optional<core::HttpAnswer> answer;
  };

  /// A process on a VM; a restart replaces it.
  struct Process {
    Process(std::size_t vm, std::size_t domains);

    void Configure(const gateway::GatewayConfig& config, core::Time now);

    gateway::ServerRegistry registry;
    gateway::PeerDirectory peers;
    gateway::StateSync sync;
    platform::StoreClient store;
    std::vector<StoreRead> reads;
    core::Random random;
  };

  struct Vm {
    std::unique_ptr<Process> process;
    bool cut = false;
    bool paused = false;
  };

  [[nodiscard]] std::optional<std::string> UseOfRemoved(
      std::size_t vm, std::size_t offset) const;
  [[nodiscard]] std::optional<std::string> LackOfReported(
      std::size_t vm, std::size_t offset) const;
  void Append(std::size_t server, bool removed);
  [[nodiscard]] bool IsLive(std::size_t server) const;
  void Start(std::size_t vm);
  bool SendRequests(std::size_t vm);
  bool ReceiveAnswers(std::size_t vm);
  bool MoveMessage(std::size_t from, std::size_t to, bool arrives);
  void Wait(core::Duration time);
  void RunTimers(std::size_t vm);
  void CollectMessages(std::size_t vm);
  [[nodiscard]] std::optional<core::HttpAnswer> AnswerOf(
      const std::string& target, bool held) const;
  [[nodiscard]] std::string NewestPage() const;
  [[nodiscard]] std::string ReadPage(std::uint64_t from) const;

  std::size_t domains_;
  core::Time now_{core::Duration(10'000'000)};
  bool store_available_ = true;
  std::vector<Record> log_;
  std::size_t log_start_ = 0;  ///< Earlier records have been deleted.
  std::array<Vm, kVms> vms_;
  /// Messages by sender and receiver, in the order of their sending.
  std::map<std::pair<std::size_t, std::size_t>,
           std::deque<gateway::PeerMessage>>
      messages_;
};

}  // namespace bambootack::model

#endif  // TEST_MODEL_STATE_EXCHANGE_H_
