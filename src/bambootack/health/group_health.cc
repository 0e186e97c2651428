#include "bambootack/health/group_health.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bambootack::health {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Ejection time of the first ejection; each further one doubles it.
constexpr core::Duration kFirstEjection = seconds(2);
constexpr core::Duration kLongestEjection = minutes(5);
/// Time without an ejection after which earlier ones no longer count.
constexpr core::Duration kForgetEjections = minutes(10);

constexpr int kTrialsNeeded = 3;
// Without repeatable work a trial never completes. After this time the server
// gets one request of any kind instead, since it would otherwise stay out.
constexpr core::Duration kTrialPatience = seconds(60);
constexpr core::Duration kStartPatience = seconds(5);

constexpr int kRampSteps = 4;
constexpr core::Duration kRampStep = seconds(1);

/// Time without work after a server's own draining refusal.
constexpr core::Duration kLeavingPause = seconds(2);
/// Time between attempts to reach a server that restarts: a share of the time
/// that it has been away, within these bounds.
constexpr core::Duration kShortestStartPause = milliseconds(250);
constexpr core::Duration kLongestStartPause = seconds(5);
constexpr int kStartPauseDivisor = 4;
/// Time for a restart after a crash; a server that takes longer is ejected.
constexpr core::Duration kLongestRestart = seconds(10);

// A crash resets every request on the server within milliseconds. They are one
// event and count once.
constexpr core::Duration kSameReset = milliseconds(20);

/// Weight of one request in the moving average of the failure rate.
constexpr double kFailureRateWeight = 0.1;

/// Routes told apart in a group; further ones share the last number.
constexpr std::size_t kMaxRoutes = 64;

constexpr std::uint8_t Bit(LeavingSource source) {
  return static_cast<std::uint8_t>(1U << static_cast<unsigned>(source));
}

constexpr bool IsJudged(ServerState state) {
  return state == ServerState::kServing || state == ServerState::kSlowStart;
}

constexpr bool IsOnTrial(ServerState state) {
  return state == ServerState::kProbing || state == ServerState::kStarting;
}

core::Duration EjectionTime(int ejections) {
  core::Duration time = kFirstEjection;
  for (int i = 1; i < ejections && time < kLongestEjection; ++i) {
    time *= 2;
  }
  return std::min(time, kLongestEjection);
}

int RampSlots(const ServerStatus& it, core::Time now) {
  const auto step =
      std::min<std::int64_t>((now - it.since) / kRampStep + 1, kRampSteps);
  return (it.slots * static_cast<int>(step) + kRampSteps - 1) / kRampSteps;
}

/// Admission by state alone, before the floor is applied.
Admission Nominal(const ServerStatus& it, core::Time now) {
  if (it.pin == config::Pin::kOut || it.state == ServerState::kLeaving) {
    return {};
  }
  if (it.pin == config::Pin::kIn) {
    return {it.slots, false};
  }
  switch (it.state) {
    case ServerState::kServing:
      return {it.slots, false};
    case ServerState::kSlowStart:
      return {RampSlots(it, now), false};
    case ServerState::kProbing:
    case ServerState::kStarting:
      return {now >= it.until ? 1 : 0, true};
    case ServerState::kEjected:
    case ServerState::kLeaving:
      break;
  }
  return {};
}

/// Servers that the floor may bring back: kept out by a decision on their
/// health, not by their operator or by their own departure.
bool MayBeKept(const ServerStatus& it) {
  if (it.pin != config::Pin::kNone) {
    return false;
  }
  return it.state == ServerState::kSlowStart ||
         it.state == ServerState::kProbing ||
         it.state == ServerState::kEjected ||
         (it.state == ServerState::kStarting && it.restarting);
}

int GeneralSlots(const Admission& admission) {
  return admission.repeatable_only ? 0 : admission.slots;
}

}  // namespace

void GroupHealth::Configure(const config::Service& service,
                            const std::vector<config::Server>& servers,
                            core::Time now) {
  const bool first = servers_.empty();
  RemoveMissing(servers);
  int slots = 0;
  for (const config::Server& server : servers) {
    AddOrUpdate(server, first, now);
    slots += server.slots;
  }
  floor_share_ = config::FloorShare(service, slots);
  Allocate(now);
}

void GroupHealth::RemoveMissing(const std::vector<config::Server>& servers) {
  for (ServerIndex i = servers_.size(); i-- > 0;) {
    const bool kept = std::any_of(
        servers.begin(), servers.end(),
        [&](const config::Server& it) { return it.id == servers_[i].id; });
    if (!kept) {
      servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(i));
      std::visit([&](auto& policy) { policy.Remove(i); }, policy_);
    }
  }
}

