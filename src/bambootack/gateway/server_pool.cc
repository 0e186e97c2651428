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

/// Unreachable reports of two VMs within this time condemn the server and not
/// the path.
constexpr core::Duration kSamePath = std::chrono::milliseconds(1500);

/// Weight of the newest sample in the usual time.
constexpr double kUsualTimeGain = 0.1;

}  // namespace

void ServerPool::Update(const ServerRegistry& registry, core::Time now) {
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
    row.warmup_end = it.warmup_end;
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

std::uint32_t ServerPool::GroupCountOf(std::string_view service) const {
  const auto it = by_service_.find(service);
  return it == by_service_.end()
             ? 1
             : static_cast<std::uint32_t>(it->second.size());
}

void ServerPool::Release(std::uint64_t lease, AttemptOutcome end,
                         const std::optional<ServerLoad>& load,
                         core::Time now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return;
  }
  const Lease it = std::move(found->second);
  leases_.erase(found);
  by_server_.erase({it.server, lease});
  by_expiry_.erase({it.expires_at, lease});
  ends_.push_back({it.fingerprint, it.server, end});
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

void ServerPool::RecordAttempt(std::string_view server, std::string_view route,
                               core::Duration took, AttemptOutcome end,
                               core::Time now) {
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

void ServerPool::Judge(Row& row, const Lease& lease, AttemptOutcome end,
                       core::Time now) {
  switch (end) {
    case AttemptOutcome::kServed:
      Learn(lease, now);
      row.served_at = now;
      Succeed(row);
      break;
    case AttemptOutcome::kServerError:
      // One error in many is usual; a second one in a row is not.
      if (row.failures == 0) {
        Fail(row, end, core::Duration{}, 1, now);
      } else {
        Fail(row, end, kShortRest, kGoodAfterLoss, now);
      }
      break;
    case AttemptOutcome::kLost:
    case AttemptOutcome::kInvalid:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kWrongServer:
      Fail(row, end, kShortRest, kGoodAfterLoss, now);
      break;
    case AttemptOutcome::kNotExecuted:
      row.full_until = now + kFullRest;
      break;
    case AttemptOutcome::kUnreachable:
      if (row.unreachable_from != core::kNoVm &&
          row.unreachable_from != lease.holder &&
          now - row.unreachable_at < kSamePath) {
        Fail(row, end, kShortRest, 1, now);
      }
      row.unreachable_from = lease.holder;
      row.unreachable_at = now;
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
}

void ServerPool::Fail(Row& row, AttemptOutcome cause, core::Duration rest,
                      int good_needed, core::Time now) {
  ++row.failures;
  const core::Duration pause = std::min(kLongRest, rest * row.failures);
  row.rest_until = std::max(row.rest_until, now + pause);
  row.good_needed = std::max(row.good_needed, good_needed);
  Note(row, pause.count() > 0 ? ServerHealth::kEjected : ServerHealth::kProbing,
       cause);
}

void ServerPool::Succeed(Row& row) {
  row.failures = 0;
  row.unreachable_from = core::kNoVm;
  if (row.good_needed > 0 && --row.good_needed == 0) {
    Note(row, ServerHealth::kHealthy, AttemptOutcome::kServed);
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

void ServerPool::Note(const Row& row, ServerHealth to, AttemptOutcome cause) {
  changes_.push_back({row.id, to, cause});
}

void ServerPool::ExpireLeases(core::Time now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    Release(by_expiry_.begin()->second, AttemptOutcome::kCancelled,
            std::nullopt, now);
  }
}

std::optional<core::Duration> ServerPool::AverageResponseTime(
    std::string_view route) const {
  const auto it = usual_.find(route);
  return it == usual_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace bambootack::gateway
