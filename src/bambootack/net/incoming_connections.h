#ifndef BAMBOOTACK_NET_INCOMING_CONNECTIONS_H_
#define BAMBOOTACK_NET_INCOMING_CONNECTIONS_H_

#include <asio.hpp>
#include <memory>

#include "bambootack/net/peer_transport.h"

namespace bambootack::net {

/// @brief Connections that other VMs have opened, and the memory of the frames
/// that they receive. Whoever opened one shows to be a VM of the fleet by its
/// first accepted frame only, so that time and memory are limited before.
class IncomingConnections {
 public:
  /// @param callbacks Outlive this object and the connections.
  explicit IncomingConnections(const PeerCallbacks& callbacks);
  ~IncomingConnections();
  IncomingConnections(const IncomingConnections&) = delete;
  IncomingConnections& operator=(const IncomingConnections&) = delete;

  /// @brief Reads frames from an accepted connection until it closes.
  void Add(asio::ip::tcp::socket socket);

 private:
  class Connection;
  struct State;

  const PeerCallbacks& callbacks_;
  std::shared_ptr<State> state_;  ///< Shared with the connections.
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_INCOMING_CONNECTIONS_H_
