#ifndef BAMBOOTACK_NODE_CONTROL_ROLE_H_
#define BAMBOOTACK_NODE_CONTROL_ROLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "bambootack/node/context.h"
#include "bambootack/node/events.h"
#include "bambootack/node/snapshot_role.h"
#include "bambootack/node/spread_role.h"
#include "bambootack/spread/log_client.h"

namespace bambootack::node {

/// @brief Stream of the platform's log that holds change tickets.
inline constexpr const char* kTicketStream = "tickets";

/// @brief Keeps the configuration up to date and serves operators.
class ControlRole {
 public:
  /// @brief Handles records of the log.
  /// @param event The records.
  /// @param context Surroundings.
  void Receive(const LogRead& event, Context& context);

  /// @brief Handles the result of an append. Only reading the log resolves an
  /// append, so that a lost answer and a late one are treated alike.
  /// @param event The result.
  /// @param context Surroundings.
  void Receive(const LogAppended& event, Context& context);

  /// @brief Handles gossip.
  /// @param from Its sender.
  /// @param message The message.
  /// @param context Surroundings.
  void Receive(core::VmId from, const wire::Gossip& message, Context& context);

  /// @brief Answers a request for state.
  /// @param from Its sender.
  /// @param message The message.
  /// @param context Surroundings.
  void Receive(core::VmId from, const wire::StateRequest& message,
               Context& context);

  /// @brief Handles a reply with state.
  /// @param from Its sender.
  /// @param message The message.
  /// @param context Surroundings.
  void Receive(core::VmId from, const wire::StateReply& message,
               Context& context);

  /// @brief Handles the loss of a connection.
  /// @param vm The VM.
  /// @param context Surroundings.
  void PeerLost(core::VmId vm, Context& context) {
    spread_.PeerLost(vm, context);
  }

  /// @brief Serves an operator's request on tickets and servers.
  /// @param event The request.
  /// @param context Surroundings.
  /// @return False if the request is not one of these.
  bool Operate(const OperatorRequest& event, Context& context);

  /// @brief Reads and appends to the log and exchanges state when it is time.
  /// @param context Surroundings.
  void Tick(Context& context);

  /// @brief Tells whether the configuration has changed since the last call.
  /// @return True once after a change.
  [[nodiscard]] bool TakeChanged() noexcept {
    return std::exchange(changed_, false);
  }

  /// @brief Spread of state, to connect views and held fingerprints.
  /// @return The role.
  [[nodiscard]] SpreadRole& Spread() noexcept { return spread_; }

  /// @copydoc Spread
  [[nodiscard]] const SpreadRole& Spread() const noexcept { return spread_; }

  /// @brief Tells whether the last read of the log succeeded.
  /// @return True if so.
  [[nodiscard]] bool IsLogAvailable() const noexcept { return log_available_; }

 private:
  struct Submission {
    core::CallerId caller{};
    std::uint64_t number = 0;
  };

  void ReceiveTickets(const LogRead& event, Context& context);
  void ReceiveGap(std::uint64_t first, Context& context);
  void Apply(const wire::TicketRecord& record, Context& context);
  void TakeState(const config::State& state, std::string_view source,
                 Context& context);
  void Submit(const OperatorRequest& event, std::string body,
              std::string_view source, Context& context);
  void SubmitPin(const OperatorRequest& event, std::string_view path,
                 Context& context);
  void Settle(const std::string& id, const config::Verdict& verdict,
              Context& context);
  void SettleFromState(Context& context);
  void Expire(Context& context);
  void SetLogState(bool available, Context& context);

  std::map<std::string, Submission> submissions_;  ///< By id of the record.
  spread::LogClient log_;
  SpreadRole spread_;
  SnapshotRole snapshots_;
  std::uint64_t log_first_ = 0;
  std::optional<core::Time> gap_since_;
  bool log_available_ = true;
  bool changed_ = false;
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_CONTROL_ROLE_H_
