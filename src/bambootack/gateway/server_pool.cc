#include "bambootack/gateway/server_pool.h"

#include <fmt/format.h>

#include <algorithm>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// Ejection time after a lost connection or an invalid answer. It is
/// shorter than such faults, which last for seconds, because a failed probe
/// costs only one retry of a repeatable request.
constexpr core::Duration kEjectionTime = std::chrono::milliseconds(800);

/// Maximum ejection time. The floor is the required share of healthy servers in
/// use. It regards a server as healthy 2 s after its own last failure, so the
/// server has to receive requests again by then.
constexpr core::Duration kMaxEjectionTime = std::chrono::milliseconds(1900);

/// Pause after a server did not execute a request for lack of capacity.
constexpr core::Duration kNoCapacityBackoff = std::chrono::milliseconds(60);

/// Successful probes required after a lost connection, an invalid answer, a
/// timeout, repeated server errors or an answer of another server. Servers that
/// lose most of their requests pass one probe in seven.
constexpr int kSuccessesAfterFault = 2;

/// Two VMs that cannot connect within this time indicate a fault of the server
/// and not of the network path.
constexpr core::Duration kUnreachableWindow = std::chrono::milliseconds(1500);

/// Weight of the newest sample in the moving average of response times.
constexpr double kResponseTimeSmoothing = 0.1;

}  // namespace

std::string GroupName(std::string_view service, std::uint32_t group) {
  return fmt::format("{}/{}", service, group);
}

void ServerPool::Update(const ServerRegistry& registry, core::Time now) {
  std::erase_if(servers_, [&](const auto& it) {
    return !registry.Servers().contains(it.first);
  });
  servers_by_service_.clear();
  for (const auto& [id, it] : registry.Servers()) {
    const auto [found, added] = servers_.try_emplace(id);
    ServerState& state = found->second;
    state.id = id;
    state.last_grant = added ? now : state.last_grant;
    state.service = it.record.service;
    if (state.address != it.record.address) {
      state.address = it.record.address;
      state.successes_needed = 0;
    }
    state.failure_domain = it.record.failure_domain;
    state.slots = std::max(1, it.record.slots);
    state.draining = it.record.draining;
    if (std::exchange(state.started, it.record.started) != it.record.started) {
      state.limit = {};
    }
    state.warmup_end = it.warmup_end;
  }
  DivideIntoGroups();
  CountLimitedServers();
}

/// Draining servers count as well, so that servers seldom change their group.
void ServerPool::DivideIntoGroups() {
  std::map<std::string, std::size_t, std::less<>> counts;
  for (const auto& [id, state] : servers_) {
    ++counts[state.service];
  }
  for (const auto& [service, count] : counts) {
    servers_by_service_[service].resize(GroupCount(count));
  }
  for (const auto& [id, state] : servers_) {
    auto& groups = servers_by_service_[state.service];
    if (!state.draining) {
      groups[core::HashBytes(id) % groups.size()].push_back(id);
    }
  }
}

std::uint32_t ServerPool::GroupCountOf(std::string_view service) const {
  const auto it = servers_by_service_.find(service);
  return it == servers_by_service_.end()
             ? 1
             : static_cast<std::uint32_t>(it->second.size());
}

std::span<const std::string> ServerPool::ServersOf(std::string_view service,
                                                   std::uint32_t group) const {
  const auto it = servers_by_service_.find(service);
  if (it == servers_by_service_.end()) {
    return {};
  }
  return it->second[group % it->second.size()];
}

std::optional<LeaseStart> ServerPool::FindLease(std::uint64_t lease) const {
  const auto it = leases_.find(lease);
  return it == leases_.end()
             ? std::nullopt
             : std::optional(LeaseStart{it->second.server, it->second.start});
}

void ServerPool::Release(std::uint64_t lease, AttemptOutcome outcome,
                         const std::optional<ServerLoad>& load,
                         core::Time now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return;
  }
  const Lease it = std::move(found->second);
  leases_.erase(found);
  leases_by_server_.erase({it.server, lease});
  leases_by_expiry_.erase({it.expires_at, lease});
  finished_attempts_.push_back({it.fingerprint, it.server, outcome, it.start});
  const auto state = servers_.find(it.server);
  if (state == servers_.end()) {
    return;
  }
  state->second.in_flight = std::max(0, state->second.in_flight - 1);
  state->second.probes_in_flight -= it.probe ? 1 : 0;
  if (outcome == AttemptOutcome::kUnused ||
      outcome == AttemptOutcome::kUnreachable) {
    state->second.limit.Return();
  }
  if (load) {
    state->second.load = *load;
    state->second.load_reported_at = now;
  }
  Evaluate(state->second, it, outcome, now);
}

