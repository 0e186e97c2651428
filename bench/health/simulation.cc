#include "bench/health/simulation.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <chrono>
#include <cmath>
#include <limits>
#include <queue>
#include <utility>

#include "bambootack/core/random.h"
#include "bambootack/core/table.h"
#include "bambootack/health/group_health.h"
#include "bambootack/health/request_quarantine.h"

namespace bambootack::bench {
namespace {

using health::EvidenceKind;
using health::ServerState;

constexpr double kTickSeconds = 0.05;
// Spread of the onset, so that it falls anywhere between ticks and windows.
constexpr double kOnsetSpread = 10.0;
constexpr double kTimeoutSeconds = 2.0;
constexpr double kConnectSeconds = 0.001;
constexpr double kRepeatableShare = 0.7;
constexpr int kPoisonRepeats = 3;
constexpr double kRepeatSeconds = 0.05;
constexpr double kRestartSeconds = 2.0;

core::Time ToTime(double seconds) {
  return core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(seconds)));
}

struct Request {
  std::size_t server = 0;
  EvidenceKind end = EvidenceKind::kSuccess;
  std::uint64_t fingerprint = 0;
};

struct Event {
  enum class Kind : std::uint8_t { kArrival, kTick, kEnd, kPoison };
  double at = 0.0;
  Kind kind = Kind::kTick;
  core::Handle request{};
  std::uint64_t fingerprint = 0;
  int repeats = 0;
  std::uint64_t number = 0;  ///< Orders events at the same time.

