#include <fmt/format.h>
#include <getopt.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <string>
#include <utility>

#include "soak/faults.h"
#include "soak/traffic.h"
#include "soak/world.h"

// Runs gateways as processes of their own, disturbs them and all around them
// from outside, and checks what callers and servers see.

namespace {

using soak::World;
using std::chrono::milliseconds;
namespace core = bambootack::core;

constexpr core::Duration kStartTime = std::chrono::seconds(10);
constexpr core::Duration kReportPeriod = milliseconds(1500);
constexpr core::Duration kWatchPeriod = milliseconds(100);
/// Past the time in which the fleet has to serve again (RULES, RECOVER).
constexpr core::Duration kCalmTime = std::chrono::seconds(18);
constexpr core::Duration kLongestStop = std::chrono::seconds(8);
/// Pause between the beginnings of two faults.
constexpr std::uint64_t kMaxGapMs = 900;
constexpr std::uint64_t kMaxChangeGapMs = 4000;

/// One run: start, faults, calm, stop.
class Run {
 public:
  explicit Run(soak::SoakOptions options)
      : world_(std::move(options)), traffic_(world_) {}

  /// Returns true if nothing was broken.
  bool Play() {
    world_.ChangeConfig();
    Repeat(kReportPeriod, [this] { world_.Report(); });
    for (std::size_t i = 0; i < world_.vms.size(); ++i) {
      world_.Start(i, true);
    }
    Repeat(kWatchPeriod, [this] { world_.WatchProcesses(); });
    traffic_.Watch();
    world_.After(kStartTime, [this] {
      traffic_.Run();
      faults_until_ = World::Now() + core::Duration(static_cast<std::int64_t>(
                                         world_.options.seconds * 1e6));
      NextFault();
      NextChange();
    });
    world_.io.run();
    return world_.ledger.Broken().empty();
  }

  void Print() const {
    fmt::print("seed={} faults={} store_calls={} {}\n", world_.options.seed,
               faults_, world_.store.Calls(), world_.ledger.Summary());
    for (const std::string& it : world_.ledger.Broken()) {
      fmt::print("broken: {}\n", it);
    }
  }

 private:
  void Repeat(core::Duration period, const std::function<void()>& run) {
    if (over_) {
      return;
    }
    run();
    world_.After(period, [this, period, run] { Repeat(period, run); });
  }

  void NextFault() {
    if (World::Now() >= faults_until_) {
      AwaitCalm();
      return;
    }
    const auto kinds = soak::FaultKinds();
    const soak::FaultKind& kind = kinds[world_.random.Below(kinds.size())];
    fmt::print("at={} fault={}\n",
               core::ToMilliseconds(World::Now().time_since_epoch()),
               kind.name);
    ++faults_;
    kind.begin(world_);
    world_.After(milliseconds(world_.random.Below(kMaxGapMs)),
                 [this] { NextFault(); });
  }

  /// Versions and leaving servers come all the time, beside the faults.
  void NextChange() {
    if (World::Now() >= faults_until_) {
      return;
    }
    world_.ChangeConfig();
    world_.Drain(world_.random.Below(world_.servers.size()));
    world_.After(milliseconds(500 + world_.random.Below(kMaxChangeGapMs)),
                 [this] { NextChange(); });
  }

  void AwaitCalm() {
    if (world_.active_faults > 0) {
      world_.After(kWatchPeriod, [this] { AwaitCalm(); });
      return;
    }
    healed_ = World::Now();
    fmt::print("at={} calm\n",
               core::ToMilliseconds(healed_.time_since_epoch()));
    world_.After(kCalmTime, [this] { End(); });
  }

  /// The totals are checked after the traffic: the check takes seconds on a
  /// busy machine, and delays what this thread passes on and times.
  void End() {
    const core::Time stopped_at = World::Now();
    world_.StopAll();
    world_.After(kLongestStop, [this, stopped_at] {
      over_ = true;
      traffic_.Stop();
      world_.After(std::chrono::seconds(3), [this, stopped_at] {
        world_.ledger.CheckTotals(healed_, stopped_at);
        world_.io.stop();
      });
    });
  }

  World world_;
  soak::Traffic traffic_;
  core::Time faults_until_{};
  core::Time healed_{};
  int faults_ = 0;
  bool over_ = false;
};

int Usage() {
  fmt::print(stderr,
             "usage: soak [--build DIR] [--seed N] [--seconds X] "
             "[--gateways N] [--servers N] [--rate X]\n");
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  static const option kLongOptions[] = {
      {"build", required_argument, nullptr, 'b'},
      {"seed", required_argument, nullptr, 's'},
      {"seconds", required_argument, nullptr, 't'},
      {"gateways", required_argument, nullptr, 'g'},
      {"servers", required_argument, nullptr, 'n'},
      {"rate", required_argument, nullptr, 'r'},
      {nullptr, 0, nullptr, 0}};
  soak::SoakOptions options;
  int it = 0;
  while ((it = getopt_long(argc, argv, "", kLongOptions, nullptr)) != -1) {
    switch (it) {
      case 'b':
        options.build = optarg;
        break;
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 't':
        options.seconds = std::strtod(optarg, nullptr);
        break;
      case 'g':
        options.gateways = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        options.servers = std::strtoull(optarg, nullptr, 10);
        break;
      case 'r':
        options.requests_a_second = std::strtod(optarg, nullptr);
        break;
      default:
        return Usage();
    }
  }
  setvbuf(stdout, nullptr, _IOLBF, 0);
  const auto folder = std::filesystem::temp_directory_path() /
                      fmt::format("soak-{}-{}", options.seed, getpid());
  std::filesystem::create_directories(folder);
  options.folder = folder.string();
  Run run(std::move(options));
  const bool good = run.Play();
  run.Print();
  if (good) {
    std::filesystem::remove_all(folder);
  } else {
    fmt::print("logs: {}\n", folder.string());
  }
  return good ? 0 : 1;
}