void ServerPool::RecordAttempt(std::string_view server, std::string_view route,
                               core::Duration duration, AttemptOutcome outcome,
                               core::Time now) {
  const auto state = servers_.find(server);
  if (state == servers_.end()) {
    return;
  }
  Lease lease;
  lease.server = state->second.id;
  lease.route = route;
  lease.start = now - duration;
  Evaluate(state->second, lease, outcome, now);
}

void ServerPool::Evaluate(ServerState& state, const Lease& lease,
                          AttemptOutcome outcome, core::Time now) {
  switch (outcome) {
    case AttemptOutcome::kServed:
      UpdateAverageResponseTime(lease, now);
      state.last_success = now;
      RecordSuccess(state);
      break;
    case AttemptOutcome::kServerError:
      // Single server errors are normal; two in a row indicate a fault.
      if (state.consecutive_failures == 0) {
        RecordFailure(state, outcome, core::Duration{}, 1, now);
      } else {
        RecordFailure(state, outcome, kEjectionTime, kSuccessesAfterFault, now);
      }
      break;
    case AttemptOutcome::kLost:
    case AttemptOutcome::kInvalid:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kWrongServer:
      RecordFailure(state, outcome, kEjectionTime, kSuccessesAfterFault, now);
      break;
    case AttemptOutcome::kNotExecuted:
      state.no_capacity_until = now + kNoCapacityBackoff;
      break;
    case AttemptOutcome::kUnreachable:
      if (state.unreachable_from != core::kNoVm &&
          state.unreachable_from != lease.holder &&
          now - state.unreachable_at < kUnreachableWindow) {
        RecordFailure(state, outcome, kEjectionTime, 1, now);
      }
      state.unreachable_from = lease.holder;
      state.unreachable_at = now;
      break;
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kUnused:
      break;
  }
}

void ServerPool::RecordFailure(ServerState& state, AttemptOutcome cause,
                               core::Duration ejection, int successes_needed,
                               core::Time now) {
  ++state.consecutive_failures;
  const core::Duration ejection_time =
      std::min(kMaxEjectionTime, ejection * state.consecutive_failures);
  state.ejected_until = std::max(state.ejected_until, now + ejection_time);
  state.successes_needed = std::max(state.successes_needed, successes_needed);
  RecordHealthChange(state,
                     ejection_time.count() > 0 ? ServerHealth::kEjected
                                               : ServerHealth::kProbing,
                     cause);
}

void ServerPool::RecordSuccess(ServerState& state) {
  state.consecutive_failures = 0;
  state.unreachable_from = core::kNoVm;
  if (state.successes_needed > 0 && --state.successes_needed == 0) {
    RecordHealthChange(state, ServerHealth::kHealthy, AttemptOutcome::kServed);
  }
}

void ServerPool::UpdateAverageResponseTime(const Lease& lease, core::Time now) {
  const auto [it, inserted] =
      response_times_.try_emplace(lease.route, now - lease.start);
  if (!inserted) {
    const auto delta =
        static_cast<double>((now - lease.start - it->second).count());
    it->second += core::Duration(
        static_cast<std::int64_t>(delta * kResponseTimeSmoothing));
  }
}

void ServerPool::RecordHealthChange(const ServerState& state, ServerHealth to,
                                    AttemptOutcome cause) {
  health_changes_.push_back({state.id, to, cause});
}

std::optional<LimitReport> ServerPool::RecordLimit(std::string_view server,
                                                   const LimitReport& report,
                                                   core::Time request_sent,
                                                   core::Time stated) {
  const auto state = servers_.find(server);
  if (state == servers_.end()) {
    return std::nullopt;
  }
  StatedLimit& limit = state->second.limit;
  const LimitReport before{limit.Rate()};
  if (!limit.Record(report, request_sent, stated)) {
    return std::nullopt;
  }
  CountLimitedServers();
  return before;
}

void ServerPool::CountLimitedServers() {
  limited_servers_ = static_cast<std::size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& it) { return it.second.limit.Rate().has_value(); }));
}

std::vector<KnownLimit> ServerPool::KnownLimits(std::string_view service,
                                                std::uint32_t group,
                                                core::Time now) const {
  std::vector<KnownLimit> result;
  if (limited_servers_ == 0) {
    return result;
  }
  for (const std::string& id : ServersOf(service, group)) {
    const StatedLimit& limit = servers_.find(id)->second.limit;
    if (limit.Rate()) {
      result.push_back(
          {id, *limit.Rate(),
           std::chrono::duration_cast<core::Duration>(now - limit.StatedAt())});
    }
  }
  return result;
}

void ServerPool::ExpireLeases(core::Time now) {
  while (!leases_by_expiry_.empty() &&
         leases_by_expiry_.begin()->first <= now) {
    Release(leases_by_expiry_.begin()->second, AttemptOutcome::kCancelled,
            std::nullopt, now);
  }
}

std::optional<core::Duration> ServerPool::AverageResponseTime(
    std::string_view route) const {
  const auto it = response_times_.find(route);
  return it == response_times_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace bambootack::gateway