void GroupHealth::AddOrUpdate(const config::Server& server, bool first,
                              core::Time now) {
  auto index = Find(server.id);
  if (!index) {
    index = servers_.size();
    ServerStatus status;
    status.id = server.id;
    status.since = now;
    servers_.push_back(std::move(status));
    std::visit([](auto& policy) { policy.Add(); }, policy_);
    if (!first) {
      Move(*index, ServerState::kStarting, now);
    }
  }
  ServerStatus& it = servers_[*index];
  const bool unpinned = it.pin == config::Pin::kOut && server.pin != it.pin;
  it.slots = server.slots;
  it.pin = server.pin;
  if (unpinned && it.state != ServerState::kLeaving) {
    Move(*index, ServerState::kSlowStart, now);
  }
  MarkLeaving(server.id, LeavingSource::kTicket, server.leaving, now);
}

void GroupHealth::OnAttemptStarted(core::Handle request,
                                   std::string_view server_id,
                                   std::string_view route, core::Time now) {
  running_[request] = {std::string(server_id), RouteOf(route), now, 0, false};
}

void GroupHealth::OnAttemptFinished(core::Handle request, EvidenceKind kind,
                                    core::Time now) {
  const auto found = running_.find(request);
  if (found == running_.end()) {
    return;
  }
  const Running run = std::move(found->second);
  running_.erase(found);
  const auto server = Find(run.server_id);
  if (!server) {
    return;
  }
  Note({*server, run.route, kind, now - run.started, now, run.counted},
       run.started);
  EjectUnhealthy(now);
  Allocate(now);
}

void GroupHealth::OnAttemptFinishedWithoutEvidence(core::Handle request,
                                                   EvidenceKind kind,
                                                   core::Time now) {
  const auto found = running_.find(request);
  if (found == running_.end()) {
    return;
  }
  const auto server = Find(found->second.server_id);
  running_.erase(found);
  if (server && kind == EvidenceKind::kReset) {
    servers_[*server].lost = true;
    servers_[*server].last_reset = now;
  }
  Allocate(now);
}

void GroupHealth::Note(const Evidence& evidence, core::Time started) {
  ServerStatus& it = servers_[evidence.server];
  if (evidence.kind == EvidenceKind::kDraining) {
    it.leaving |= Bit(LeavingSource::kServer);
    Leave(evidence.server, evidence.at);
    return;
  }
  if (!IsEvidence(evidence.kind) || it.state == ServerState::kLeaving) {
    return;
  }
  const bool reset = evidence.kind == EvidenceKind::kReset;
  const bool refused = evidence.kind == EvidenceKind::kRefused;
  if (reset && it.lost && evidence.at - it.last_reset < kSameReset) {
    return;
  }
  const bool bad = FailureWeight(evidence.kind) > 0.0;
  it.failure_rate += kFailureRateWeight * ((bad ? 1.0 : 0.0) - it.failure_rate);
  if (refused && it.lost && IsJudged(it.state)) {
    Restart(evidence.server, evidence.at);
    return;
  }
  it.lost = reset || (it.lost && refused);
  it.last_reset = reset ? evidence.at : it.last_reset;
  if (IsJudged(it.state)) {
    std::visit([&](auto& policy) { policy.Observe(evidence); }, policy_);
  } else if (IsOnTrial(it.state) && started >= it.since) {
    NoteTrial(evidence);
  }
}

void GroupHealth::NoteTrial(const Evidence& evidence) {
  ServerStatus& it = servers_[evidence.server];
  const bool bad = std::visit(
      [&](const auto& policy) { return policy.IsBad(evidence); }, policy_);
  if (!bad) {
    if (++it.good_trials >= kTrialsNeeded) {
      Move(evidence.server, ServerState::kSlowStart, evidence.at);
    }
    return;
  }
  it.good_trials = 0;
  if (it.state == ServerState::kProbing) {
    Eject(evidence.server, evidence.at);
  } else {
    it.until = evidence.at + std::clamp<core::Duration>(
                                 (evidence.at - it.since) / kStartPauseDivisor,
                                 kShortestStartPause, kLongestStartPause);
  }
}

void GroupHealth::MarkLeaving(std::string_view server_id, LeavingSource source,
                              bool leaving, core::Time now) {
  const auto server = Find(server_id);
  if (!server) {
    return;
  }
  ServerStatus& it = servers_[*server];
  const std::uint8_t before = it.leaving;
  it.leaving = static_cast<std::uint8_t>(leaving ? before | Bit(source)
                                                 : before & ~Bit(source));
  if (it.leaving != 0 && before == 0) {
    Leave(*server, now);
  } else if (it.leaving == 0 && before != 0) {
    Move(*server, ServerState::kStarting, now);
  }
  Allocate(now);
}

void GroupHealth::Leave(ServerIndex server, core::Time now) {
  Move(server, ServerState::kLeaving, now);
  servers_[server].until = now + kLeavingPause;
}

void GroupHealth::Restart(ServerIndex server, core::Time now) {
  Move(server, ServerState::kStarting, now);
  servers_[server].restarting = true;
  servers_[server].until = now + kShortestStartPause;
}

void GroupHealth::Eject(ServerIndex server, core::Time now) {
  Move(server, ServerState::kEjected, now);
  ServerStatus& it = servers_[server];
  ++it.ejections;
  it.until = now + EjectionTime(it.ejections);
}

