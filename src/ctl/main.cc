#include <fmt/format.h>
#include <getopt.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bambootack/log/request_story.h"
#include "bambootack/net/http_client.h"
#include "ctl/commands.h"
#include "ctl/render.h"

namespace {

namespace core = bambootack::core;
namespace ctl = bambootack::ctl;
namespace net = bambootack::net;
namespace node = bambootack::node;
using ctl::ExitCode;

/// Longer than the 10 s in which a daemon resolves an append.
constexpr core::Duration kTimeout = std::chrono::seconds(15);
constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;

/// A VM that every path leads to has a ticket within 2 s; one that lacks it
/// after five times that is named.
constexpr auto kWaitLimit = std::chrono::seconds(10);
constexpr auto kPollInterval = std::chrono::milliseconds(100);

std::optional<ctl::Options> ParseOptions(int argc, char** argv) {
  static const option kLongOptions[] = {
      {"to", required_argument, nullptr, 't'},
      {"token", required_argument, nullptr, 'k'},
      {"json", no_argument, nullptr, 'j'},
      {"toml", no_argument, nullptr, 'm'},
      {"wait", no_argument, nullptr, 'w'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  ctl::Options options;
  if (const char* token = std::getenv("BAMBOOTACK_TOKEN")) {
    options.token = token;
  }
  int it = 0;
  while ((it = getopt_long(argc, argv, "", kLongOptions, nullptr)) != -1) {
    switch (it) {
      case 't':
        options.to = optarg;
        break;
      case 'k':
        options.token = optarg;
        break;
      case 'j':
        options.json = true;
        break;
      case 'm':
        options.toml = true;
        break;
      case 'w':
        options.wait = true;
        break;
      case 'h':
        options.help = true;
        break;
      default:
        return std::nullopt;
    }
  }
  options.command.assign(argv + optind, argv + argc);
  return options;
}

net::HttpCallResult Call(const std::string& to, core::HttpRequest http) {
  net::HttpClient client(kMaxAnswerBytes);
  std::promise<net::HttpCallResult> promise;
  client.Start(1, {to, std::move(http), kTimeout},
               [&](net::HttpCallResult result) {
                 promise.set_value(std::move(result));
               });
  return promise.get_future().get();
}

ExitCode WaitForAll(const ctl::Options& options, const std::string& ticket) {
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  ctl::Progress progress;
  do {
    core::HttpRequest http{"GET", "/tickets/" + ticket, {}, {}};
    http.headers.push_back({"Authorization", "Bearer " + options.token});
    const net::HttpCallResult result = Call(options.to, std::move(http));
    if (result.end == node::AttemptEnd::kAnswered) {
      progress = ctl::ReadProgress(result.answer.body);
    }
    if (progress.vms > 0 && progress.in_force == progress.vms) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < end);
  const bool everywhere = progress.vms > 0 && progress.in_force == progress.vms;
  fmt::print("{}", ctl::RenderProgress(ticket, progress));
  return everywhere ? ExitCode::kDone : ExitCode::kNotEverywhere;
}

std::string Render(const ctl::Command& command, const ctl::Options& options,
                   const std::string& body) {
  if (options.json || options.toml) {
    return body;
  }
  if (command.name == "status") {
    return ctl::RenderStatus(body);
  }
  if (command.name == "ticket progress") {
    return ctl::RenderProgress(options.command.back(), ctl::ReadProgress(body));
  }
  return body;
}

ExitCode Run(const ctl::Command& command, const ctl::Options& options) {
  auto http = ctl::MakeRequest(command, options);
  if (!http) {
    return ExitCode::kUsage;
  }
  const net::HttpCallResult result = Call(options.to, *std::move(http));
  if (result.end != node::AttemptEnd::kAnswered) {
    fmt::print(stderr, "{}: no answer ({})\n", options.to,
               node::kAttemptEndNames.Name(result.end));
    return ExitCode::kNoAnswer;
  }
  const ExitCode code = ctl::CodeOf(result.answer);
  if (code != ExitCode::kDone) {
    fmt::print(stderr, "{}", result.answer.body);
    return code;
  }
  fmt::print("{}", Render(command, options, result.answer.body));
  const auto ticket =
      core::FindHeader(result.answer.headers, "Bambootack-Ticket");
  return options.wait && ticket ? WaitForAll(options, std::string(*ticket))
                                : code;
}

/// Prints the story of a request from files, or from standard input.
ExitCode Explain(const std::vector<std::string>& words) {
  bambootack::log::RequestStory story(words[1]);
  if (words.size() == 2) {
    story.Read(std::cin);
  }
  for (std::size_t i = 2; i < words.size(); ++i) {
    std::ifstream in(words[i]);
    if (!in) {
      fmt::print(stderr, "{}: cannot be read\n", words[i]);
      return ExitCode::kUsage;
    }
    story.Read(in);
  }
  const std::string text = story.Text();
  if (text.empty()) {
    fmt::print(stderr, "{}: no line names this request\n", words[1]);
    return ExitCode::kNotFound;
  }
  fmt::print("{}", text);
  return ExitCode::kDone;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = ParseOptions(argc, argv);
  const ctl::Command* command =
      options ? ctl::FindCommand(options->command) : nullptr;
  if (options && options->help) {
    fmt::print("{}",
               command != nullptr ? ctl::HelpOn(*command) : ctl::GeneralHelp());
    return static_cast<int>(ExitCode::kDone);
  }
  if (command != nullptr && command->local && options->command.size() > 1) {
    return static_cast<int>(Explain(options->command));
  }
  if (command == nullptr || options->to.empty()) {
    fmt::print(stderr, "{}", ctl::GeneralHelp());
    return static_cast<int>(ExitCode::kUsage);
  }
  const std::size_t words =
      command->name.find(' ') == std::string::npos ? 1 : 2;
  if (options->command.size() != words + (command->argument.empty() ? 0 : 1)) {
    fmt::print(stderr, "{}", ctl::HelpOn(*command));
    return static_cast<int>(ExitCode::kUsage);
  }
  return static_cast<int>(Run(*command, *options));
}
