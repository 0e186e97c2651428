#ifndef GATEWAY_PEER_MESSENGER_H_
#define GATEWAY_PEER_MESSENGER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/gateway/messages.h"
#include "bambootack/membership/view.h"

namespace bambootack::gateway_daemon {

/// @brief Identity of a process in the messages between gateways.
struct PeerIdentity {
  core::VmId vm{};
  std::string address;  ///< IP:port of this VM.
  std::string key;      ///< Key of the fleet, 64 hex digits.
  core::Incarnation incarnation{};
};

/// @brief Sends and receives messages between gateways. They are sealed, that
/// is, encrypted and authenticated with the key of the fleet.
class PeerMessenger {
 public:
  /// @brief Called on the transport's thread for each message.
  using OnMessage = std::function<void(core::VmId, gateway::PeerMessage)>;

  /// @brief Called on the transport's thread for each rejected frame.
  using OnRejected = std::function<void(core::VmId, std::string)>;

  /// @brief Opens the sockets and starts listening.
  /// @param identity Identity of this process.
  /// @param on_message Receives the sender and the message.
  /// @param on_rejected Receives the sender, if known, and the reason.
  /// @throw std::exception if the address cannot be bound.
  PeerMessenger(PeerIdentity identity, OnMessage on_message,
                OnRejected on_rejected);
  ~PeerMessenger();
  PeerMessenger(const PeerMessenger&) = delete;
  PeerMessenger& operator=(const PeerMessenger&) = delete;

  /// @brief Sets the addresses of the other VMs.
  void SetMembers(std::vector<membership::Member> members);

  /// @brief Sends a message to a VM. A lost message is not reported.
  /// @return Encoded size of the message in bytes, without its seal.
  std::size_t Send(core::VmId vm, const gateway::PeerMessage& message);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_PEER_MESSENGER_H_
