#ifndef BAMBOOTACK_GATEWAY_MESSAGES_H_
#define BAMBOOTACK_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/core/handle.h"
#include "bambootack/gateway/model.h"
#include "bambootack/gateway/server_pool.h"
#include "bambootack/gateway/server_registry.h"

namespace bambootack::gateway {

/// @brief Tells one send of one request of an entry from every other.
struct AttemptKey {
  core::Handle request;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

/// @brief Entry to dispatcher: a request needs a server.
struct SlotRequest {
  AttemptKey key;
  bool retry = false;  ///< A server was already sent this request.
  SlotRequirements need;
};

/// @brief Dispatcher to entry: the slot, or nothing if there is none.
struct SlotReply {
  AttemptKey key;
  std::optional<Slot> slot;
  bool knows_servers = true;  ///< False if the dispatcher has just started.
  bool quarantined = false;   ///< The request crashes the servers that run it.
};

/// @brief Entry to dispatcher: the slot is free again.
struct SlotRelease {
  std::uint64_t lease = 0;
  AttemptOutcome outcome = AttemptOutcome::kCancelled;
  std::optional<ServerLoad> load;
};

/// @brief Dispatcher to the dispatchers of the service's other groups: a server
/// went down while it ran a request.
struct CrashNotice {
  std::uint64_t fingerprint = 0;
  std::string server;
};

/// @brief A VM that has started, to the VMs that it knows.
struct MemberNotice {
  std::string address;
  std::string failure_domain;
  bool leaving = false;
};

/// @brief What a VM knows beyond a position: answer to `StateQuery`, and sent
/// unasked by the VM that reads the platform's store for its failure domain.
struct StateUpdate {
  std::uint64_t from = 0;      ///< Position that the changes follow.
  std::uint64_t position = 0;  ///< Position up to which they are complete.
  core::Duration age{};        ///< Since the store confirmed that position.
  std::vector<ServerChange> servers;
  std::uint64_t config_version = 0;
  std::optional<GatewayConfig> config;  ///< Present if it was asked for.
};

/// @brief Asks a VM for what it knows beyond the own state.
struct StateQuery {
  std::uint64_t position = 0;
  std::uint64_t config_version = 0;
};

/// @brief Any message between gateways.
using PeerMessage =
    std::variant<SlotRequest, SlotReply, SlotRelease, MemberNotice, StateUpdate,
                 StateQuery, CrashNotice>;

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_MESSAGES_H_
