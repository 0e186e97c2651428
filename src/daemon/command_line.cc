#include "daemon/command_line.h"

#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>

namespace bambootack::daemon {
namespace {

constexpr const char* kHelp =
    "usage: {} --settings FILE [--check]\n"
    "  --settings FILE  settings in TOML\n"
    "  --check          check the settings and exit\n"
    "  --version        print the version\n"
    "  --help           print this text\n";

}  // namespace

CommandLine ReadCommandLine(int argc, char** argv, std::string_view program) {
  static const option kLongOptions[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"version", no_argument, nullptr, 'v'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  CommandLine line;
  int it = 0;
  while ((it = getopt_long(argc, argv, "", kLongOptions, nullptr)) != -1) {
    switch (it) {
      case 's':
        line.settings = optarg;
        break;
      case 'c':
        line.check = true;
        break;
      case 'v':
        fmt::print("{} {}\n", program, BAMBOOTACK_VERSION);
        line.exit_code = kExitOk;
        return line;
      case 'h':
        fmt::print(fmt::runtime(kHelp), program);
        line.exit_code = kExitOk;
        return line;
      default:
        line.exit_code = kExitUsage;
        return line;
    }
  }
  if (line.settings.empty() || optind != argc) {
    fmt::print(stderr, fmt::runtime(kHelp), program);
    line.exit_code = kExitUsage;
  }
  return line;
}

void IgnoreReload() noexcept { std::signal(SIGHUP, SIG_IGN); }

std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    fmt::print(stderr, "{}: cannot be read\n", path);
    return std::nullopt;
  }
  return std::string{std::istreambuf_iterator<char>(in), {}};
}

}  // namespace bambootack::daemon
