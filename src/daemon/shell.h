#ifndef DAEMON_SHELL_H_
#define DAEMON_SHELL_H_

#include <memory>

#include "bambootack/settings/settings.h"

namespace bambootack::daemon {

/// @brief Connects a `node::Node` with clocks, sockets and signals.
class Shell {
 public:
  /// @brief Opens the sockets of the daemon.
  /// @param settings Its settings.
  /// @throw std::exception if an address cannot be bound.
  explicit Shell(settings::Settings settings);
  ~Shell();
  Shell(const Shell&) = delete;
  Shell& operator=(const Shell&) = delete;

  /// @brief Runs the control thread until the node exits.
  /// @return Exit code of the process.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::daemon

#endif  // DAEMON_SHELL_H_
