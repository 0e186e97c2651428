#include <utility>

#include "bambootack/gateway/settings.h"
#include "daemon/command_line.h"
#include "gateway/shell.h"

int main(int argc, char** argv) {
  using bambootack::gateway::GatewaySettings;
  return bambootack::daemon::RunDaemon(
      argc, argv, "bambootack-gateway", &bambootack::gateway::ParseSettings,
      [](GatewaySettings settings) {
        return bambootack::gateway_daemon::Shell(std::move(settings)).Run();
      });
}