void GroupHealth::Move(ServerIndex server, ServerState to, core::Time now) {
  ServerStatus& it = servers_[server];
  if (it.state != to) {
    transitions_.push_back({it.id, it.state, to});
  }
  const bool judged = IsJudged(it.state);
  it.state = to;
  it.since = now;
  it.until = now;
  it.good_trials = 0;
  it.lost = false;
  it.restarting = false;
  if (IsJudged(to) != judged) {
    std::visit(
        [&](auto& policy) {
          judged ? policy.Deactivate(server, now) : policy.Activate(server);
        },
        policy_);
  }
}

void GroupHealth::OnTimer(core::Time now) {
  std::visit([&](auto& policy) { policy.OnTimer(now); }, policy_);
  ObserveRunning(now);
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    MoveOn(i, now);
  }
  EjectUnhealthy(now);
  Allocate(now);
}

void GroupHealth::ObserveRunning(core::Time now) {
  for (auto& row : running_) {
    Running& run = row.second;
    const auto server = Find(run.server_id);
    if (server && IsJudged(servers_[*server].state)) {
      const RunningRequest request{*server, run.route, now - run.started,
                                   run.counted};
      std::visit(
          [&](auto& policy) {
            run.counted = policy.ObserveRunning(request, now);
            run.stuck = policy.IsOverdue(request);
          },
          policy_);
    }
  }
}

void GroupHealth::MoveOn(ServerIndex server, core::Time now) {
  ServerStatus& it = servers_[server];
  const core::Duration spent = now - it.since;
  switch (it.state) {
    case ServerState::kEjected:
      if (now >= it.until) {
        Move(server, ServerState::kProbing, now);
      }
      break;
    case ServerState::kProbing:
      if (spent >= kTrialPatience) {
        Move(server, ServerState::kSlowStart, now);
      }
      break;
    case ServerState::kStarting:
      if (it.restarting && spent >= kLongestRestart) {
        Eject(server, now);
      } else if (!it.restarting && spent >= kStartPatience &&
                 now >= it.until + kStartPatience) {
        Move(server, ServerState::kSlowStart, now);
      }
      break;
    case ServerState::kSlowStart:
      if (spent >= kRampSteps * kRampStep) {
        Move(server, ServerState::kServing, now);
      }
      break;
    case ServerState::kServing:
      if (spent >= kForgetEjections) {
        it.ejections = 0;
      }
      break;
    case ServerState::kLeaving:
      if (it.leaving == Bit(LeavingSource::kServer) && now >= it.until) {
        it.leaving = 0;
        Move(server, ServerState::kStarting, now);
      }
      break;
  }
}

void GroupHealth::EjectUnhealthy(core::Time now) {
  std::vector<bool> exempt;
  for (const ServerStatus& it : servers_) {
    exempt.push_back(it.pin != config::Pin::kNone);
  }
  const auto worst = [&] {
    return std::visit(
        [&](const auto& policy) { return policy.Worst(now, exempt); }, policy_);
  };
  while (const auto server = worst()) {
    Eject(*server, now);
  }
}

void GroupHealth::Allocate(core::Time now) {
  std::vector<ServerStatus*> kept;
  int missing = floor_share_;
  for (ServerStatus& it : servers_) {
    it.admission = Nominal(it, now);
    missing -= GeneralSlots(it.admission);
    if (MayBeKept(it)) {
      kept.push_back(&it);
    }
  }
  std::stable_sort(kept.begin(), kept.end(),
                   [](const ServerStatus* a, const ServerStatus* b) {
                     return a->failure_rate < b->failure_rate;
                   });
  for (const auto& [handle, run] : running_) {
    if (const auto server = Find(run.server_id); server && run.stuck) {
      ++servers_[*server].admission.overdue;
    }
  }
  for (ServerStatus* it : kept) {
    const int given = GeneralSlots(it->admission);
    const int more = std::min(missing, it->slots - given);
    if (more > 0) {
      it->admission.slots = given + more;
      it->admission.repeatable_only = false;
      missing -= more;
    }
  }
}

int GroupHealth::AdmittedSlots() const noexcept {
  int sum = 0;
  for (const ServerStatus& it : servers_) {
    sum += GeneralSlots(it.admission);
  }
  return sum;
}

std::vector<Transition> GroupHealth::TakeTransitions() {
  return std::exchange(transitions_, {});
}

std::optional<ServerIndex> GroupHealth::Find(std::string_view id) const {
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    if (servers_[i].id == id) {
      return i;
    }
  }
  return std::nullopt;
}

RouteIndex GroupHealth::RouteOf(std::string_view route) {
  const auto it = routes_.find(route);
  if (it != routes_.end()) {
    return it->second;
  }
  const RouteIndex index = std::min(routes_.size(), kMaxRoutes - 1);
  if (routes_.size() < kMaxRoutes) {
    routes_.emplace(route, index);
  }
  return index;
}

}  // namespace bambootack::health
