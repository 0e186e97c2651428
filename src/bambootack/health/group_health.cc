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
constexpr core::Duration kBaseEjectionTime = seconds(2);
constexpr core::Duration kMaxEjectionTime = minutes(5);
/// Time in `kServing` after which earlier ejections no longer count.
constexpr core::Duration kEjectionCountResetTime = minutes(10);

constexpr int kProbesToPass = 3;
// Probes have to be repeatable requests. Without any, probing would never
// complete and the server would stay out, so after these times it enters slow
// start, where it gets requests of any kind. A starting server does so only if
// a probe has been due for that time as well.
constexpr core::Duration kMaxProbingTime = seconds(60);
constexpr core::Duration kMaxStartWait = seconds(5);

constexpr int kSlowStartSteps = 4;
constexpr core::Duration kSlowStartStepTime = seconds(1);

/// Time without requests after a server has refused one as draining.
constexpr core::Duration kDrainingPause = seconds(2);
/// Bounds of the interval between probes of a starting server. Within them the
/// interval is the time that it has been starting, divided by
/// `kStartProbeIntervalDivisor`.
constexpr core::Duration kMinStartProbeInterval = milliseconds(250);
constexpr core::Duration kMaxStartProbeInterval = seconds(5);
constexpr int kStartProbeIntervalDivisor = 4;
/// Time allowed for a restart after a crash, before the server is ejected.
constexpr core::Duration kMaxRestartTime = seconds(10);

// A crash resets every request on the server within milliseconds. Resets within
// this window are one event and count once.
constexpr core::Duration kResetMergeWindow = milliseconds(20);

/// Weight of one request in the exponential moving average of failures.
constexpr double kFailureRateSmoothing = 0.1;

/// Routes distinguished in a group; further ones share the last index.
constexpr std::size_t kMaxRoutes = 64;

constexpr std::uint8_t Bit(LeavingSource source) {
  return static_cast<std::uint8_t>(1U << static_cast<unsigned>(source));
}

constexpr bool IsEvaluated(ServerState state) {
  return state == ServerState::kServing || state == ServerState::kSlowStart;
}

constexpr bool IsProbed(ServerState state) {
  return state == ServerState::kProbing || state == ServerState::kStarting;
}

core::Duration EjectionTime(int ejections) {
  core::Duration time = kBaseEjectionTime;
  for (int i = 1; i < ejections && time < kMaxEjectionTime; ++i) {
    time *= 2;
  }
  return std::min(time, kMaxEjectionTime);
}

int SlowStartSlots(const ServerStatus& it, core::Time now) {
  const auto step = std::min<std::int64_t>(
      (now - it.since) / kSlowStartStepTime + 1, kSlowStartSteps);
  return (it.slots * static_cast<int>(step) + kSlowStartSteps - 1) /
         kSlowStartSteps;
}

/// Admission by state and pin, before the floor is applied.
Admission StateAdmission(const ServerStatus& it, core::Time now) {
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
      return {SlowStartSlots(it, now), false};
    case ServerState::kProbing:
    case ServerState::kStarting:
      return {now >= it.until ? 1 : 0, true};
    case ServerState::kEjected:
    case ServerState::kLeaving:
      break;
  }
  return {};
}

/// True for servers that may be readmitted to meet the floor: excluded by a
/// health decision, not by an operator's pin or because they are leaving.
bool IsFloorEligible(const ServerStatus& it) {
  if (it.pin != config::Pin::kNone) {
    return false;
  }
  return it.state == ServerState::kSlowStart ||
         it.state == ServerState::kProbing ||
         it.state == ServerState::kEjected ||
         (it.state == ServerState::kStarting && it.restarting);
}

int UnrestrictedSlots(const Admission& admission) {
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
  UpdateAdmissions(now);
}

void GroupHealth::RemoveMissing(const std::vector<config::Server>& servers) {
  for (ServerIndex i = servers_.size(); i-- > 0;) {
    const bool listed = std::any_of(
        servers.begin(), servers.end(),
        [&](const config::Server& it) { return it.id == servers_[i].id; });
    if (!listed) {
      servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(i));
      std::visit([&](auto& policy) { policy.Remove(i); }, policy_);
    }
  }
}

void GroupHealth::AddOrUpdate(const config::Server& server, bool first,
                              core::Time now) {
  auto index = FindServer(server.id);
  if (!index) {
    index = servers_.size();
    ServerStatus status;
    status.id = server.id;
    status.since = now;
    servers_.push_back(std::move(status));
    std::visit([](auto& policy) { policy.Add(); }, policy_);
    if (!first) {
      SetState(*index, ServerState::kStarting, now);
    }
  }
  ServerStatus& it = servers_[*index];
  const bool unpinned = it.pin == config::Pin::kOut && server.pin != it.pin;
  it.slots = server.slots;
  it.pin = server.pin;
  if (unpinned && it.state != ServerState::kLeaving) {
    SetState(*index, ServerState::kSlowStart, now);
  }
  MarkLeaving(server.id, LeavingSource::kTicket, server.leaving, now);
}

