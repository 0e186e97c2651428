#ifndef BAMBOOTACK_WIRE_SPREAD_MESSAGES_H_
#define BAMBOOTACK_WIRE_SPREAD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bambootack/config/state.h"
#include "bambootack/core/ids.h"

namespace bambootack::wire {

/// @brief Age in units of 10 ms, at most 655 s.
using Age = std::uint16_t;

/// @brief Age of what never happened or happened long ago.
inline constexpr Age kAgeUnknown = 0xFFFF;

/// @brief What the sender of gossip knows about another VM.
struct HeardPeer {
  core::VmId vm{};
  Age heard = kAgeUnknown;  ///< Since any VM heard it, as far as known.
  bool current = false;     ///< It has at least the position of the sender.

  friend bool operator==(const HeardPeer&, const HeardPeer&) = default;
};

/// @brief Fingerprint of a request that is held on every VM.
struct HeldFingerprint {
  std::uint64_t fingerprint = 0;
  std::uint32_t remaining_s = 0;  ///< Seconds until it is released.

  friend bool operator==(const HeldFingerprint&,
                         const HeldFingerprint&) = default;
};

/// @brief Periodic datagram between VMs.
struct Gossip {
  core::Incarnation incarnation{};
  config::Position position;
  std::uint64_t digest = 0;  ///< Digest of the configuration.
  core::ViewNumber view{};
  bool has_state = false;
  bool leaving = false;
  Age receiver_heard = kAgeUnknown;  ///< Since the sender heard the receiver.
  Age log_read = kAgeUnknown;        ///< Since any VM read the log to its end.
  std::vector<HeardPeer> heard;      ///< Rotating part of the table of VMs.
  std::vector<HeldFingerprint> held;

  friend bool operator==(const Gossip&, const Gossip&) = default;
};

/// @brief Asks a VM for what it has beyond the own state.
struct StateRequest {
  /// The requester: a new VM is not yet in the views of the others.
  core::Incarnation incarnation{};
  std::string address;
  config::Position position;
  std::uint64_t digest = 0;
  core::ViewNumber view{};
  /// State whose part is wanted, and the first byte of the part. A state that
  /// has changed meanwhile is sent from its first byte.
  std::uint64_t state_digest = 0;
  std::uint64_t from = 0;

  friend bool operator==(const StateRequest&, const StateRequest&) = default;
};

/// @brief One record of the ticket stream.
struct TicketRecord {
  std::uint64_t offset = 0;
  std::string id;
  std::string body;

  friend bool operator==(const TicketRecord&, const TicketRecord&) = default;
};

/// @brief Answer to `StateRequest`: the records that the requester lacks where
/// the sender still has them, otherwise a part of its whole state.
struct StateReply {
  config::Position position;
  std::uint64_t digest = 0;
  std::vector<TicketRecord> records;  ///< Follow the requester's position.
  std::uint64_t total = 0;            ///< Bytes of the state, 0 if not sent.
  std::uint64_t from = 0;
  std::string part;
  core::ViewNumber view{};
  std::string views;  ///< Opaque: membership views of the sender.

  friend bool operator==(const StateReply&, const StateReply&) = default;
};

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_SPREAD_MESSAGES_H_
