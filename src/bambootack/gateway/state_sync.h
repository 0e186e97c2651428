#ifndef BAMBOOTACK_GATEWAY_STATE_SYNC_H_
#define BAMBOOTACK_GATEWAY_STATE_SYNC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/gateway/messages.h"
#include "bambootack/gateway/peer_directory.h"
#include "bambootack/gateway/server_registry.h"

namespace bambootack::gateway {

/// @brief Decides which VM reads the platform's store and who tells whom. One
/// VM of each failure domain reads and tells the others of the domain; a VM
/// that hears nothing fresh reads for itself and asks any other VM.
class StateSync {
 public:
  /// @brief A message to send.
  using Outgoing = std::pair<core::VmId, PeerMessage>;

  /// @brief Creates a spread without knowledge.
  /// @param self This VM.
  /// @param registry Registry of servers.
  /// @param broker VMs of the fleet.
  /// @param failure_domain Failure domain of this VM.
  StateSync(core::VmId self, std::string failure_domain,
            ServerRegistry& registry, PeerDirectory& broker)
      : self_(self),
        failure_domain_(std::move(failure_domain)),
        registry_(registry),
        broker_(broker) {}

  /// @brief Sets when the VM first reads if it hears nothing until then.
  /// @param time The time.
  void SetFirstReadTime(core::Time time) noexcept { patience_until_ = time; }

  /// @brief Tells that the other VMs of the fleet are known.
  void MarkFleetKnown() noexcept { settled_ = true; }

  /// @brief Tells whether the other VMs of the fleet are known.
  /// @return True after `MarkFleetKnown`.
  [[nodiscard]] bool IsFleetKnown() const noexcept { return settled_; }

  /// @brief Tells whether this VM is to read the store.
  /// @param now Current time.
  /// @return True for the reader of the domain and for a VM without fresh
  /// knowledge.
  [[nodiscard]] bool ShouldReadStore(core::Time now) const;

  /// @brief Tells whether this VM reads for its failure domain.
  /// @param now Current time.
  /// @return True for the reader.
  [[nodiscard]] bool IsStoreReader(core::Time now) const {
    return ReaderOfDomain(now) == self_;
  }

  /// @brief Notes what the store has confirmed to this VM.
  /// @param position Position in the topic of servers.
  /// @param confirmed When the read began.
  /// @param now Current time.
  void RecordStoreRead(std::uint64_t position, core::Time confirmed,
                       core::Time now);

  /// @brief Notes the configuration in force.
  /// @param config The configuration.
  /// @param now Current time.
  void UpdateConfig(const GatewayConfig& config, core::Time now);

  /// @brief Takes a report of another VM.
  /// @param from The sender.
  /// @param update The report.
  /// @param now Current time.
  /// @return Changes that were new. The caller takes the configuration.
  std::vector<ServerChange> Receive(core::VmId from, const StateUpdate& update,
                                    core::Time now);

  /// @brief Answers a question of another VM.
  /// @param from The sender.
  /// @param ask The question.
  /// @param now Current time.
  void Receive(core::VmId from, const StateQuery& ask, core::Time now);

  /// @brief Does what is due.
  /// @param now Current time.
  /// @param random Source of random numbers.
  void OnTimer(core::Time now, core::Random& random);

  /// @brief When `OnTimer` or a change of `ShouldReadStore` is due.
  /// @return The time.
  [[nodiscard]] core::Time NextTimer() const;

  /// @brief Age of the knowledge of servers.
  /// @param now Current time.
  /// @return The age, or nothing before the first knowledge.
  [[nodiscard]] std::optional<core::Duration> StateAge(core::Time now) const {
    return confirmed_
               ? std::optional(std::chrono::duration_cast<core::Duration>(
                     now - *confirmed_))
               : std::nullopt;
  }

  /// @brief Position up to which the registry is complete.
  /// @return The position, zero before the first knowledge.
  [[nodiscard]] std::uint64_t Position() const noexcept { return position_; }

  /// @brief Takes the messages to send since the last call.
  /// @return The messages.
  [[nodiscard]] std::vector<Outgoing> TakeMessages() {
    return std::exchange(outgoing_, {});
  }

 private:
  [[nodiscard]] core::VmId ReaderOfDomain(core::Time now) const;
  [[nodiscard]] core::Time FreshUntil() const;
  [[nodiscard]] std::uint64_t Version() const noexcept {
    return config_ ? config_->version : 0;
  }
  void CheckBehind(core::Time now);
  [[nodiscard]] StateUpdate UpdateSince(std::uint64_t position,
                                        core::Time now) const;
  void Announce(core::Time now);
  void Ask(core::VmId vm, core::Time now);

  core::VmId self_;
  std::string failure_domain_;
  ServerRegistry& registry_;
  PeerDirectory& broker_;
  std::uint64_t position_ = 0;
  std::optional<core::Time> confirmed_;
  core::Time patience_until_{};
  std::optional<GatewayConfig> config_;
  std::uint64_t announced_ = 0;       ///< Position at the last announcement.
  core::Time ask_at_{};               ///< Earliest time of the next question.
  std::uint64_t heard_position_ = 0;  ///< Highest position of any VM.
  std::uint64_t heard_version_ = 0;   ///< Highest version of any VM.
  std::optional<core::Time> behind_since_;
  /// Readers that told nothing fresh, until they are tried again.
  std::map<core::VmId, core::Time> silent_until_;
  std::vector<Outgoing> outgoing_;
  bool settled_ = false;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_STATE_SYNC_H_
