#ifndef BAMBOOTACK_NODE_SPREAD_ROLE_H_
#define BAMBOOTACK_NODE_SPREAD_ROLE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/node/context.h"
#include "bambootack/spread/gossiper.h"
#include "bambootack/spread/peer_table.h"
#include "bambootack/spread/reader_choice.h"
#include "bambootack/spread/state_fetcher.h"
#include "bambootack/spread/state_server.h"

namespace bambootack::node {

/// @brief Takes in held crash fingerprints of another VM. The health module
/// provides it.
using HeldMerge = std::function<void(const std::vector<wire::HeldFingerprint>&,
                                     core::Time now)>;

/// @brief Exchanges gossip and state with the other VMs.
class SpreadRole {
 public:
  /// @brief Connects the held crash fingerprints.
  /// @param held Exports them.
  /// @param merge Takes in those of other VMs.
  void SetHeld(spread::HeldExport held, HeldMerge merge);

  /// @brief Sets the membership views that this VM passes on.
  /// @param views The views; a higher number is announced to the others.
  void SetViews(spread::ViewSection views) { views_ = std::move(views); }

  /// @brief Takes the newest views received from another VM.
  /// @return The views, once, or nothing.
  [[nodiscard]] std::optional<spread::ViewSection> TakeViews();

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
  /// @return The whole state once its last part has arrived.
  [[nodiscard]] std::optional<config::State> Receive(
      core::VmId from, const wire::StateReply& message, Context& context);

  /// @brief Handles the loss of a connection.
  /// @param vm The VM.
  /// @param context Surroundings.
  void PeerLost(core::VmId vm, Context& context);

  /// @brief Sends gossip and requests that are due.
  /// @param context Surroundings.
  void Tick(Context& context);

  /// @brief Fetches and announces at once.
  /// @param context Surroundings.
  void Send(Context& context);

  /// @brief Announces a changed position.
  void Announce() noexcept { gossiper_.Announce(); }

  /// @brief Keeps an applied record for VMs that are a little behind.
  /// @param record The record.
  /// @param before Position before it.
  /// @param digest_before Digest before it.
  void Remember(wire::TicketRecord record, config::Position before,
                std::uint64_t digest_before);

  /// @brief Notes that this VM has read the log to its end.
  /// @param now Current time.
  void NoteLogRead(core::Time now) { log_read_ = now; }

  /// @brief Last complete read of the log by any VM, as far as known.
  /// @return The time, or nothing.
  [[nodiscard]] std::optional<core::Time> LogRead() const noexcept {
    return log_read_;
  }

  /// @brief Decides whether this VM reads the log.
  /// @param has_pending_append An append has to be resolved.
  /// @param context Surroundings.
  /// @return True if it reads.
  [[nodiscard]] bool ShouldRead(bool has_pending_append,
                                const Context& context) const;

  /// @brief The other VMs.
  /// @return The table.
  [[nodiscard]] const spread::PeerTable& Peers() const noexcept {
    return peers_;
  }

 private:
  struct Guest {
    membership::Member member;
    core::Time until{};
  };

  [[nodiscard]] spread::OwnState Own(const Context& context) const;
  void FollowView(Context& context);
  void Welcome(core::VmId from, const wire::StateRequest& message,
               Context& context);

  spread::PeerTable peers_;
  spread::Gossiper gossiper_;
  spread::StateFetcher fetcher_;
  spread::StateServer server_;
  spread::ViewSection views_;
  std::optional<spread::ViewSection> received_views_;
  HeldMerge merge_held_;
  std::map<core::VmId, Guest> guests_;
  std::optional<core::Time> log_read_;
  std::optional<core::Time> started_;
  /// Number and size of the view that `peers_` holds. Comparing the members
  /// on each event would take a few percent of a core with 8,400 of them.
  std::optional<std::pair<core::ViewNumber, std::size_t>> followed_;
};

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_SPREAD_ROLE_H_
