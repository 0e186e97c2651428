#include <algorithm>

#include "bambootack/gateway/server_pool.h"

// Selection of a server for a request.

namespace bambootack::gateway {
namespace {

/// A server that no repeatable request has probed for this long after its
/// ejection may be probed by any request.
constexpr core::Duration kMaxProbeDelay = std::chrono::milliseconds(2500);

/// Load reports of servers are ignored after this time.
constexpr core::Duration kLoadReportLifetime = std::chrono::milliseconds(500);

/// An attempt is overdue when it takes this many times the average response
/// time of its route, and at least `kOverdueMargin` longer than the average.
constexpr int kOverdueFactor = 4;
constexpr core::Duration kOverdueMargin = std::chrono::milliseconds(250);

/// Response time that is assumed before the first answer of a route.
constexpr core::Duration kDefaultResponseTime = std::chrono::milliseconds(500);

/// A lease whose release was lost expires this long after the deadline of its
/// request.
constexpr core::Duration kLeaseGracePeriod = std::chrono::milliseconds(200);

/// Load added to a server during its warm-up.
constexpr double kWarmupLoad = 0.34;

/// A server that resets the connection of an attempt does so within this time,
/// which includes the delivery of the outcome to the dispatcher. Until then an
/// attempt does not show whether the server has begun to reset connections.
constexpr core::Duration kVerificationTime = std::chrono::milliseconds(25);

/// A server without requests for this long receives the next repeatable
/// request, and after `kMaxIdleTime` any request. Both times serve the
/// floor, the required share of healthy servers in use: while a tenth of the
/// requests fail, 70% of the healthy servers have to receive requests in every
/// 2 s.
constexpr core::Duration kRepeatableIdleTime = std::chrono::milliseconds(1000);
constexpr core::Duration kMaxIdleTime = std::chrono::milliseconds(1600);

/// A server that received a request within this time is in regular use.
constexpr core::Duration kRecentUse = std::chrono::milliseconds(500);

/// Penalty of servers in other failure domains when servers are ordered by
/// time. Requests leave their failure domain only for a larger difference,
/// because traffic between domains incurs costs.
constexpr core::Duration kRemoteDomainDelay = std::chrono::milliseconds(200);

/// Load added to servers in other failure domains, which decides between
/// servers of equal load.
constexpr double kRemoteDomainLoad = 0.01;

/// Slots of a server that are reserved for more urgent requests. Servers with
/// fewer slots than `kMinSlotsForReservation` reserve none.
constexpr int kSlotsReservedForUrgent = 1;
constexpr int kMinSlotsForReservation = 3;

/// Tiers of candidates, the lowest first. Repeatable requests go first to
/// servers that need a probe and to idle ones.
constexpr int kPreferredTier = -1;
constexpr int kHealthyTier = 0;
constexpr int kAvoidedTier = 1;
constexpr int kQueueTier = 2;
constexpr int kOverdueTier = 3;
constexpr int kUnhealthyTier = 4;

}  // namespace

double ServerPool::LoadOf(const ServerState& state, core::Time now) const {
  double busy = state.in_flight;
  if (now - state.load_reported_at < kLoadReportLifetime) {
    // The report includes the request whose answer carried it.
    busy = std::max(busy, static_cast<double>(state.load.executing +
                                              state.load.queued - 1));
  }
  const double warmup_load = now < state.warmup_end ? kWarmupLoad : 0.0;
  return busy / state.slots + warmup_load;
}

bool ServerPool::HasOverdueLease(const ServerState& state,
                                 core::Time now) const {
  for (auto it = leases_by_server_.lower_bound({state.id, 0});
       it != leases_by_server_.end() && it->first == state.id; ++it) {
    if (leases_.at(it->second).overdue_at <= now) {
      return true;
    }
  }
  return false;
}

bool ServerPool::IsUnverified(const ServerState& state, core::Time now) const {
  return state.in_flight > 0 && now - state.last_grant < kVerificationTime;
}

/// Number of requests at the server from which another one would wait too long.
double ServerPool::RequestLimit(const ServerState& state,
                                const SlotRequirements& requirements) const {
  const auto average =
      AverageResponseTime(requirements.route).value_or(kDefaultResponseTime);
  const double queue_rounds =
      average.count() > 0
          ? static_cast<double>(requirements.max_queue_wait.count()) /
                static_cast<double>(average.count())
          : 0.0;
  return state.slots * (1.0 + std::max(0.0, queue_rounds));
}

/// Whether the limit that a server named keeps it from taking a request.
bool ServerPool::IsLimitUsed(const ServerState& state,
                             const SlotRequirements& requirements) {
  return state.limit.Rate() &&
         (requirements.limit_share <= 0.0 ||
          !state.limit.Admits(requirements.defers_to_urgent));
}

std::optional<ServerPool::Preference> ServerPool::PreferenceOf(
    const ServerState& state, const SlotRequirements& requirements,
    core::Time now, core::Random& random) const {
  if (std::find(requirements.excluded.begin(), requirements.excluded.end(),
                state.id) != requirements.excluded.end()) {
    return std::nullopt;
  }
  const double load = LoadOf(state, now);
  if (now < state.no_capacity_until ||
      load * state.slots >= RequestLimit(state, requirements)) {
    return std::nullopt;
  }
  if (requirements.defers_to_urgent && state.successes_needed == 0 &&
      state.slots >= kMinSlotsForReservation &&
      load * state.slots >= state.slots - kSlotsReservedForUrgent) {
    return std::nullopt;
  }
  const bool overdue = HasOverdueLease(state, now);
  Preference result;
  if (state.successes_needed == 0) {
    result = HealthyPreference(state, requirements, load, now);
    if (overdue && result.tier != kPreferredTier) {
      result.tier = kOverdueTier;
    }
  } else {
    result = UnhealthyPreference(state, requirements, overdue, now);
    if (requirements.defers_to_urgent && !requirements.repeatable &&
        result.tier == kUnhealthyTier) {
      return std::nullopt;  // It can wait for a healthy server.
    }
  }
  result.load = load;
  if (state.failure_domain != requirements.failure_domain) {
    result.load += kRemoteDomainLoad;
  }
  result.tie_breaker = random.Engine()();
  return result;
}

/// The outcome of an overdue attempt or of an unfinished probe may have been
/// lost. Neither keeps a server without requests for longer than
/// `kMaxIdleTime`.
ServerPool::Preference ServerPool::UnhealthyPreference(
    const ServerState& state, const SlotRequirements& requirements,
    bool overdue, core::Time now) const {
  const bool idle_too_long =
      requirements.repeatable && now - state.last_grant >= kMaxIdleTime;
  const bool busy = state.probes_in_flight > 0 || overdue;
  const bool probe_delay_over = now >= state.ejected_until + kMaxProbeDelay;
  const bool ready = now >= state.ejected_until &&
                     (requirements.repeatable || probe_delay_over);
  Preference result;
  // The server whose ejection ended first comes first.
  result.tier =
      ready && (!busy || idle_too_long) ? kPreferredTier : kUnhealthyTier;
  result.order = state.ejected_until.time_since_epoch();
  return result;
}

/// A server that begins to fail loses at least the first request that it
/// receives. Non-repeatable requests therefore share few servers, those with
/// the most recent successes, and leave a slot there for repeatable requests,
/// which prefer the server whose last request is longest ago.
ServerPool::Preference ServerPool::HealthyPreference(
    const ServerState& state, const SlotRequirements& requirements, double load,
    core::Time now) const {
  const core::Duration domain_delay =
      state.failure_domain == requirements.failure_domain ? core::Duration{}
                                                          : kRemoteDomainDelay;
  const auto idle_time =
      std::chrono::duration_cast<core::Duration>(now - state.last_grant);
  Preference result;
  const bool full = load >= 1.0;
  const core::Duration max_idle =
      requirements.repeatable && !full ? kRepeatableIdleTime : kMaxIdleTime;
  if (requirements.pool_is_fleet_wide && idle_time >= max_idle) {
    result.tier = kPreferredTier;
    result.order = state.last_grant.time_since_epoch();
    return result;
  }
  if (full) {
    result.tier = kQueueTier;
    return result;
  }
  const bool reserved = !requirements.repeatable && state.slots > 1 &&
                        load * state.slots >= state.slots - 1;
  const bool avoided =
      reserved || now < state.warmup_end || IsUnverified(state, now);
  if (avoided) {
    result.tier = kAvoidedTier;
  } else if (!requirements.repeatable) {
    result.order = domain_delay - state.last_success.time_since_epoch();
  } else if (idle_time < kRecentUse) {
    result.order = domain_delay + state.last_grant.time_since_epoch();
  } else {
    result.order = domain_delay + now.time_since_epoch();
  }
  return result;
}

std::optional<Slot> ServerPool::Acquire(const SlotRequirements& requirements,
                                        core::VmId holder, core::Time now,
                                        core::Random& random) {
  std::optional<Preference> best;
  ServerState* chosen = nullptr;
  bool healthy_soon = false;
  for (const std::string& id :
       ServersOf(requirements.service, requirements.group)) {
    ServerState& state = servers_.find(id)->second;
    if (state.limit.Rate() && requirements.limit_share > 0.0) {
      state.limit.Refill(requirements.limit_share, now);
    }
    if (IsLimitUsed(state, requirements)) {
      healthy_soon |= state.successes_needed == 0;
      continue;
    }
    const auto preference = PreferenceOf(state, requirements, now, random);
    if (preference && (!best || *preference < *best)) {
      best = preference;
      chosen = &state;
    }
  }
  const bool can_wait = healthy_soon && !requirements.repeatable;
  if (chosen == nullptr || (can_wait && best->tier == kUnhealthyTier)) {
    return std::nullopt;
  }
  return Grant(*chosen, requirements, holder,
               chosen->successes_needed > 0 && best->tier == kPreferredTier,
               now);
}

std::optional<core::Duration> ServerPool::PromiseAdmission(
    const SlotRequirements& requirements, core::Time now) {
  const auto ids = ServersOf(requirements.service, requirements.group);
  if (limited_servers_ == 0 || requirements.limit_share <= 0.0 || ids.empty()) {
    return std::nullopt;
  }
  double rate = 0.0;
  for (const std::string& id : ids) {
    const ServerState& state = servers_.find(id)->second;
    if (state.successes_needed > 0) {
      continue;
    }
    if (!state.limit.Rate()) {
      return std::nullopt;
    }
    rate += *state.limit.Rate() * requirements.limit_share;
  }
  return returns_[GroupName(requirements.service, requirements.group)].Next(
      rate, now);
}

Slot ServerPool::Grant(ServerState& state, const SlotRequirements& requirements,
                       core::VmId holder, bool probe, core::Time now) {
  const core::Duration average =
      AverageResponseTime(requirements.route).value_or(kDefaultResponseTime);
  Lease lease;
  lease.server = state.id;
  lease.route = requirements.route;
  lease.fingerprint = requirements.fingerprint;
  lease.holder = holder;
  lease.start = now;
  lease.overdue_at =
      now + std::max(average * kOverdueFactor, average + kOverdueMargin);
  lease.expires_at = now + requirements.time_left + kLeaseGracePeriod;
  lease.probe = probe;
  ++state.in_flight;
  state.limit.Take();
  state.last_grant = now;
  state.probes_in_flight += probe ? 1 : 0;
  const std::uint64_t number = ++last_lease_;
  leases_by_server_.emplace(state.id, number);
  leases_by_expiry_.emplace(lease.expires_at, number);
  leases_.emplace(number, std::move(lease));
  return {number, state.id, state.address};
}

}  // namespace bambootack::gateway
