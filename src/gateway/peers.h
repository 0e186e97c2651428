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

/// @brief Identity of a process in the messages between gateways.
struct PeerIdentity {
  core::VmId vm{};
  std::string address;  ///< IP:port of this VM.
  std::string key;      ///< Key of the fleet, 64 hex digits.
  core::Incarnation incarnation{};
};

/// @brief Sends and receives sealed messages between gateways.
class Peers {
 public:
  /// @brief Called on the transport's thread for each message.
  using OnMessage = std::function<void(core::VmId, gateway::PeerMessage)>;

  /// @brief Called on the transport's thread for each rejected frame.
  using OnRejected = std::function<void(core::VmId, std::string)>;

  /// @brief Starts to listen.
  /// @param identity Identity of this process.
  /// @param on_message Receives the sender and the message.
  /// @param on_rejected Receives the sender, if known, and the reason.
  /// @throw std::exception if the address cannot be bound.
  Peers(PeerIdentity identity, OnMessage on_message, OnRejected on_rejected);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /// @brief Sets the addresses of the other VMs.
  void SetMembers(std::vector<membership::Member> members);

  /// @brief Sends a message to a VM. A lost message is not reported.
  void Send(core::VmId vm, const gateway::PeerMessage& message);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_PEERS_H_