  friend bool operator>(const Event& a, const Event& b) {
    return std::pair(a.at, a.number) > std::pair(b.at, b.number);
  }
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, health::PolicyKind kind,
             std::uint64_t seed)
      : scenario_(scenario),
        random_(seed),
        onset_(scenario.onset + kOnsetSpread * random_.Unit()),
        health_(kind),
        busy_(scenario.servers),
        down_until_(scenario.servers) {
    config::Service service;
    service.floor_slots = scenario.floor_slots;
    for (std::size_t i = 0; i < scenario.servers; ++i) {
      config::Server server;
      server.id = std::to_string(i);
      server.slots = scenario.slots;
      service.servers.push_back(std::move(server));
    }
    health_.Configure(service, service.servers, ToTime(0.0));
  }

  Outcome Run() {
    Push({.at = 0.0, .kind = Event::Kind::kTick});
    Push({.at = 0.0, .kind = Event::Kind::kArrival});
    if (scenario_.poison_interval > 0.0) {
      Push({.at = onset_, .kind = Event::Kind::kPoison});
    }
    while (!done_ && now_ < onset_ + scenario_.length) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
      Check();
    }
    return outcome_;
  }

 private:
  void Push(Event event) {
    event.number = ++events_pushed_;
    events_.push(event);
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Event::Kind::kArrival:
        Arrive();
        break;
      case Event::Kind::kTick:
        health_.OnTimer(ToTime(now_));
        Push({.at = now_ + kTickSeconds, .kind = Event::Kind::kTick});
        break;
      case Event::Kind::kEnd:
        End(event.request);
        break;
      case Event::Kind::kPoison:
        Poison(event);
        break;
    }
  }

  void Arrive() {
    const double since = now_ - onset_;
    const double rate = scenario_.rate * scenario_.load(since) *
                        static_cast<double>(scenario_.servers);
    const double gap =
        boost::random::exponential_distribution<double>(rate)(random_.Engine());
    Push({.at = now_ + gap, .kind = Event::Kind::kArrival});
    const std::size_t route = PickRoute();
    const bool repeatable = random_.Unit() < kRepeatableShare;
    if (const auto server = PickServer(repeatable)) {
      Send(*server, route, 0);
    }
  }

  void Poison(const Event& event) {
    const bool first = event.repeats == 0;
    const std::uint64_t fingerprint =
        first ? ++outcome_.poisons : event.fingerprint;
    if (first) {
      Push({.at = now_ + scenario_.poison_interval,
            .kind = Event::Kind::kPoison});
    }
    if (event.repeats < kPoisonRepeats) {
      Push({.at = now_ + kRepeatSeconds,
            .kind = Event::Kind::kPoison,
            .fingerprint = fingerprint,
            .repeats = event.repeats + 1});
    }
    const auto server = PickServer(true);
    if (server && !guard_.IsQuarantined(fingerprint, ToTime(now_))) {
      Send(*server, 0, fingerprint);
    }
  }

  std::size_t PickRoute() {
    double left = random_.Unit();
    for (std::size_t i = 0; i + 1 < scenario_.route_shares.size(); ++i) {
      left -= scenario_.route_shares[i];
      if (left < 0.0) {
        return i;
      }
    }
    return scenario_.route_shares.size() - 1;
  }

  std::optional<std::size_t> PickServer(bool repeatable) {
    std::vector<std::size_t> best;
    int least = std::numeric_limits<int>::max();
    for (std::size_t i = 0; i < busy_.size(); ++i) {
      const health::Admission& it = health_.Servers()[i].admission;
      if (busy_[i] >= it.slots || (it.repeatable_only && !repeatable)) {
        continue;
      }
      const int load = busy_[i] - it.overdue;
      if (load < least) {
        best.clear();
        least = load;
      }
      if (load == least) {
        best.push_back(i);
      }
    }
    if (best.empty()) {
      return std::nullopt;
    }
    return best[random_.Below(best.size())];
  }

  void Send(std::size_t server, std::size_t route, std::uint64_t fingerprint) {
    const double since = now_ - onset_;
    ++outcome_.requests;
    outcome_.faulty_requests +=
        since >= 0.0 && scenario_.faulty.contains(server) ? 1 : 0;
    Faults faults;
    if (since >= 0.0 && scenario_.faults) {
      faults = scenario_.faults(server, route, since);
    }
    faults.refuse = faults.refuse || now_ < down_until_[server];
    const auto [kind, seconds] = Draw(faults, fingerprint);
    const core::Handle handle = requests_.Insert({server, kind, fingerprint});
    ++busy_[server];
    health_.OnAttemptStarted(handle, std::to_string(server),
                             std::to_string(route), ToTime(now_));
    Push({.at = now_ + seconds, .kind = Event::Kind::kEnd, .request = handle});
  }

  std::pair<EvidenceKind, double> Draw(const Faults& faults,
                                       std::uint64_t fingerprint) {
    const double normal =
        boost::random::normal_distribution<double>()(random_.Engine());
    const double seconds = scenario_.median_ms / 1000.0 * faults.slow *
                           std::exp(scenario_.sigma * normal);
    const auto chance = [&](double p) { return random_.Unit() < p; };
    const bool error = chance(faults.error) || chance(scenario_.base_error);
    if (faults.draining) {
      return {EvidenceKind::kDraining, kConnectSeconds};
    }
    if (faults.refuse) {
      return {EvidenceKind::kRefused, kConnectSeconds};
    }
    if (chance(faults.shed)) {
      return {EvidenceKind::kShed, kConnectSeconds};
    }
    if (chance(faults.hang) || seconds > kTimeoutSeconds) {
      return {EvidenceKind::kTimeout, kTimeoutSeconds};
    }
    if (fingerprint != 0 || chance(faults.reset)) {
      return {EvidenceKind::kReset, seconds};
    }
    if (chance(faults.client_error)) {
      return {EvidenceKind::kClientError, seconds};
    }
    return {error ? EvidenceKind::kError : EvidenceKind::kSuccess, seconds};
  }

  void End(core::Handle handle) {
    const Request* found = requests_.Find(handle);
    if (found == nullptr) {
      return;
    }
    const Request request = *found;
    requests_.Erase(handle);
    --busy_[request.server];
    const core::Time now = ToTime(now_);
    const bool suspected = guard_.IsSuspected(request.fingerprint, now);
    if (request.fingerprint != 0) {
      guard_.RecordLoss(request.fingerprint, std::to_string(request.server),
                        now);
    }
    if (suspected) {
      health_.OnAttemptFinishedWithoutEvidence(handle, request.end, now);
    } else {
      health_.OnAttemptFinished(handle, request.end, now);
    }
    if (request.fingerprint != 0) {
      Crash(request.server);
    }
  }

  void Crash(std::size_t server) {
    ++outcome_.crashes;
    down_until_[server] = now_ + kRestartSeconds;
    std::vector<core::Handle> lost;
    for (const auto& row : requests_) {
      if (row.value.server == server) {
        lost.push_back(row.handle);
      }
    }
    for (const core::Handle handle : lost) {
      requests_.Erase(handle);
      --busy_[server];
      health_.OnAttemptFinished(handle, EvidenceKind::kReset, ToTime(now_));
    }
  }

  void Check() {
    outcome_.least_slots =
        std::min(outcome_.least_slots, health_.AdmittedSlots());
    for (const health::Transition& it : health_.TakeTransitions()) {
      const bool restart =
          it.to == ServerState::kStarting && it.from != ServerState::kLeaving;
      if (it.to != ServerState::kEjected && !restart) {
        continue;
      }
      const bool due =
          now_ >= onset_ && scenario_.faulty.contains(std::stoul(it.server));
      if (!due) {
        outcome_.false_ejections += restart ? 0 : 1;
      } else if (!outcome_.detected) {
        outcome_.detected = now_ - onset_;
        done_ = scenario_.stop_at_detection;
      }
    }
  }

  const Scenario& scenario_;
  core::Random random_;
  double onset_;
  health::GroupHealth health_;
  health::RequestQuarantine guard_;
  core::Table<Request> requests_;
  std::vector<int> busy_;
  std::vector<double> down_until_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t events_pushed_ = 0;
  double now_ = 0.0;
  bool done_ = false;
  Outcome outcome_;
};