void GroupHealth::OnAttemptStarted(core::Handle handle,
                                   std::string_view server_id,
                                   std::string_view route, core::Time now) {
  in_flight_[handle] = {std::string(server_id), RouteIndexOf(route), now, 0,
                        false};
}

void GroupHealth::OnAttemptFinished(core::Handle handle, EvidenceKind kind,
                                    core::Time now) {
  const auto found = in_flight_.find(handle);
  if (found == in_flight_.end()) {
    return;
  }
  const InFlightAttempt attempt = std::move(found->second);
  in_flight_.erase(found);
  const auto server = FindServer(attempt.server_id);
  if (!server) {
    return;
  }
  RecordEvidence({*server, attempt.route, kind, now - attempt.started, now,
                  attempt.counted_signals},
                 attempt.started);
  EjectUnhealthy(now);
  UpdateAdmissions(now);
}

void GroupHealth::OnAttemptFinishedWithoutEvidence(core::Handle handle,
                                                   EvidenceKind kind,
                                                   core::Time now) {
  const auto found = in_flight_.find(handle);
  if (found == in_flight_.end()) {
    return;
  }
  const auto server = FindServer(found->second.server_id);
  in_flight_.erase(found);
  if (server && kind == EvidenceKind::kReset) {
    servers_[*server].connection_lost = true;
    servers_[*server].last_reset = now;
  }
  UpdateAdmissions(now);
}

void GroupHealth::RecordEvidence(const Evidence& evidence, core::Time started) {
  ServerStatus& it = servers_[evidence.server];
  if (evidence.kind == EvidenceKind::kDraining) {
    it.leaving |= Bit(LeavingSource::kServer);
    BeginLeaving(evidence.server, evidence.at);
    return;
  }
  if (!IsEvidence(evidence.kind) || it.state == ServerState::kLeaving) {
    return;
  }
  const bool reset = evidence.kind == EvidenceKind::kReset;
  const bool refused = evidence.kind == EvidenceKind::kRefused;
  if (reset && it.connection_lost &&
      evidence.at - it.last_reset < kResetMergeWindow) {
    return;
  }
  const bool failed = FailureWeight(evidence.kind) > 0.0;
  it.failure_rate +=
      kFailureRateSmoothing * ((failed ? 1.0 : 0.0) - it.failure_rate);
  if (refused && it.connection_lost && IsEvaluated(it.state)) {
    BeginRestart(evidence.server, evidence.at);
    return;
  }
  it.connection_lost = reset || (it.connection_lost && refused);
  it.last_reset = reset ? evidence.at : it.last_reset;
  if (IsEvaluated(it.state)) {
    std::visit([&](auto& policy) { policy.Observe(evidence); }, policy_);
  } else if (IsProbed(it.state) && started >= it.since) {
    RecordProbe(evidence);
  }
}

void GroupHealth::RecordProbe(const Evidence& evidence) {
  ServerStatus& it = servers_[evidence.server];
  const bool failed = std::visit(
      [&](const auto& policy) { return policy.IndicatesFault(evidence); },
      policy_);
  if (!failed) {
    if (++it.successful_probes >= kProbesToPass) {
      SetState(evidence.server, ServerState::kSlowStart, evidence.at);
    }
    return;
  }
  it.successful_probes = 0;
  if (it.state == ServerState::kProbing) {
    Eject(evidence.server, evidence.at);
  } else {
    it.until =
        evidence.at + std::clamp<core::Duration>(
                          (evidence.at - it.since) / kStartProbeIntervalDivisor,
                          kMinStartProbeInterval, kMaxStartProbeInterval);
  }
}

void GroupHealth::MarkLeaving(std::string_view server_id, LeavingSource source,
                              bool leaving, core::Time now) {
  const auto server = FindServer(server_id);
  if (!server) {
    return;
  }
  ServerStatus& it = servers_[*server];
  const std::uint8_t before = it.leaving;
  it.leaving = static_cast<std::uint8_t>(leaving ? before | Bit(source)
                                                 : before & ~Bit(source));
  if (it.leaving != 0 && before == 0) {
    BeginLeaving(*server, now);
  } else if (it.leaving == 0 && before != 0) {
    SetState(*server, ServerState::kStarting, now);
  }
  UpdateAdmissions(now);
}

void GroupHealth::BeginLeaving(ServerIndex server, core::Time now) {
  SetState(server, ServerState::kLeaving, now);
  servers_[server].until = now + kDrainingPause;
}

void GroupHealth::BeginRestart(ServerIndex server, core::Time now) {
  SetState(server, ServerState::kStarting, now);
  servers_[server].restarting = true;
  servers_[server].until = now + kMinStartProbeInterval;
}

void GroupHealth::Eject(ServerIndex server, core::Time now) {
  SetState(server, ServerState::kEjected, now);
  ServerStatus& it = servers_[server];
  ++it.ejections;
  it.until = now + EjectionTime(it.ejections);
}

