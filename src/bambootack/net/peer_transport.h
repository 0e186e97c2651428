#ifndef BAMBOOTACK_NET_PEER_TRANSPORT_H_
#define BAMBOOTACK_NET_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/membership/view.h"

namespace bambootack::net {

/// @brief What a datagram tells of its sender.
struct DatagramSender {
  core::VmId vm = core::kNoVm;  ///< Set once it is authenticated.
  bool needs_hello = false;     ///< It lacks the session of this process.
};

/// @brief Security of the connections and receivers of their results. All are
/// called on the transport's thread.
struct PeerCallbacks {
  /// Frame that tells a VM, or with `kNoVm` any one, the session of this
  /// process.
  std::function<std::string(core::VmId)> hello;
  /// Checks the first frame of a connection to a VM.
  std::function<bool(core::VmId, std::string_view)> accept_hello;
  /// Seals a message when it is written; nothing ends the connection.
  std::function<std::optional<std::string>(core::VmId, std::string_view)> seal;
  /// Receives a datagram.
  std::function<DatagramSender(std::string)> on_datagram;
  /// Receives a frame; false closes its connection.
  std::function<bool(std::string)> on_frame;
  /// The connection to a VM has failed.
  std::function<void(core::VmId)> on_lost;
};

/// @brief Moves frames between VMs by TCP and UDP (Asio) with a thread of
/// its own.
/// The accepting side sends a hello first, which binds the frames of the
/// connection to its process. A frame is never sent twice: when a connection
/// fails, messages in its queue are dropped and the loss is reported.
class PeerTransport {
 public:
  /// @brief Starts to listen.
  /// @param address IP:port of this VM.
  /// @param callbacks Security and receivers.
  /// @throw std::exception if the address cannot be bound.
  PeerTransport(const std::string& address, PeerCallbacks callbacks);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// @brief Sets the addresses of the other VMs.
  /// @param members The members.
  void SetPeers(std::vector<membership::Member> members);

  /// @brief Seals and sends a message; the connection is opened when needed.
  /// @param vm Receiver.
  /// @param message Encoded message.
  void Send(core::VmId vm, std::string message);

  /// @brief Port that is listened on.
  /// @return The port, also when the address asked for port 0.
  [[nodiscard]] std::uint16_t Port() const;

  /// @brief Seals and sends a message as one UDP datagram, which may be lost
  /// without notice. While the receiver's session is unknown, a hello asks for
  /// it, and the message waits for a short time.
  /// @param vm Receiver.
  /// @param message Encoded message.
  void SendDatagram(core::VmId vm, std::string message);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_PEER_TRANSPORT_H_
