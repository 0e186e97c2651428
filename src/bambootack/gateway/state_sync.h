#ifndef BAMBOOTACK_GATEWAY_STATE_SYNC_H_
#define BAMBOOTACK_GATEWAY_STATE_SYNC_H_

#include <cstddef>
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
#include "bambootack/gateway/send_budget.h"
#include "bambootack/gateway/server_registry.h"

namespace bambootack::gateway {

/// @brief An update that was sent to peers, for the log.
struct SentUpdate {
  std::size_t peers = 0;  ///< Receivers.
  std::uint64_t from = 0;
  std::uint64_t position = 0;
  std::size_t changes = 0;  ///< Server changes in the update.
  std::uint64_t config_version = 0;
  bool has_config = false;
};

/// @brief Synchronizes configuration and servers between the gateways. One VM
/// of each failure domain, the store reader, reads the platform's store and
/// sends the changes to the peers in its domain; a configuration, or changes
/// too large to send to all of them, it only announces. A VM whose state is
/// stale or behind queries peers and reads the store itself. Updates stay
/// within a budget: a VM with a slow link would delay its other messages.
class StateSync {
 public:
  /// @brief Receiver and message.
  using OutgoingMessage = std::pair<core::VmId, PeerMessage>;

  /// @param failure_domain Failure domain of this VM.
  /// @param change_time Time within which a change must be in force.
  /// @param registry Receives the changes from peers; must outlive this object.
  /// @param peers VMs of the fleet; must outlive this object.
  StateSync(core::VmId self, std::string failure_domain,
            core::Duration change_time, ServerRegistry& registry,
            PeerDirectory& peers)
      : self_(self),
        failure_domain_(std::move(failure_domain)),
        max_state_age_(change_time * 3 / 4),
        registry_(registry),
        peers_(peers),
        send_budget_(kSendBytesPerSecond, kSendBurstBytes) {}

  /// @brief Sets when this VM reads the store at the latest if no peer has sent
  /// state.
  void SetFirstReadTime(core::Time time) noexcept { first_read_at_ = time; }

  /// @brief Records that the membership of the fleet is complete. Before that,
  /// a VM without state does not act as the store reader.
  void MarkFleetKnown() noexcept { fleet_known_ = true; }

  [[nodiscard]] bool IsFleetKnown() const noexcept { return fleet_known_; }

  /// @brief Whether this VM should read the store: it is the store reader of
  /// its domain, its state is stale, or it has been behind its peers for too
  /// long.
  [[nodiscard]] bool ShouldReadStore(core::Time now) const;

  /// @brief Whether this VM reads the store for its failure domain.
  [[nodiscard]] bool IsStoreReader(core::Time now) const {
    return StoreReaderOfDomain(now) == self_;
  }

  /// @brief VM that reads the store for the failure domain of this VM.
  [[nodiscard]] core::VmId StoreReaderOfDomain(core::Time now) const;

  /// @brief Records that a peer has a version of the configuration. If it is
  /// newer, this VM is behind and queries for it.
  void RecordPeerVersion(core::VmId from, std::uint64_t version,
                         core::Time now);

  /// @brief Records that the store has answered, before the answer is applied.
  /// Removals are deferred if no VM is known to have read it for long: entries
  /// may have expired meanwhile.
  void RecordStoreAvailable(core::Time now) { RecordAvailability(now, now); }

  /// @brief Records a successful read of the store.
  /// @param position Position in the topic of servers.
  /// @param confirmed When the read began.
  void RecordStoreRead(std::uint64_t position, core::Time confirmed,
                       core::Time now);

  /// @brief Records a read of the newest record of each key. It lacks earlier
  /// removals, so this VM answers no query from before it.
  /// @param end Offset up to which the registry has all changes.
  void RecordFullRead(std::uint64_t end) noexcept;

  /// @brief Sets the configuration in force, which is sent in answers to
  /// queries, and announces its version to the domain.
  void UpdateConfig(const GatewayConfig& config, core::Time now);

  /// @brief Applies the servers of a peer's update to the registry. The caller
  /// applies its configuration.
  /// @return Changes that were new.
  std::vector<ServerChange> Receive(core::VmId from, const StateUpdate& update,
                                    core::Time now);

  /// @brief Tells the peers that a server is leaving: the dispatcher that chose
  /// it, and all others within the budget.
  void AnnounceLeaving(const LeavingNotice& notice, core::VmId dispatcher,
                       core::Time now);

