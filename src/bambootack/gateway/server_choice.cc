#include <algorithm>

#include "bambootack/gateway/server_pool.h"

// Choice of a server for a request.

namespace bambootack::gateway {
namespace {

/// A server whose trial finds no repeatable request gets others after this.
constexpr core::Duration kTrialPatience = std::chrono::milliseconds(2500);

/// Reported loads are used for this long.
constexpr core::Duration kLoadLife = std::chrono::milliseconds(500);

/// A request is overdue when it takes this many times its usual time, and at
/// least `kOverdueSlack` more than that time.
constexpr int kOverdueFactor = 4;
constexpr core::Duration kOverdueSlack = std::chrono::milliseconds(250);

/// Before the first answer of a route its usual time is taken as this.
constexpr core::Duration kUsualTimeGuess = std::chrono::milliseconds(500);

/// A lease whose release was lost expires this long after its request has been
/// given up.
constexpr core::Duration kLeaseSlack = std::chrono::milliseconds(200);

/// Extra load of a server that is still warming up.
constexpr double kColdLoad = 0.34;

/// A server that has begun to reset connections does so within this time, with
/// the way of the result to the dispatcher.
constexpr core::Duration kProofTime = std::chrono::milliseconds(25);

/// A server without work for this long gets the next repeatable request, and
/// after the longer time any request. While a tenth of the requests fail, 70%
/// of the sound servers have to get some work in each two seconds (RULES,
/// FLOOR).
constexpr core::Duration kIdleLimit = std::chrono::milliseconds(1000);
constexpr core::Duration kLongIdleLimit = std::chrono::milliseconds(1600);

/// A server that got work within this time is in regular use.
constexpr core::Duration kRegularUse = std::chrono::milliseconds(500);

/// What a server in another failure domain may lead by before its traffic is
/// worth its price.
constexpr core::Duration kRemoteLag = std::chrono::milliseconds(200);

/// Extra load that decides between servers of the same load.
constexpr double kRemoteLoad = 0.01;

/// Slots of a server that requests leave to more urgent ones. Servers with
/// fewer slots than `kLeastSlotsToShare` keep none back.
constexpr int kUrgentSlots = 1;
constexpr int kLeastSlotsToShare = 3;

/// Order of the choice. Repeatable requests go first to servers on trial and to
/// those that were idle.
constexpr int kTrialTier = -1;
constexpr int kTrustedTier = 0;
constexpr int kUnprovenTier = 1;
constexpr int kQueueTier = 2;
constexpr int kLastResortTier = 3;
constexpr int kFailedTier = 4;

}  // namespace

double ServerPool::LoadOf(const Row& row, core::Time now) const {
  double busy = row.in_flight;
  if (now - row.load_at < kLoadLife) {
    // The report still counts the request that it came with.
    busy = std::max(
        busy, static_cast<double>(row.load.executing + row.load.queued - 1));
  }
  const double cold = now < row.warmup_end ? kColdLoad : 0.0;
  return busy / row.slots + cold;
}

bool ServerPool::HasOverdue(const Row& row, core::Time now) const {
  for (auto it = by_server_.lower_bound({row.id, 0});
       it != by_server_.end() && it->first == row.id; ++it) {
    if (leases_.at(it->second).overdue_at <= now) {
      return true;
    }
  }
  return false;
}

bool ServerPool::IsUnproven(const Row& row, core::Time now) const {
  return row.in_flight > 0 && now - row.granted_at < kProofTime;
}

/// Requests that may be at the server before one more would wait too long.
double ServerPool::QueueLimit(const Row& row,
                              const SlotRequirements& need) const {
  const auto usual = AverageResponseTime(need.route).value_or(kUsualTimeGuess);
  const double turns = usual.count() > 0
                           ? static_cast<double>(need.max_queue_wait.count()) /
                                 static_cast<double>(usual.count())
                           : 0.0;
  return row.slots * (1.0 + std::max(0.0, turns));
}

std::optional<ServerPool::Preference> ServerPool::Rate(
    const Row& row, const SlotRequirements& need, core::Time now,
    core::Random& random) const {
  if (std::find(need.excluded.begin(), need.excluded.end(), row.id) !=
      need.excluded.end()) {
    return std::nullopt;
  }
  const double load = LoadOf(row, now);
  if (now < row.full_until || load * row.slots >= QueueLimit(row, need)) {
    return std::nullopt;
  }
  if (need.defers_to_urgent && row.good_needed == 0 &&
      row.slots >= kLeastSlotsToShare &&
      load * row.slots >= row.slots - kUrgentSlots) {
    return std::nullopt;
  }
  const bool overdue = HasOverdue(row, now);
  Preference result;
  if (row.good_needed == 0) {
    result = RateTrusted(row, need, load, now);
    if (overdue && result.tier != kTrialTier) {
      result.tier = kLastResortTier;
    }
  } else {
    result = RateOnTrial(row, need, overdue, now);
    if (need.defers_to_urgent && !need.repeatable &&
        result.tier == kFailedTier) {
      return std::nullopt;  // It can wait for a better server.
    }
  }
  result.load = load;
  if (row.failure_domain != need.failure_domain) {
    result.load += kRemoteLoad;
  }
  result.tie = random.Engine()();
  return result;
}

/// An overdue request, or a trial that is not back, may be one whose result was
/// lost. Neither keeps a server without work for longer than others.
ServerPool::Preference ServerPool::RateOnTrial(const Row& row,
                                               const SlotRequirements& need,
                                               bool overdue,
                                               core::Time now) const {
  const bool idle = need.repeatable && now - row.granted_at >= kLongIdleLimit;
  const bool busy = row.trials > 0 || overdue;
  const bool waited = now >= row.rest_until + kTrialPatience;
  const bool ready = now >= row.rest_until && (need.repeatable || waited);
  Preference result;
  // The server that has rested longest comes first.
  result.tier = ready && (!busy || idle) ? kTrialTier : kFailedTier;
  result.order = row.rest_until.time_since_epoch();
  return result;
}

/// Each server that begins to lose its requests loses at least the first one
/// that it gets. Requests that may not be repeated therefore share few servers,
/// those that served last, and leave a slot there for repeatable ones, which
/// look for the server that has proven itself least recently.
ServerPool::Preference ServerPool::RateTrusted(const Row& row,
                                               const SlotRequirements& need,
                                               double load,
                                               core::Time now) const {
  const core::Duration lag =
      row.failure_domain == need.failure_domain ? core::Duration{} : kRemoteLag;
  const auto idle =
      std::chrono::duration_cast<core::Duration>(now - row.granted_at);
  Preference result;
  const bool full = load >= 1.0;
  const core::Duration limit =
      need.repeatable && !full ? kIdleLimit : kLongIdleLimit;
  if (need.pool_is_fleet_wide && idle >= limit) {
    result.tier = kTrialTier;
    result.order = row.granted_at.time_since_epoch();
    return result;
  }
  if (full) {
    result.tier = kQueueTier;
    return result;
  }
  const bool reserved =
      !need.repeatable && row.slots > 1 && load * row.slots >= row.slots - 1;
  const bool avoided = reserved || now < row.warmup_end || IsUnproven(row, now);
  if (avoided) {
    result.tier = kUnprovenTier;
  } else if (!need.repeatable) {
    result.order = lag - row.served_at.time_since_epoch();
  } else if (idle < kRegularUse) {
    result.order = lag + row.granted_at.time_since_epoch();
  } else {
    result.order = lag + now.time_since_epoch();
  }
  return result;
}

std::optional<Slot> ServerPool::Acquire(const SlotRequirements& need,
                                        core::VmId holder, core::Time now,
                                        core::Random& random) {
  const auto servers = by_service_.find(need.service);
  if (servers == by_service_.end()) {
    return std::nullopt;
  }
  const auto& groups = servers->second;
  std::optional<Preference> best;
  Row* chosen = nullptr;
  for (const std::string& id : groups[need.group % groups.size()]) {
    Row& row = rows_.find(id)->second;
    const auto preference = Rate(row, need, now, random);
    if (preference && (!best || *preference < *best)) {
      best = preference;
      chosen = &row;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return Grant(*chosen, need, holder,
               chosen->good_needed > 0 && best->tier == kTrialTier, now);
}

Slot ServerPool::Grant(Row& row, const SlotRequirements& need,
                       core::VmId holder, bool trial, core::Time now) {
  const core::Duration usual =
      AverageResponseTime(need.route).value_or(kUsualTimeGuess);
  Lease lease;
  lease.server = row.id;
  lease.route = need.route;
  lease.fingerprint = need.fingerprint;
  lease.holder = holder;
  lease.start = now;
  lease.overdue_at =
      now + std::max(usual * kOverdueFactor, usual + kOverdueSlack);
  lease.expires_at = now + need.time_left + kLeaseSlack;
  lease.trial = trial;
  ++row.in_flight;
  row.granted_at = now;
  row.trials += trial ? 1 : 0;
  const std::uint64_t number = ++last_lease_;
  by_server_.emplace(row.id, number);
  by_expiry_.emplace(lease.expires_at, number);
  leases_.emplace(number, std::move(lease));
  return {number, row.id, row.address};
}

}  // namespace bambootack::gateway
