#ifndef GATEWAY_PEERS_H_
#define GATEWAY_PEERS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/gateway/messages.h"
#include "bambootack/membership/view.h"

namespace bambootack::gateway_daemon {

/// @brief How a process takes part in the messages between gateways.
struct PeerIdentity {
  core::VmId vm{};
  std::string address;  ///< IP:port of this VM.
  std::string key;      ///< Hex key of the fleet.
  core::Incarnation incarnation{};
};

/// @brief Sealed messages between gateways.
class Peers {
 public:
  /// @brief Called on the transport's thread for each message.
  using OnMessage = std::function<void(core::VmId, gateway::PeerMessage)>;

  /// @brief Called on the transport's thread for each frame that was refused.
  using OnRejected = std::function<void(core::VmId, std::string)>;

  /// @brief Starts to listen.
  /// @param identity Identity of this process.
  /// @param on_message Receives messages.
  /// @param on_rejected Receives the sender, if known, and the reason.
  /// @throw std::exception if the address cannot be bound.
  Peers(PeerIdentity identity, OnMessage on_message, OnRejected on_rejected);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /// @brief Sets the addresses of the other VMs.
  /// @param members The members.
  void SetMembers(std::vector<membership::Member> members);

  /// @brief Sends a message, which may be lost.
  /// @param vm Receiver.
  /// @param message The message.
  void Tell(core::VmId vm, const gateway::PeerMessage& message);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_PEERS_H_
