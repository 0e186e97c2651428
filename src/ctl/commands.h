#ifndef CTL_COMMANDS_H_
#define CTL_COMMANDS_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/http_message.h"

namespace bambootack::ctl {

/// @brief Exit codes of the program.
enum class ExitCode : int {
  kDone = 0,
  kRefused = 1,        ///< The daemon refused; repeating does not help.
  kUsage = 2,          ///< Wrong command line or unreadable file.
  kNoAnswer = 3,       ///< No daemon answered.
  kLost = 4,           ///< Another ticket won the number or the object.
  kUnresolved = 5,     ///< The ticket may still come into force.
  kNotAppended = 6,    ///< The log is away; nothing was changed.
  kNotEverywhere = 7,  ///< In force, but some VMs lack it after the wait.
  kUnauthorized = 8,   ///< The token is missing or wrong.
  kNotReady = 9,       ///< The VM has no state yet.
  kNotFound = 10,      ///< No line of the logs names the request.
};

/// @brief Command line.
struct Options {
  std::string to;
  std::string token;
  bool json = false;
  bool toml = false;
  bool wait = false;
  bool help = false;
  std::vector<std::string> command;
};

/// @brief One command.
struct Command {
  std::string_view name;      ///< One or two words.
  std::string_view argument;  ///< Name of its argument, or empty.
  std::string_view summary;
  std::string_view help;  ///< Details, examples and exit codes.
  bool local = false;     ///< It asks no daemon and takes files.
};

/// @brief All commands.
/// @return The table.
[[nodiscard]] std::span<const Command> Commands() noexcept;

/// @brief Finds the command of a command line.
/// @param words Its words.
/// @return The command that its first words name, or null.
[[nodiscard]] const Command* FindCommand(const std::vector<std::string>& words);

/// @brief Help on the program.
/// @return The text.
[[nodiscard]] std::string GeneralHelp();

/// @brief Help on one command.
/// @param command The command.
/// @return The text.
[[nodiscard]] std::string HelpOn(const Command& command);

/// @brief Makes the request of a command.
/// @param command The command.
/// @param options Command line.
/// @return The request, or nothing if the file cannot be read.
[[nodiscard]] std::optional<core::HttpRequest> MakeRequest(
    const Command& command, const Options& options);

/// @brief Exit code for an answer.
/// @param answer The answer.
/// @return The code.
[[nodiscard]] ExitCode CodeOf(const core::HttpAnswer& answer);

}  // namespace bambootack::ctl

#endif  // CTL_COMMANDS_H_
