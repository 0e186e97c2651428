#include "bambootack/dispatch/group.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::dispatch {
namespace {

/// A request may spend its rank's target divided by this in the queue. The rest
/// is left for the service time and for errors of the estimate.
constexpr int kQueueWaitDivisor = 2;

/// A customer with at least this fraction of its rank's traffic is heavy.
constexpr double kHeavyCustomerShare = 0.5;

/// Divides the queue wait allowed to a heavy customer, so that its excess
/// requests are refused before they delay other customers.
constexpr int kHeavyCustomerWaitDivisor = 2;

std::size_t IndexOf(core::Rank rank) noexcept {
  return static_cast<std::size_t>(rank);
}

}  // namespace

Group::Group(config::GroupKey key, ServerSelection selection)
    : key_(std::move(key)),
      slots_(selection, std::numeric_limits<int>::max(),
             core::HashBytes(config::ToString(key_))) {}

void Group::Configure(const std::vector<config::Server>& servers,
                      const RankPolicies& policies, int max_busy) {
  policies_ = policies;
  slots_.Configure(servers);
  slots_.SetMaxBusy(max_busy);
  shares_.Configure(policies);
}

void Group::UpdateShares(core::Time now) {
  PerRank<bool> waiting{};
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    waiting[i] = !queues_[i].empty();
  }
  shares_.Update(now, slots_.Usable(now), waiting);
}

core::Duration Group::ExpectedWait(std::size_t ahead, core::Rank rank,
                                   core::Time now) const {
  if (ahead == 0 && QueueSize() == 0 && slots_.Free(now) > 0) {
    return {};
  }
  const double slots = shares_.SlotsFor(rank, slots_.Usable(now));
  const auto mean =
      static_cast<double>(service_times_[IndexOf(rank)].Mean().count());
  return core::Duration(
      std::llround(mean * static_cast<double>(ahead + 1) / slots));
}

core::Duration Group::MaxQueueWait(core::Rank rank,
                                   const SketchCells& cells) const {
  const core::Duration limit =
      policies_[IndexOf(rank)].target / kQueueWaitDivisor;
  const bool heavy =
      customers_[IndexOf(rank)].Share(cells) >= kHeavyCustomerShare;
  return heavy ? limit / kHeavyCustomerWaitDivisor : limit;
}

std::optional<core::Duration> Group::Offer(const QueuedRequest& request,
                                           core::Time now) {
  UpdateShares(now);
  const std::size_t i = IndexOf(request.rank);
  const SketchCells cells = CellsOf(request.customer);
  customers_[i].RecordRequest(cells, now);
  const std::size_t ahead = queues_[i].CountBefore(request.deadline, cells);
  const core::Duration wait = ExpectedWait(ahead, request.rank, now);
  // A request is admitted whenever a slot is idle: a service time estimate that
  // is too high would otherwise refuse everything and never be corrected.
  const bool slot_idle = wait == core::Duration{};
  const core::Duration limit = MaxQueueWait(request.rank, cells);
  const bool late = now + wait + service_times_[i].Tail() > request.deadline;
  if (request.deadline <= now || (!slot_idle && (late || wait > limit))) {
    return std::max(wait, service_times_[i].Mean());
  }
  queues_[i].Push(request, cells);
  return std::nullopt;
}

void Group::Requeue(const QueuedRequest& request) {
  queues_[IndexOf(request.rank)].Push(request, CellsOf(request.customer));
}

bool Group::Remove(core::Handle job) {
  // A request that was dropped but not yet returned by `RemoveExpired` still
  // belongs to the group; otherwise its end would be reported twice.
  return std::erase(dropped_, job) > 0 ||
         std::any_of(queues_.begin(), queues_.end(),
                     [&](RankQueue& it) { return it.Remove(job); });
}

std::vector<core::Handle> Group::RemoveExpired(core::Time now) {
  std::vector<core::Handle> expired = std::exchange(dropped_, {});
  for (RankQueue& queue : queues_) {
    const std::vector<core::Handle> late = queue.RemoveExpired(now);
    expired.insert(expired.end(), late.begin(), late.end());
  }
  return expired;
}

void Group::DropInfeasible(RankQueue& queue, core::Rank rank, core::Time now) {
  const core::Duration need = service_times_[IndexOf(rank)].Tail();
  while (const auto first = queue.First(false)) {
    // The last remaining request is kept until its deadline: the estimate may
    // be wrong, and no other request of the rank loses the slot.
    const bool infeasible = first->deadline <= now ||
                            (queue.size() > 1 && first->deadline < now + need);
    if (!infeasible) {
      return;
    }
    queue.Remove(first->job);
    dropped_.push_back(first->job);
  }
}

std::optional<Assignment> Group::AssignFrom(core::Rank rank, core::Time now) {
  RankQueue& queue = queues_[IndexOf(rank)];
  DropInfeasible(queue, rank, now);
  std::optional<QueueEntry> first = queue.First(false);
  if (!first) {
    return std::nullopt;
  }
  ServerSlots* server = slots_.Acquire(first->repeatable, now);
  if (server == nullptr && !first->repeatable) {
    first = queue.First(true);
    server = first ? slots_.Acquire(true, now) : nullptr;
  }
  if (server == nullptr) {
    return std::nullopt;
  }
  queue.Dequeue(first->job);
  shares_.OnSlotAcquired(rank);
  return Assignment{first->job, rank, server->server.id,
                    server->server.address};
}

std::optional<Assignment> Group::AssignNext(core::Time now) {
  UpdateShares(now);
  for (const core::Rank rank : shares_.ServiceOrder()) {
    if (auto assignment = AssignFrom(rank, now)) {
      return assignment;
    }
  }
  return std::nullopt;
}

void Group::Release(std::string_view server_id, core::Rank rank,
                    core::Time now) {
  UpdateShares(now);
  slots_.Release(server_id);
  shares_.OnSlotReleased(rank);
}

void Group::RecordServiceTime(core::Rank rank, core::Duration value) noexcept {
  service_times_[IndexOf(rank)].Add(value);
}

wire::GroupLoad Group::Load(core::Time now) const {
  wire::GroupLoad load;
  load.group = key_;
  load.free_slots = static_cast<std::uint32_t>(slots_.Free(now));
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    load.wait[i] =
        ExpectedWait(queues_[i].size(), static_cast<core::Rank>(i), now);
  }
  return load;
}

RankState Group::StateOf(core::Rank rank, core::Time now) const {
  const std::size_t i = IndexOf(rank);
  return {queues_[i].size(), shares_.BusySlots(rank),
          ExpectedWait(queues_[i].size(), rank, now), service_times_[i].Mean()};
}

std::size_t Group::QueueSize() const noexcept {
  std::size_t n = 0;
  for (const RankQueue& queue : queues_) {
    n += queue.size();
  }
  return n;
}

}  // namespace bambootack::dispatch
