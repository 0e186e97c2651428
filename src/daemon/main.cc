#include <utility>

#include "bambootack/settings/settings.h"
#include "daemon/command_line.h"
#include "daemon/shell.h"

int main(int argc, char** argv) {
  using bambootack::settings::Settings;
  return bambootack::daemon::RunDaemon(
      argc, argv, "bambootackd", &bambootack::settings::Parse,
      [](Settings settings) {
        return bambootack::daemon::Shell(std::move(settings)).Run();
      });
}