  /// @brief Answers a peer's query, or ignores it while this VM has no state or
  /// its budget is spent. The peer then queries another VM.
  void Receive(core::VmId from, const StateQuery& query, core::Time now);

  /// @brief Queries a random peer if the state of this VM is stale or behind,
  /// or while removals are deferred.
  void OnTimer(core::Time now, core::Random& random);

  /// @brief Next time to call `OnTimer` and to check `ShouldReadStore`.
  [[nodiscard]] core::Time NextTimer() const;

  /// @brief Age from which on state is stale. What is left of the time within
  /// which a change must be in force suffices for a read of the store.
  [[nodiscard]] core::Duration MaxStateAge() const noexcept {
    return max_state_age_;
  }

  /// @brief Time since the store confirmed the state, or nothing before the
  /// first state.
  [[nodiscard]] std::optional<core::Duration> StateAge(core::Time now) const {
    return confirmed_at_
               ? std::optional(std::chrono::duration_cast<core::Duration>(
                     now - *confirmed_at_))
               : std::nullopt;
  }

  /// @brief Position in the topic of servers up to which the registry is
  /// complete; zero before the first state.
  [[nodiscard]] std::uint64_t Position() const noexcept { return position_; }

  /// @brief Takes the messages to send since the last call.
  [[nodiscard]] std::vector<OutgoingMessage> TakeMessages() {
    return std::exchange(outgoing_messages_, {});
  }

  /// @brief Takes the descriptions of the updates sent since the last call that
  /// contain servers or a configuration.
  [[nodiscard]] std::vector<SentUpdate> TakeSentUpdates() {
    return std::exchange(sent_updates_, {});
  }

 private:
  /// A fifth of the slowest links, 10 Mbit/s, and what they carry in 0.2 s.
  static constexpr std::uint64_t kSendBytesPerSecond = 256UL * 1024;
  static constexpr std::uint64_t kSendBurstBytes = 256UL * 1024;

  [[nodiscard]] core::Time StaleAt() const;
  void ConfirmState(core::VmId source, core::Time confirmed, core::Time now);
  [[nodiscard]] std::uint64_t ConfigVersion() const noexcept {
    return config_ ? config_->version : 0;
  }
  void UpdateBehindSince(core::Time now);
  [[nodiscard]] StateUpdate BuildUpdate(std::uint64_t from,
                                        core::Time now) const;
  [[nodiscard]] std::vector<ServerChange> ApplyServers(
      const StateUpdate& update, core::Time now);
  void RecordAvailability(core::Time since, core::Time until);
  void SetPosition(std::uint64_t position) noexcept;
  void ExtendHistory(std::uint64_t from, std::uint64_t position) noexcept;
  void SendUpdateToDomain(core::Time now);
  void RecordSentUpdate(const StateUpdate& update, std::size_t peers);
  void SendQuery(core::VmId vm, core::Time now);

  core::VmId self_;
  std::string failure_domain_;
  core::Duration max_state_age_;
  ServerRegistry& registry_;
  PeerDirectory& peers_;
  std::uint64_t position_ = 0;
  /// Offset from which on all removals up to `position_` are known. Nothing
  /// before the first state.
  std::optional<std::uint64_t> history_start_;
  std::optional<core::Time> confirmed_at_;
  /// The store was available from here on, without a gap in which entries may
  /// have expired, up to `available_until_`. Both are unset before the first
  /// state.
  std::optional<core::Time> available_since_;
  std::optional<core::Time> available_until_;
  /// Start of the gap before `available_since_` while removals are deferred. If
  /// only this VM was cut off, its peers know the store as available.
  std::optional<core::Time> gap_start_;
  core::Time first_read_at_{};
  std::optional<GatewayConfig> config_;
  /// Position that the VMs of the domain have been sent, by this VM or by
  /// another store reader. One that missed an update queries for it.
  std::uint64_t domain_position_ = 0;
  SendBudget send_budget_;
  core::Time next_query_at_{};
  std::uint64_t highest_peer_position_ = 0;
  std::uint64_t highest_peer_version_ = 0;  ///< Of the configuration.
  std::optional<core::Time> behind_since_;
  /// Store readers that sent no update while the state could be read, with the
  /// time until which they are not chosen.
  std::map<core::VmId, core::Time> skipped_until_;
  std::vector<OutgoingMessage> outgoing_messages_;
  std::vector<SentUpdate> sent_updates_;
  bool fleet_known_ = false;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_STATE_SYNC_H_
