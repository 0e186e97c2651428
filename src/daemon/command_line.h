#ifndef DAEMON_COMMAND_LINE_H_
#define DAEMON_COMMAND_LINE_H_

#include <fmt/format.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "bambootack/core/error_kind.h"

namespace bambootack::daemon {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// @brief What the command line of a daemon asks for.
struct CommandLine {
  std::string settings;          ///< Path of the settings.
  bool check = false;            ///< Only check the settings.
  std::optional<int> exit_code;  ///< Set if the process is to end at once.
};

/// @brief Reads the command line; prints help, version and errors.
/// @param argc Number of arguments.
/// @param argv Arguments.
/// @param program Name of the program.
/// @return What is asked for.
[[nodiscard]] CommandLine ReadCommandLine(int argc, char** argv,
                                          std::string_view program);

/// @brief Reads a file as text.
/// @param path Its path.
/// @return The text, or nothing with a message on standard error.
[[nodiscard]] std::optional<std::string> ReadText(const std::string& path);

/// @brief Ignores requests to reload until the daemon handles them: their
/// default ends the process.
void IgnoreReload() noexcept;

/// @brief Runs a daemon: command line, settings, then the daemon itself.
/// @param argc Number of arguments.
/// @param argv Arguments.
/// @param program Name of the program.
/// @param parse Reads settings from text and the name of its file.
/// @param run Runs the daemon with its settings; returns the exit code.
/// @param check Checks settings beyond their syntax for `--check` and prints
/// what it finds; returns the exit code.
/// @return Exit code of the process.
template <typename Parse, typename Run, typename Check>
int RunDaemon(int argc, char** argv, std::string_view program, Parse parse,
              Run run, Check check) {
  namespace leaf = boost::leaf;
  IgnoreReload();
  const CommandLine line = ReadCommandLine(argc, argv, program);
  if (line.exit_code) {
    return *line.exit_code;
  }
  const auto text = ReadText(line.settings);
  if (!text) {
    return kExitUsage;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, parse(*text, line.settings));
        if (line.check) {
          const int code = check(settings);
          if (code == kExitOk) {
            fmt::print("{}: ok\n", line.settings);
          }
          return code;
        }
        try {
          return run(std::move(settings));
        } catch (const std::exception& error) {
          fmt::print(stderr, "{}: {}\n", program, error.what());
          return kExitFailure;
        }
      },
      [](const core::Error& error) {
        fmt::print(stderr, "{}\n", error.detail);
        return kExitUsage;
      },
      [] { return kExitUsage; });
}

/// @brief Runs a daemon whose settings need no check beyond their syntax.
template <typename Parse, typename Run>
int RunDaemon(int argc, char** argv, std::string_view program, Parse parse,
              Run run) {
  return RunDaemon(argc, argv, program, parse, run,
                   [](const auto& /*settings*/) { return kExitOk; });
}

}  // namespace bambootack::daemon

#endif  // DAEMON_COMMAND_LINE_H_