/// Scenario with one table for the faulty servers.
Scenario OneFaulty(std::string name, Faults faults) {
  Scenario it;
  it.name = std::move(name);
  it.faults = [faults](std::size_t server, std::size_t, double) {
    return server == 0 ? faults : Faults{};
  };
  return it;
}

Scenario Flapping(std::string name, double period) {
  Scenario it;
  it.name = std::move(name);
  it.length = 2.0 * period + 60.0;
  it.faults = [period](std::size_t server, std::size_t, double since) {
    const bool failing = std::fmod(since, period) < period / 2.0;
    return server == 0 && failing ? Faults{.error = 1.0} : Faults{};
  };
  return it;
}

/// Scenario in which every server from `first` on has the same table.
Scenario Shared(std::string name, Faults faults, std::size_t first = 0) {
  Scenario it;
  it.name = std::move(name);
  it.faulty = {};
  it.faults = [faults, first](std::size_t server, std::size_t, double) {
    return server >= first ? faults : Faults{};
  };
  return it;
}

Scenario RollingRestart() {
  constexpr double kEach = 6.0;
  Scenario it;
  it.name = "rolling restart";
  it.faulty = {};
  it.faults = [](std::size_t server, std::size_t, double since) {
    const double own = since - kEach * static_cast<double>(server);
    return Faults{.refuse = own >= 2.0 && own < 4.0,
                  .draining = own >= 0.0 && own < 2.0};
  };
  return it;
}

Scenario Plain(std::string name) {
  Scenario it;
  it.name = std::move(name);
  it.faulty = {};
  return it;
}

}  // namespace

Outcome Run(const Scenario& scenario, health::PolicyKind kind,
            std::uint64_t seed) {
  return Simulation(scenario, kind, seed).Run();
}

std::vector<Scenario> FaultScenarios() {
  std::vector<Scenario> list{
      OneFaulty("all failing", {.error = 1.0}),
      OneFaulty("refused", {.refuse = true}),
      OneFaulty("50% failing", {.error = 0.5}),
      OneFaulty("20% failing", {.error = 0.2}),
      OneFaulty("5% failing", {.error = 0.05}),
      OneFaulty("10x slower", {.slow = 10.0}),
      OneFaulty("hanging", {.hang = 1.0}),
      OneFaulty("50% reset", {.reset = 0.5}),
      Flapping("flapping 2 s", 2.0),
      Flapping("flapping 10 s", 10.0),
      Flapping("flapping 60 s", 60.0),
  };
  Scenario route = OneFaulty("one route", {});
  route.faults = [](std::size_t server, std::size_t on, double) {
    return server == 0 && on == 2 ? Faults{.error = 1.0} : Faults{};
  };
  list.push_back(std::move(route));
  return list;
}

std::vector<Scenario> HealthyScenarios() {
  std::vector<Scenario> list{
      Plain("healthy"),
      Shared("service failing", {.error = 1.0}),
      Shared("service 50% failing", {.error = 0.5}),
      Shared("service 10% failing", {.error = 0.1}),
      Shared("service 10x slower", {.slow = 10.0}),
      Shared("own link, all reset", {.reset = 1.0}),
      Shared("own link, 6 of 8", {.reset = 1.0}, 2),
      Shared("honest sheds", {.shed = 0.5}),
      Shared("client errors", {.client_error = 0.5}),
      RollingRestart(),
  };
  Scenario tail = Plain("heavy tail");
  tail.sigma = 1.5;
  list.push_back(std::move(tail));
  Scenario flood = Shared("flood", {.shed = 0.3, .slow = 3.0});
  flood.load = [](double since) { return since >= 0.0 ? 20.0 : 1.0; };
  flood.length = 10.0;
  list.push_back(std::move(flood));
  Scenario poison = Plain("crashing request");
  poison.poison_interval = 20.0;
  list.push_back(std::move(poison));
  return list;
}

}  // namespace bambootack::bench
