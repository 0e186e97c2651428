#ifndef GATEWAY_SHELL_H_
#define GATEWAY_SHELL_H_

#include <memory>

#include "bambootack/gateway/settings.h"

namespace bambootack::gateway_daemon {

/// @brief Connects a gateway with sockets, timers and signals.
class Shell {
 public:
  /// @brief Starts to listen.
  /// @param settings Settings of the daemon.
  /// @throw std::exception if an address cannot be bound.
  explicit Shell(gateway::GatewaySettings settings);
  ~Shell();
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;

  /// @brief Runs until a planned stop is complete.
  /// @return Exit code.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_SHELL_H_
