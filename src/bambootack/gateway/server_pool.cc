#include "bambootack/gateway/server_pool.h"

#include <algorithm>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// Pause after a lost connection or a wrong answer. Faults of this kind last
/// for seconds; a trial request costs one retry of a read.
constexpr core::Duration kShortRest = std::chrono::milliseconds(800);

/// Longest pause. The floor (RULES) counts a server as sound two seconds after
/// its own failure, so that it gets requests again by then.
constexpr core::Duration kLongRest = std::chrono::milliseconds(1900);

/// Pause after a server refused a request for lack of room.
constexpr core::Duration kFullRest = std::chrono::milliseconds(60);

/// Successes on trial after a lost connection. Servers that lose most of their
/// requests pass one trial in seven.
constexpr int kGoodAfterLoss = 2;

/// A server whose trial finds no repeatable request gets others after this.
constexpr core::Duration kTrialPatience = std::chrono::milliseconds(2500);

/// Unreachable reports of two VMs within this time condemn the server and not
/// the path.
constexpr core::Duration kSamePath = std::chrono::milliseconds(1500);

/// Reported loads are used for this long.
constexpr core::Duration kLoadLife = std::chrono::milliseconds(500);

/// A request is overdue when it takes this many times its usual time, and at
/// least `kOverdueSlack` more than that time.
constexpr int kOverdueFactor = 4;
constexpr core::Duration kOverdueSlack = std::chrono::milliseconds(250);

/// Before the first answer of a route its usual time is taken as this.
constexpr core::Duration kUsualTimeGuess = std::chrono::milliseconds(500);

/// Weight of the newest sample in the usual time.
constexpr double kUsualTimeGain = 0.1;

/// Leases that are not given back expire after this: no route waits longer.
constexpr core::Duration kLeaseLife = std::chrono::seconds(15);

/// Extra load of a server that is still warming up.
constexpr double kColdLoad = 0.34;

/// A server that has begun to reset connections does so within this time, with
/// the way of the result to the dispatcher.
constexpr core::Duration kProofTime = std::chrono::milliseconds(25);

/// A server without work for this long gets the next repeatable request. New
/// servers are to get some within four seconds (RULES, prices); more of these
/// trials would leave too few reads for the servers in regular use.
constexpr core::Duration kIdleLimit = std::chrono::milliseconds(2500);

/// Without repeatable requests a server waits longer, but less than these four
/// seconds.
constexpr core::Duration kLongIdleLimit = std::chrono::milliseconds(3500);

/// A server that got work within this time is in regular use.
constexpr core::Duration kRegularUse = std::chrono::milliseconds(500);

/// What a server in another failure domain may lead by before its traffic is
/// worth its price.
constexpr core::Duration kRemoteLag = std::chrono::milliseconds(200);

/// Extra load that decides between servers of the same load.
constexpr double kRemoteLoad = 0.01;

/// Order of the choice. Repeatable requests go first to servers on trial and to
/// those that were idle.
constexpr int kTrialTier = -1;
constexpr int kTrustedTier = 0;
constexpr int kUnprovenTier = 1;
constexpr int kQueueTier = 2;
constexpr int kLastResortTier = 3;

}  // namespace

void ServerPool::Follow(const ServerRegistry& registry, core::Time now) {
  std::erase_if(rows_, [&](const auto& it) {
    return !registry.Servers().contains(it.first);
  });
  by_service_.clear();
  for (const auto& [id, it] : registry.Servers()) {
    const auto [found, added] = rows_.try_emplace(id);
    Row& row = found->second;
    row.id = id;
    row.granted_at = added ? now : row.granted_at;
    row.service = it.record.service;
    if (row.address != it.record.address) {
      row.address = it.record.address;
      row.good_needed = 0;
    }
    row.failure_domain = it.record.failure_domain;
    row.slots = std::max(1, it.record.slots);
    row.draining = it.record.draining;
    row.warm_at = it.warm_at;
  }
  DivideIntoGroups();
}

