#include "ctl/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

#include "bambootack/core/error_kind.h"

namespace bambootack::ctl {
namespace {

constexpr std::string_view kTicketCodes =
    "exit codes: 0 in force (with --wait: on every VM), 1 refused, 3 no "
    "answer,\n"
    "  4 another ticket won, 5 unresolved: may still come into force, 6 the "
    "log\n"
    "  is away and nothing was changed, 7 in force but not on every VM,\n"
    "  8 wrong token\n";

constexpr std::array kCommands{
    Command{"ticket submit", "FILE", "submit a change ticket",
            "Checks the ticket, appends it to the log and waits until this VM "
            "has judged it.\nWith --wait it then waits up to 10 s until every "
            "VM has it and names those that lack it.\nThe same file may be "
            "submitted again: it takes effect once.\n"
            "example: bambootackctl --to 10.0.0.1:7000 ticket submit "
            "home-care.toml --wait\n"},
    Command{"ticket show", "", "configuration in force as one ticket",
            "Prints the whole configuration in the form of a ticket, after the "
            "latest tickets\nas comments.\n"
            "example: bambootackctl --to 10.0.0.1:7000 ticket show\n"},
    Command{"ticket progress", "NUMBER", "VMs that have a ticket in force",
            "Tells on how many VMs a ticket is in force, as this VM knows, and "
            "which lack it.\n"
            "example: bambootackctl --to 10.0.0.1:7000 ticket progress 7\n"},
    Command{
        "server pin-in", "ID", "keep a server in service",
        "Submits a ticket with the server's service as in force and the "
        "pin `in`: health\ndecisions do not eject the server. ID is the "
        "id of the server, or SERVICE/ID.\n"
        "example: bambootackctl --to 10.0.0.1:7000 server pin-in ledger-3\n"},
    Command{"server pin-out", "ID", "take a server out of service",
            "Submits a ticket with the server's service as in force and the "
            "pin `out`: the server\ngets no work. ID is the id of the server, "
            "or SERVICE/ID.\n"
            "example: bambootackctl --to 10.0.0.1:7000 server pin-out "
            "ledger-3 --wait\n"},
    Command{
        "server unpin", "ID", "leave a server to health decisions",
        "Submits a ticket with the server's service as in force and "
        "without the pin.\n"
        "example: bambootackctl --to 10.0.0.1:7000 server unpin ledger-3\n"},
    Command{"status", "", "VMs, servers and the ticket in force",
            "Prints tables; --json or --toml print the report as data.\n"
            "example: bambootackctl --to 10.0.0.1:7000 status\n"},
    Command{"dump", "", "whole state of the daemon",
            "Prints the state as TOML, or as JSON with --json.\n"
            "example: bambootackctl --to 10.0.0.1:7000 --json dump\n"},
    Command{"drain", "", "stop the daemon gracefully",
            "Starts a planned stop, which interrupts no request in flight.\n"
            "example: bambootackctl --to 10.0.0.1:7000 drain\n"},
    Command{"explain", "ID [FILE...]", "what the logs say of a request",
            "Reads logs of all VMs, from standard input without a file, and "
            "prints the lines of\nthe request with this id in the order of "
            "time. No daemon is asked.\n"
            "example: bambootackctl explain 97e740cfe35c2a94 "
            "/var/log/bambootack/*.log\n"
            "exit codes: 0 found, 2 a file cannot be read, 10 no line names "
            "the request\n",
            true},
};

std::string Usage(const Command& command) {
  return fmt::format("{}{}{}", command.name,
                     command.argument.empty() ? "" : " ", command.argument);
}

core::HttpRequest Get(std::string target, const Options& options) {
  return {"GET", target + (options.json ? "?format=json" : ""), {}, {}};
}

std::optional<core::HttpRequest> SubmitRequest(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    fmt::print(stderr, "{}: cannot be read\n", file);
    return std::nullopt;
  }
  core::HttpRequest http{"POST", "/tickets", {}, {}};
  http.headers.push_back({"Bambootack-Source", file});
  http.body = std::string{std::istreambuf_iterator<char>(in), {}};
  return http;
}

core::HttpRequest PinRequest(const std::string& server, std::string_view pin) {
  core::HttpRequest http{
      "POST", fmt::format("/servers/{}/pin/{}", server, pin), {}, {}};
  const char* user = std::getenv("USER");
  http.headers.push_back({"Bambootack-Author", user != nullptr ? user : ""});
  return http;
}

}  // namespace

