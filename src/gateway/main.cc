#include <fmt/format.h>
#include <getopt.h>

#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "bambootack/core/error_kind.h"
#include "bambootack/gateway/settings.h"
#include "gateway/shell.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kHelp =
    "usage: bambootack-gateway --settings FILE [--check]\n"
    "  --settings FILE  settings in TOML\n"
    "  --check          check the settings and exit\n"
    "  --version        print the version\n"
    "  --help           print this text\n";

struct Options {
  std::string settings;
  bool check = false;
  std::optional<int> exit_code;
};

Options ParseOptions(int argc, char** argv) {
  static const option kLongOptions[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"version", no_argument, nullptr, 'v'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  Options options;
  int it = 0;
  while ((it = getopt_long(argc, argv, "", kLongOptions, nullptr)) != -1) {
    switch (it) {
      case 's':
        options.settings = optarg;
        break;
      case 'c':
        options.check = true;
        break;
      case 'v':
        fmt::print("bambootack-gateway {}\n", BAMBOOTACK_VERSION);
        options.exit_code = kExitOk;
        return options;
      case 'h':
        fmt::print("{}", kHelp);
        options.exit_code = kExitOk;
        return options;
      default:
        options.exit_code = kExitUsage;
        return options;
    }
  }
  if (options.settings.empty() || optind != argc) {
    fmt::print(stderr, "{}", kHelp);
    options.exit_code = kExitUsage;
  }
  return options;
}

std::optional<bambootack::gateway::GatewaySettings> Load(
    const std::string& path) {
  namespace leaf = boost::leaf;
  using bambootack::gateway::GatewaySettings;
  std::ifstream in(path);
  if (!in) {
    fmt::print(stderr, "{}: cannot be read\n", path);
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<GatewaySettings>> {
        BOOST_LEAF_AUTO(settings,
                        bambootack::gateway::ParseSettings(text, path));
        return std::optional<GatewaySettings>(std::move(settings));
      },
      [](const bambootack::core::Error& error) {
        fmt::print(stderr, "{}\n", error.detail);
        return std::optional<GatewaySettings>();
      },
      [] { return std::optional<GatewaySettings>(); });
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = ParseOptions(argc, argv);
  if (options.exit_code) {
    return *options.exit_code;
  }
  auto settings = Load(options.settings);
  if (!settings) {
    return kExitUsage;
  }
  if (options.check) {
    fmt::print("{}: ok\n", options.settings);
    return kExitOk;
  }
  try {
    return bambootack::gateway_daemon::Shell(*std::move(settings)).Run();
  } catch (const std::exception& error) {
    fmt::print(stderr, "bambootack-gateway: {}\n", error.what());
    return kExitFailure;
  }
}
