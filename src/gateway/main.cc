#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "bambootack/gateway/settings.h"
#include "daemon/command_line.h"
#include "gateway/shell.h"
#include "platform/fleet_limits.h"

namespace {

using bambootack::gateway::GatewaySettings;
namespace daemon = bambootack::daemon;
namespace platform = bambootack::platform;

/// Prints the limits in force and those that are not applied. Names that this
/// version does not know are no error: the platform may add some.
int CheckLimits(const GatewaySettings& settings) {
  const auto parsed = platform::ParseFleetLimits(settings.platform_bounds);
  fmt::print("{}\n", Describe(parsed.limits));
  for (const platform::LimitNotice& it : parsed.notices) {
    fmt::print(stderr, "{}\n", Describe(it));
  }
  const bool applied = std::all_of(
      parsed.notices.begin(), parsed.notices.end(), [](const auto& it) {
        return it.problem == platform::LimitProblem::kUnknown;
      });
  return applied ? daemon::kExitOk : daemon::kExitFailure;
}

/// Blocks of this size and more are given back to the system when they are
/// freed. The C library would raise the threshold to that of the largest body.
constexpr int kMinMappedBytes = 128 * 1024;

/// Ignores a request to reload that arrives before `main`, which would end the
/// process. The handlers of this section run before the constructors of
/// libraries and of this program.
void IgnoreEarlyReload() { std::signal(SIGHUP, SIG_IGN); }
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kIgnoreEarlyReload)() = &IgnoreEarlyReload;

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  return daemon::RunDaemon(
      argc, argv, "bambootack-gateway", &bambootack::gateway::ParseSettings,
      [](GatewaySettings settings) {
        return bambootack::gateway_daemon::Shell(std::move(settings)).Run();
      },
      &CheckLimits);
}
