#ifndef GATEWAY_SHELL_H_
#define GATEWAY_SHELL_H_

#include <memory>

#include "bambootack/gateway/settings.h"

namespace bambootack::gateway_daemon {

/// @brief Imperative shell of a gateway: connects it with sockets, timers and
/// signals.
class Shell {
 public:
  /// @brief Opens the sockets and starts listening.
  /// @param settings Settings of the daemon.
  /// @throw std::exception if an address cannot be bound.
  explicit Shell(gateway::GatewaySettings settings);
  ~Shell();
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;

  /// @brief Runs until a graceful shutdown is complete.
  /// @return Exit code: 1 if the shutdown cut requests off, otherwise 0.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_SHELL_H_
