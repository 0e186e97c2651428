#ifndef BAMBOOTACK_SPREAD_PEER_TABLE_H_
#define BAMBOOTACK_SPREAD_PEER_TABLE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bambootack/config/state.h"
#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/membership/view.h"
#include "bambootack/wire/spread_messages.h"

namespace bambootack::spread {

/// @brief What is known about another VM from gossip.
struct Peer {
  core::VmId vm{};
  std::string failure_domain;
  core::Incarnation incarnation{};
  std::optional<core::Time> heard;         ///< By this VM.
  std::optional<core::Time> heard_by_any;  ///< By any VM, as far as known.
  std::optional<core::Time> hears_me;      ///< It heard this VM.
  config::Position position;               ///< By its own gossip.
  config::Position reached;                ///< Also by the gossip of others.
  std::uint64_t digest = 0;
  core::ViewNumber view{};
  bool has_state = false;
  bool leaving = false;
};

/// @brief Converts the time since an event to an age.
/// @param at Time of the event; nothing if it never happened.
/// @param now Current time.
/// @return The age, never less than the true one.
[[nodiscard]] wire::Age AgeOf(std::optional<core::Time> at,
                              core::Time now) noexcept;

/// @brief Converts an age to the time of the event.
/// @param age The age.
/// @param now Current time.
/// @return The time, or nothing for `wire::kAgeUnknown`.
[[nodiscard]] std::optional<core::Time> TimeOf(wire::Age age,
                                               core::Time now) noexcept;

/// @brief Liveness per direction and progress of the other VMs.
class PeerTable {
 public:
  /// @brief Sets the other VMs. What is known about those that stay is kept.
  /// @param members Members of the view.
  /// @param self This VM.
  void SetMembers(const std::vector<membership::Member>& members,
                  core::VmId self);

  /// @brief Takes in a gossip message. One of an earlier incarnation is
  /// ignored.
  /// @param from Its sender.
  /// @param gossip The message.
  /// @param now Current time.
  /// @return True if the message was used.
  bool Receive(core::VmId from, const wire::Gossip& gossip, core::Time now);

  /// @brief Finds a VM.
  /// @param vm The VM.
  /// @return What is known about it, or null.
  [[nodiscard]] const Peer* Find(core::VmId vm) const;

  /// @brief The other VMs.
  /// @return The table in the order of the view.
  [[nodiscard]] const std::vector<Peer>& All() const noexcept { return peers_; }

  /// @brief Tells whether a VM was heard by any VM lately.
  /// @param peer The VM.
  /// @param now Current time.
  /// @return True if so.
  [[nodiscard]] bool IsAlive(const Peer& peer, core::Time now) const noexcept;

  /// @brief Tells whether messages lately passed in both directions.
  /// @param peer The VM.
  /// @param now Current time.
  /// @return True if so.
  [[nodiscard]] static bool IsTwoWay(const Peer& peer, core::Time now) noexcept;

  /// @brief Last gossip received from any VM.
  /// @return The time, or nothing.
  [[nodiscard]] std::optional<core::Time> LastHeard() const noexcept {
    return last_heard_;
  }

  /// @brief Next part of the table for a gossip message, in rotation.
  /// @param count Most entries.
  /// @param own Position of this VM.
  /// @param now Current time.
  /// @return The entries.
  [[nodiscard]] std::vector<wire::HeardPeer> NextDigest(std::size_t count,
                                                        config::Position own,
                                                        core::Time now);

 private:
  Peer* FindMutable(core::VmId vm);
  void TakeDigest(const wire::Gossip& gossip, core::Time now);

  std::vector<Peer> peers_;
  std::unordered_map<core::VmId, std::size_t> index_;
  std::optional<core::Time> last_heard_;
  std::size_t next_ = 0;
};

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_PEER_TABLE_H_
