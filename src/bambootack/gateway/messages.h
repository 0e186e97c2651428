#ifndef BAMBOOTACK_GATEWAY_MESSAGES_H_
#define BAMBOOTACK_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/core/handle.h"
#include "bambootack/customers/key_confirmation.h"
#include "bambootack/gateway/model.h"
#include "bambootack/gateway/server_pool.h"
#include "bambootack/gateway/server_registry.h"
#include "bambootack/quota/messages.h"

namespace bambootack::gateway {

/// @brief Identifies one slot request of an entry, so that a reply to an
/// earlier one for the same request is recognized.
struct SlotRequestKey {
  core::Handle request;
  std::uint32_t number = 0;  ///< Slot requests for `request` so far.

  friend auto operator<=>(const SlotRequestKey&,
                          const SlotRequestKey&) = default;
};

/// @brief Entry to dispatcher: requests a slot for an attempt.
struct SlotRequest {
  SlotRequestKey key;
  bool retry = false;  ///< An earlier attempt may have reached a server.
  SlotRequirements requirements;
  /// Whether it lends the sender's part of the limits; see `LimitLender`.
  bool lends_limits = false;
  /// Limits of the group's servers, which a new dispatcher does not know.
  std::vector<KnownLimit> limits;
};

/// @brief Dispatcher to entry: the slot, or nothing if none is free.
struct SlotReply {
  SlotRequestKey key;
  std::optional<Slot> slot;
  bool knows_servers = true;  ///< False if the dispatcher has just started.
  bool quarantined = false;   ///< The request is a poison request.
  /// Time until a server is expected to admit a request, if the limits that the
  /// servers named are the only obstacle.
  std::optional<core::Duration> admission_wait;
};

/// @brief Entry to dispatcher: the slot is free again, with the outcome and the
/// reported load as evidence of the server's health, and its limit.
struct SlotRelease {
  std::uint64_t lease = 0;
  AttemptOutcome outcome = AttemptOutcome::kCancelled;
  std::optional<ServerLoad> load;
  std::optional<LimitReport> limit;  ///< As the answer states it, if any.
};

/// @brief Dispatcher to the dispatchers of the service's other groups: a server
/// crashed while it executed a request.
struct CrashNotice {
  std::uint64_t fingerprint = 0;
  std::string server;
  std::int64_t started = 0;  ///< Start of the server that crashed.
};

/// @brief Announces a VM that has started, or is leaving, to its peers.
struct MemberNotice {
  std::string address;
  std::string failure_domain;
  bool leaving = false;
};

/// @brief State changes from an offset on. It answers a `StateQuery`; the store
/// reader of a failure domain also sends it unprompted.
struct StateUpdate {
  std::uint64_t from = 0;      ///< Offset of the first change covered.
  std::uint64_t position = 0;  ///< Position up to which they are complete.
  /// Removals before this offset may be missing, unless `from` is zero: then
  /// `servers` has all servers, and only what it lacks was removed.
  std::uint64_t history_start = 0;
  core::Duration age{};  ///< Time since the store confirmed `position`.
  /// How long the store has been available without a gap, as the sender knows.
  core::Duration available_for{};
  std::vector<ServerChange> servers;
  std::uint64_t config_version = 0;
  /// Set in an answer to a query with a lower `config_version`.
  std::optional<GatewayConfig> config;
};

/// @brief Asks a peer for the state changes that the sender lacks.
struct StateQuery {
  std::uint64_t position = 0;
  std::uint64_t config_version = 0;
};

/// @brief A server has told the sender that it is leaving.
struct LeavingNotice {
  std::string server;
  std::int64_t started = 0;  ///< Start time of the server that is leaving.
};

/// @brief Any message between gateways.
using PeerMessage =
    std::variant<SlotRequest, SlotReply, SlotRelease, MemberNotice, StateUpdate,
                 StateQuery, CrashNotice, LeavingNotice,
                 customers::KeyStateQuery, customers::KeyStateReply,
                 quota::TokenRequest, quota::TokenReply, quota::LeaseNotice,
                 quota::LeaseReply, quota::TokenReturn>;

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_MESSAGES_H_