void GroupHealth::SetState(ServerIndex server, ServerState to, core::Time now) {
  ServerStatus& it = servers_[server];
  if (it.state != to) {
    transitions_.push_back({it.id, it.state, to});
  }
  const bool evaluated = IsEvaluated(it.state);
  it.state = to;
  it.since = now;
  it.until = now;
  it.successful_probes = 0;
  it.connection_lost = false;
  it.restarting = false;
  if (IsEvaluated(to) != evaluated) {
    std::visit(
        [&](auto& policy) {
          evaluated ? policy.Deactivate(server, now) : policy.Activate(server);
        },
        policy_);
  }
}

void GroupHealth::OnTimer(core::Time now) {
  std::visit([&](auto& policy) { policy.OnTimer(now); }, policy_);
  ObserveInFlight(now);
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    AdvanceState(i, now);
  }
  EjectUnhealthy(now);
  UpdateAdmissions(now);
}

void GroupHealth::ObserveInFlight(core::Time now) {
  for (auto& row : in_flight_) {
    InFlightAttempt& attempt = row.second;
    const auto server = FindServer(attempt.server_id);
    if (server && IsEvaluated(servers_[*server].state)) {
      const InFlightRequest request{*server, attempt.route,
                                    now - attempt.started,
                                    attempt.counted_signals};
      std::visit(
          [&](auto& policy) {
            attempt.counted_signals = policy.ObserveInFlight(request, now);
            attempt.overdue = policy.IsOverdue(request);
          },
          policy_);
    }
  }
}

void GroupHealth::AdvanceState(ServerIndex server, core::Time now) {
  ServerStatus& it = servers_[server];
  const core::Duration time_in_state = now - it.since;
  switch (it.state) {
    case ServerState::kEjected:
      if (now >= it.until) {
        SetState(server, ServerState::kProbing, now);
      }
      break;
    case ServerState::kProbing:
      if (time_in_state >= kMaxProbingTime) {
        SetState(server, ServerState::kSlowStart, now);
      }
      break;
    case ServerState::kStarting:
      if (it.restarting && time_in_state >= kMaxRestartTime) {
        Eject(server, now);
      } else if (!it.restarting && time_in_state >= kMaxStartWait &&
                 now >= it.until + kMaxStartWait) {
        SetState(server, ServerState::kSlowStart, now);
      }
      break;
    case ServerState::kSlowStart:
      if (time_in_state >= kSlowStartSteps * kSlowStartStepTime) {
        SetState(server, ServerState::kServing, now);
      }
      break;
    case ServerState::kServing:
      if (time_in_state >= kEjectionCountResetTime) {
        it.ejections = 0;
      }
      break;
    case ServerState::kLeaving:
      if (it.leaving == Bit(LeavingSource::kServer) && now >= it.until) {
        it.leaving = 0;
        SetState(server, ServerState::kStarting, now);
      }
      break;
  }
}

void GroupHealth::EjectUnhealthy(core::Time now) {
  std::vector<bool> exempt;
  for (const ServerStatus& it : servers_) {
    exempt.push_back(it.pin != config::Pin::kNone);
  }
  const auto next_to_eject = [&] {
    return std::visit(
        [&](const auto& policy) { return policy.NextToEject(now, exempt); },
        policy_);
  };
  while (const auto server = next_to_eject()) {
    Eject(*server, now);
  }
}

void GroupHealth::UpdateAdmissions(core::Time now) {
  std::vector<ServerStatus*> eligible;
  int missing = floor_share_;
  for (ServerStatus& it : servers_) {
    it.admission = StateAdmission(it, now);
    missing -= UnrestrictedSlots(it.admission);
    if (IsFloorEligible(it)) {
      eligible.push_back(&it);
    }
  }
  std::stable_sort(eligible.begin(), eligible.end(),
                   [](const ServerStatus* a, const ServerStatus* b) {
                     return a->failure_rate < b->failure_rate;
                   });
  for (const auto& [handle, attempt] : in_flight_) {
    if (const auto server = FindServer(attempt.server_id);
        server && attempt.overdue) {
      ++servers_[*server].admission.overdue;
    }
  }
  for (ServerStatus* it : eligible) {
    const int admitted = UnrestrictedSlots(it->admission);
    const int added = std::min(missing, it->slots - admitted);
    if (added > 0) {
      it->admission.slots = admitted + added;
      it->admission.repeatable_only = false;
      missing -= added;
    }
  }
}

int GroupHealth::AdmittedSlots() const noexcept {
  int sum = 0;
  for (const ServerStatus& it : servers_) {
    sum += UnrestrictedSlots(it.admission);
  }
  return sum;
}

std::vector<Transition> GroupHealth::TakeTransitions() {
  return std::exchange(transitions_, {});
}

std::optional<ServerIndex> GroupHealth::FindServer(std::string_view id) const {
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    if (servers_[i].id == id) {
      return i;
    }
  }
  return std::nullopt;
}

RouteIndex GroupHealth::RouteIndexOf(std::string_view route) {
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
