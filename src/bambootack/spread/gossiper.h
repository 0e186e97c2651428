#ifndef BAMBOOTACK_SPREAD_GOSSIPER_H_
#define BAMBOOTACK_SPREAD_GOSSIPER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/spread/peer_table.h"
#include "bambootack/wire/sealed_frame.h"

namespace bambootack::spread {

/// @brief Bytes of gossip that a VM may send in any second, with headers.
inline constexpr std::size_t kMaxBytesPerSecond = 3000;

/// @brief Time between two periodic messages.
inline constexpr core::Duration kGossipInterval =
    std::chrono::milliseconds(100);

/// @brief Bytes added to an encoded message on the network: 28 of the IP and
/// UDP headers and those of the sealed frame.
inline constexpr std::size_t kDatagramOverheadBytes =
    28 + wire::kSealOverheadBytes;

/// @brief State of this VM that gossip announces.
struct OwnState {
  core::Incarnation incarnation{};
  config::Position position;
  std::uint64_t digest = 0;
  core::ViewNumber view{};
  bool has_state = false;
  bool leaving = false;
  std::optional<core::Time> log_read;  ///< Last read to the end by any VM.
};

/// @brief Exports the held crash fingerprints. The health module provides it;
/// it returns at most the given number, in rotation.
using HeldExport = std::function<std::vector<wire::HeldFingerprint>(
    std::size_t count, core::Time now)>;

/// @brief A message and its receiver.
struct Datagram {
  core::VmId to{};
  wire::Gossip gossip;
};

/// @brief Size of a message on the network.
/// @param gossip The message.
/// @return Upper bound in bytes.
[[nodiscard]] std::size_t DatagramBytes(const wire::Gossip& gossip) noexcept;

/// @brief Decides what gossip to send to whom within a byte budget that does
/// not depend on the number of VMs.
class Gossiper {
 public:
  /// @brief Sets the source of held fingerprints.
  /// @param held The source.
  void SetHeldExport(HeldExport held) { held_ = std::move(held); }

  /// @brief Requests messages at once, because the own state has changed.
  void Announce() noexcept { announce_ = true; }

  /// @brief Messages that are due.
  /// @param own Own state.
  /// @param peers The other VMs.
  /// @param now Current time.
  /// @param random Source of the choices.
  /// @return The messages.
  [[nodiscard]] std::vector<Datagram> Tick(const OwnState& own,
                                           PeerTable& peers, core::Time now,
                                           core::Random& random);

  /// @brief Answers a VM that is behind.
  /// @param vm The VM.
  /// @param own Own state.
  /// @param peers The other VMs.
  /// @param now Current time.
  /// @return The message, or nothing while the budget or the pause between two
  /// answers to one VM does not allow it.
  [[nodiscard]] std::optional<Datagram> Reply(core::VmId vm,
                                              const OwnState& own,
                                              PeerTable& peers, core::Time now);

 private:
  [[nodiscard]] Datagram Make(core::VmId to, const OwnState& own,
                              PeerTable& peers, std::size_t entries,
                              core::Time now);
  void Refill(core::Time now);
  bool Spend(std::size_t bytes);
  void SendTo(core::VmId vm, const OwnState& own, PeerTable& peers,
              std::size_t entries, core::Time now, std::vector<Datagram>& out);
  [[nodiscard]] core::VmId NextInRing(const PeerTable& peers,
                                      core::Random& random);
  [[nodiscard]] core::VmId NextReceiver(const PeerTable& peers, core::Time now,
                                        core::Random& random);
  [[nodiscard]] std::optional<core::VmId> NextSilent(const PeerTable& peers,
                                                     core::Time now);
  [[nodiscard]] core::VmId RandomTwoWay(const PeerTable& peers, core::Time now,
                                        core::Random& random);

  HeldExport held_;
  std::vector<core::VmId> ring_;
  std::size_t ring_next_ = 0;
  std::size_t silent_next_ = 0;
  std::unordered_map<core::VmId, core::Time> replied_;
  double tokens_ = 0;
  std::optional<core::Time> refilled_;
  core::Time next_round_{};
  std::uint64_t round_ = 0;
  bool announce_ = false;
};

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_GOSSIPER_H_
