#include <fmt/format.h>
#include <getopt.h>

#include <atomic>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <vector>

#include "model/search.h"

// Checks the exchange of state between gateways in all short orders of events
// and in long random ones.

namespace {

namespace model = bambootack::model;

constexpr std::string_view kHelp =
    "usage: state-model [OPTIONS]\n"
    "  --depth N     check all orders of up to N events (4; 0: none)\n"
    "  --walks N     check N random orders (4000)\n"
    "  --length N    events of a random order (40)\n"
    "  --seed N      seed of the first random order (1)\n"
    "  --threads N   threads (4)\n"
    "exit status: 0 if no invariant was broken, 1 if one was, 2 on misuse\n";

struct Options {
  std::uint64_t depth = 4;
  std::uint64_t walks = 4000;
  std::uint64_t length = 40;
  std::uint64_t seed = 1;
  std::uint64_t threads = 4;
};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  return ec == std::errc() && rest == end ? std::optional(number)
                                          : std::nullopt;
}

std::optional<Options> ParseOptions(int argc, char** argv) {
  Options options;
  const option long_options[] = {{"depth", required_argument, nullptr, 'd'},
                                 {"walks", required_argument, nullptr, 'w'},
                                 {"length", required_argument, nullptr, 'l'},
                                 {"seed", required_argument, nullptr, 's'},
                                 {"threads", required_argument, nullptr, 't'},
                                 {nullptr, 0, nullptr, 0}};
  for (int c = 0;
       (c = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
    const auto number =
        c == '?' ? std::nullopt : ParseNumber(std::string_view(optarg));
    if (!number) {
      return std::nullopt;
    }
    (c == 'd'   ? options.depth
     : c == 'w' ? options.walks
     : c == 'l' ? options.length
     : c == 's' ? options.seed
                : options.threads) = *number;
  }
  return optind == argc && options.threads > 0 ? std::optional(options)
                                               : std::nullopt;
}

bool Print(const model::Finding& finding) {
  fmt::print("broken: {}\n", finding.violation);
  for (const model::Event& it : finding.events) {
    fmt::print("  {}\n", model::ToText(it));
  }
  return false;
}

bool CheckWalks(const Options& options, std::size_t domains) {
  std::atomic<std::uint64_t> next = 0;
  std::atomic<std::uint64_t> states = 0;
  std::atomic<std::uint64_t> broken = 0;
  std::mutex mutex;
  std::vector<std::thread> workers;
  for (std::uint64_t i = 0; i < options.threads; ++i) {
    workers.emplace_back([&] {
      for (std::uint64_t n = next++; n < options.walks && broken < 3;
           n = next++) {
        const auto report =
            model::CheckRandomOrder(domains, options.seed + n, options.length);
        states += report.states;
        if (report.finding) {
          const std::scoped_lock lock(mutex);
          ++broken;
          fmt::print("domains={} seed={} length={}\n", domains,
                     options.seed + n, options.length);
          Print(*report.finding);
        }
      }
    });
  }
  for (std::thread& it : workers) {
    it.join();
  }
  fmt::print("domains={} walks={} states={} broken={}\n", domains,
             options.walks, states.load(), broken.load());
  return broken == 0;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options = ParseOptions(argc, argv);
  if (!options) {
    fmt::print(stderr, "{}", kHelp);
    return 2;
  }
  bool holds = true;
  for (const std::size_t domains : {1, 2}) {
    if (options->depth > 0) {
      const auto report =
          model::CheckAllOrders(domains, options->depth, options->threads);
      fmt::print("domains={} depth={} states={}\n", domains, options->depth,
                 report.states);
      holds = (!report.finding || Print(*report.finding)) && holds;
    }
    holds = CheckWalks(*options, domains) && holds;
  }
  return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}