std::span<const Command> Commands() noexcept { return kCommands; }

const Command* FindCommand(const std::vector<std::string>& words) {
  for (const Command& it : kCommands) {
    const std::size_t name =
        it.name.find(' ') == std::string_view::npos ? 1 : 2;
    if (words.size() < name) {
      continue;
    }
    const std::string given = name == 1 ? words[0] : words[0] + " " + words[1];
    if (given == it.name) {
      return &it;
    }
  }
  return nullptr;
}

std::string GeneralHelp() {
  std::string text =
      "usage: bambootackctl --to IP:PORT [--token TOKEN] [--json] COMMAND\n"
      "commands:\n";
  for (const Command& it : kCommands) {
    text += fmt::format("  {:24} {}\n", Usage(it), it.summary);
  }
  return text +
         "options:\n"
         "  --to IP:PORT   operators' address of any VM\n"
         "  --token TOKEN  operator token; or the variable BAMBOOTACK_TOKEN\n"
         "  --wait         with a ticket: wait until every VM has it\n"
         "  --json         print reports as JSON\n"
         "  --toml         print reports as TOML\n"
         "  --help         print this text, or help on a command\n"
         "exit codes: 0 done, 1 refused, 2 wrong usage, 3 no answer, 4 "
         "another\n"
         "  ticket won, 5 unresolved, 6 log away, 7 not on every VM, 8 wrong\n"
         "  token, 9 not ready, 10 no such request\n";
}

std::string HelpOn(const Command& command) {
  const bool changes =
      command.name.starts_with("server") || command.name == "ticket submit";
  return fmt::format("usage: bambootackctl --to IP:PORT [OPTIONS] {}{}\n{}{}",
                     Usage(command), changes ? " [--wait]" : "", command.help,
                     changes ? kTicketCodes
                             : "exit codes: 0 done, 1 refused, 3 no answer, "
                               "8 wrong token\n");
}

std::optional<core::HttpRequest> MakeRequest(const Command& command,
                                             const Options& options) {
  const std::string& last = options.command.back();
  std::optional<core::HttpRequest> http;
  if (command.name == "ticket submit") {
    http = SubmitRequest(last);
  } else if (command.name == "ticket show") {
    http = core::HttpRequest{"GET", "/tickets", {}, {}};
  } else if (command.name == "ticket progress") {
    http = Get("/tickets/" + last, options);
  } else if (command.name == "server pin-in") {
    http = PinRequest(last, "in");
  } else if (command.name == "server pin-out") {
    http = PinRequest(last, "out");
  } else if (command.name == "server unpin") {
    http = PinRequest(last, "none");
  } else if (command.name == "drain") {
    http = core::HttpRequest{"POST", "/drain", {}, {}};
  } else {
    http = Get("/" + std::string(command.name), options);
  }
  if (http) {
    http->headers.push_back({"Authorization", "Bearer " + options.token});
  }
  return http;
}

ExitCode CodeOf(const core::HttpAnswer& answer) {
  using core::ErrorKind;
  if (answer.status / 100 == 2) {
    return ExitCode::kDone;
  }
  const auto name = core::FindHeader(answer.headers, "Bambootack-Error");
  const auto is = [&](ErrorKind kind) {
    return name == core::AnswerOf(kind).name;
  };
  if (is(ErrorKind::kTicketConflict) || is(ErrorKind::kTicketStale)) {
    return ExitCode::kLost;
  }
  if (is(ErrorKind::kAppendUnresolved)) {
    return ExitCode::kUnresolved;
  }
  if (is(ErrorKind::kLogUnavailable)) {
    return ExitCode::kNotAppended;
  }
  if (is(ErrorKind::kUnauthorized)) {
    return ExitCode::kUnauthorized;
  }
  return is(ErrorKind::kNotReady) ? ExitCode::kNotReady : ExitCode::kRefused;
}

}  // namespace bambootack::ctl