/// Servers that drain count, too, so that a server seldom changes its group.
void ServerPool::DivideIntoGroups() {
  std::map<std::string, std::size_t, std::less<>> counts;
  for (const auto& [id, row] : rows_) {
    ++counts[row.service];
  }
  for (const auto& [service, count] : counts) {
    by_service_[service].resize(GroupCount(count));
  }
  for (const auto& [id, row] : rows_) {
    auto& groups = by_service_[row.service];
    if (!row.draining) {
      groups[core::HashBytes(id) % groups.size()].push_back(id);
    }
  }
}

std::uint32_t ServerPool::Groups(std::string_view service) const {
  const auto it = by_service_.find(service);
  return it == by_service_.end()
             ? 1
             : static_cast<std::uint32_t>(it->second.size());
}

double ServerPool::LoadOf(const Row& row, core::Time now) const {
  double busy = row.in_flight;
  if (now - row.load_at < kLoadLife) {
    // The report still counts the request that it came with.
    busy = std::max(
        busy, static_cast<double>(row.load.running + row.load.waiting - 1));
  }
  const double cold = now < row.warm_at ? kColdLoad : 0.0;
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
double ServerPool::QueueLimit(const Row& row, const SlotNeed& need) const {
  const auto usual = UsualTime(need.route).value_or(kUsualTimeGuess);
  const double turns = usual.count() > 0
                           ? static_cast<double>(need.patience.count()) /
                                 static_cast<double>(usual.count())
                           : 0.0;
  return row.slots * (1.0 + std::max(0.0, turns));
}

std::optional<ServerPool::Preference> ServerPool::Rate(
    const Row& row, const SlotNeed& need, core::Time now,
    core::Random& random) const {
  if (std::find(need.excluded.begin(), need.excluded.end(), row.id) !=
      need.excluded.end()) {
    return std::nullopt;
  }
  const double load = LoadOf(row, now);
  if (now < row.full_until || load * row.slots >= QueueLimit(row, need)) {
    return std::nullopt;
  }
  const bool overdue = HasOverdue(row, now);
  Preference result;
  if (row.good_needed == 0) {
    result = RateTrusted(row, need, load, now);
    result.tier = overdue ? kLastResortTier : result.tier;
  } else {
    const bool rested = now >= row.rest_until;
    const bool waited = now >= row.rest_until + kTrialPatience;
    const bool on_trial =
        rested && row.trials == 0 && (need.repeatable || waited) && !overdue;
    // The server that has rested longest comes first.
    result.tier = on_trial ? kTrialTier : kLastResortTier + 1;
    result.order = row.rest_until.time_since_epoch();
  }
  result.load = load;
  if (row.failure_domain != need.failure_domain) {
    result.load += kRemoteLoad;
  }
  result.tie = random.Engine()();
  return result;
}

/// Each server that begins to lose its requests loses at least the first one
/// that it gets. Requests that may not be repeated therefore share few servers,
/// those that served last, and leave a slot there for repeatable ones, which
/// look for the server that has proven itself least recently.
ServerPool::Preference ServerPool::RateTrusted(const Row& row,
                                               const SlotNeed& need,
                                               double load,
                                               core::Time now) const {
  const core::Duration lag =
      row.failure_domain == need.failure_domain ? core::Duration{} : kRemoteLag;
  const auto idle =
      std::chrono::duration_cast<core::Duration>(now - row.granted_at);
  Preference result;
  if (load >= 1.0) {
    result.tier = kQueueTier;
    return result;
  }
  if (need.sees_fleet &&
      idle >= (need.repeatable ? kIdleLimit : kLongIdleLimit)) {
    result.tier = kTrialTier;
    result.order = row.granted_at.time_since_epoch();
    return result;
  }
  const bool reserved =
      !need.repeatable && row.slots > 1 && load * row.slots >= row.slots - 1;
  const bool avoided = reserved || now < row.warm_at || IsUnproven(row, now);
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

std::optional<Slot> ServerPool::Acquire(const SlotNeed& need, core::VmId holder,
                                        core::Time now, core::Random& random) {
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

Slot ServerPool::Grant(Row& row, const SlotNeed& need, core::VmId holder,
                       bool trial, core::Time now) {
  const core::Duration usual = UsualTime(need.route).value_or(kUsualTimeGuess);
  Lease lease;
  lease.server = row.id;
  lease.route = need.route;
  lease.holder = holder;
  lease.start = now;
  lease.overdue_at =
      now + std::max(usual * kOverdueFactor, usual + kOverdueSlack);
  lease.trial = trial;
  ++row.in_flight;
  row.granted_at = now;
  row.trials += trial ? 1 : 0;
  const std::uint64_t number = ++last_lease_;
  by_server_.emplace(row.id, number);
  leases_.emplace(number, std::move(lease));
  return {number, row.id, row.address};
}

void ServerPool::Release(std::uint64_t lease, SendEnd end,
                         const std::optional<ServerLoad>& load,
                         core::Time now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return;
  }
  const Lease it = std::move(found->second);
  leases_.erase(found);
  by_server_.erase({it.server, lease});
  const auto row = rows_.find(it.server);
  if (row == rows_.end()) {
    return;
  }
  row->second.in_flight = std::max(0, row->second.in_flight - 1);
  row->second.trials -= it.trial ? 1 : 0;
  if (load) {
    row->second.load = *load;
    row->second.load_at = now;
  }
  Judge(row->second, it, end, now);
}

void ServerPool::Observe(std::string_view server, std::string_view route,
                         core::Duration took, SendEnd end, core::Time now) {
  const auto row = rows_.find(server);
  if (row == rows_.end()) {
    return;
  }
  Lease lease;
  lease.server = row->second.id;
  lease.route = route;
  lease.start = now - took;
  Judge(row->second, lease, end, now);
}

void ServerPool::Judge(Row& row, const Lease& lease, SendEnd end,
                       core::Time now) {
  switch (end) {
    case SendEnd::kServed:
      Learn(lease, now);
      row.served_at = now;
      Succeed(row);
      break;
    case SendEnd::kServerError:
      // One error in many is usual; a second one in a row is not.
      if (row.failures == 0) {
        Fail(row, end, core::Duration{}, 1, now);
      } else {
        Fail(row, end, kShortRest, kGoodAfterLoss, now);
      }
      break;
    case SendEnd::kLost:
    case SendEnd::kInvalid:
    case SendEnd::kTimedOut:
    case SendEnd::kWrongServer:
      Fail(row, end, kShortRest, kGoodAfterLoss, now);
      break;
    case SendEnd::kNotRun:
      row.full_until = now + kFullRest;
      break;
    case SendEnd::kUnreachable:
      if (row.unreachable_from != core::kNoVm &&
          row.unreachable_from != lease.holder &&
          now - row.unreachable_at < kSamePath) {
        Fail(row, end, kShortRest, 1, now);
      }
      row.unreachable_from = lease.holder;
      row.unreachable_at = now;
      break;
    case SendEnd::kCancelled:
      break;
  }
}

void ServerPool::Fail(Row& row, SendEnd cause, core::Duration rest,
                      int good_needed, core::Time now) {
  ++row.failures;
  const core::Duration pause = std::min(kLongRest, rest * row.failures);
  row.rest_until = std::max(row.rest_until, now + pause);
  row.good_needed = std::max(row.good_needed, good_needed);
  Note(row, pause.count() > 0 ? ServerTrust::kResting : ServerTrust::kTrial,
       cause);
}

void ServerPool::Succeed(Row& row) {
  row.failures = 0;
  row.unreachable_from = core::kNoVm;
  if (row.good_needed > 0 && --row.good_needed == 0) {
    Note(row, ServerTrust::kTrusted, SendEnd::kServed);
  }
}

void ServerPool::Learn(const Lease& lease, core::Time now) {
  const auto [it, first] = usual_.try_emplace(lease.route, now - lease.start);
  if (!first) {
    const auto delta =
        static_cast<double>((now - lease.start - it->second).count());
    it->second +=
        core::Duration(static_cast<std::int64_t>(delta * kUsualTimeGain));
  }
}

void ServerPool::Note(const Row& row, ServerTrust to, SendEnd cause) {
  changes_.push_back({row.id, to, cause});
}

void ServerPool::Expire(core::Time now) {
  while (!leases_.empty() &&
         leases_.begin()->second.start + kLeaseLife <= now) {
    Release(leases_.begin()->first, SendEnd::kCancelled, std::nullopt, now);
  }
}

std::optional<core::Duration> ServerPool::UsualTime(
    std::string_view route) const {
  const auto it = usual_.find(route);
  return it == usual_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace bambootack::gateway
