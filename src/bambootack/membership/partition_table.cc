#include "bambootack/membership/partition_table.h"

#include <algorithm>

namespace bambootack::membership {
namespace {

core::PartitionId Id(std::size_t index) noexcept {
  return static_cast<core::PartitionId>(index);
}

/// Merges two ended owners into one of no known process that covers both.
EndedOwner Merge(const EndedOwner& a, const EndedOwner& b) {
  return {core::kNoVm, {}, std::max(a.end, b.end), std::max(a.at, b.at)};
}

}  // namespace

PartitionTable::PartitionTable() : partitions_(core::kPartitionCount) {}

std::vector<core::PartitionId> PartitionTable::Apply(const ViewRecord& record) {
  number_ = record.number;
  Marks changed;
  switch (record.change) {
    case ViewChange::kJoin:
      Join(record.member, record.at, changed);
      break;
    case ViewChange::kLeaving:
      StopOwning(record.member.vm, changed);
      break;
    case ViewChange::kLeave:
    case ViewChange::kGone:
      End(record.member.vm, record.at, changed);
      break;
  }
  std::vector<core::PartitionId> list;
  for (std::size_t i = 0; i < changed.size(); ++i) {
    if (changed.test(i)) {
      list.push_back(Id(i));
    }
  }
  return list;
}

void PartitionTable::Join(const Member& member, core::WallTime at,
                          Marks& changed) {
  End(member.vm, at, changed);
  processes_[member.vm].incarnation = member.incarnation;
  eligible_.push_back(member.vm);
  for (std::size_t i = 0; i < partitions_.size(); ++i) {
    const std::uint64_t score = PartitionScore(Id(i), member.vm);
    const Partition& it = partitions_[i];
    if (it.owner == core::kNoVm || score > it.score) {
      Take(i, member.vm, score);
      changed.set(i);
    }
  }
}

void PartitionTable::StopOwning(core::VmId vm, Marks& changed) {
  const auto found = processes_.find(vm);
  if (found == processes_.end() || !found->second.eligible) {
    return;
  }
  found->second.eligible = false;
  std::erase(eligible_, vm);
  for (std::size_t i = 0; i < partitions_.size(); ++i) {
    if (found->second.touched.test(i) && partitions_[i].owner == vm) {
      TakeByBest(i);
      changed.set(i);
    }
  }
}

void PartitionTable::End(core::VmId vm, core::WallTime at, Marks& changed) {
  StopOwning(vm, changed);
  const auto found = processes_.find(vm);
  if (found == processes_.end()) {
    return;
  }
  for (std::size_t i = 0; i < partitions_.size(); ++i) {
    if (!found->second.touched.test(i)) {
      continue;
    }
    Partition& partition = partitions_[i];
    const auto it = std::find_if(
        partition.earlier.begin(), partition.earlier.end(),
        [&](const EarlierOwner& earlier) { return earlier.vm == vm; });
    if (it != partition.earlier.end()) {
      AddEnded(partition, {vm, it->incarnation, it->end, at});
      partition.earlier.erase(it);
      changed.set(i);
    }
  }
  processes_.erase(found);
}

void PartitionTable::Take(std::size_t index, core::VmId vm,
                          std::uint64_t score) {
  Partition& it = partitions_[index];
  std::erase_if(it.earlier,
                [&](const EarlierOwner& earlier) { return earlier.vm == vm; });
  if (it.owner != core::kNoVm) {
    it.earlier.push_back(
        {it.owner, processes_.at(it.owner).incarnation, number_});
  }
  it.owner = vm;
  it.since = number_;
  it.score = score;
  if (vm != core::kNoVm) {
    processes_.at(vm).touched.set(index);
  }
}

void PartitionTable::TakeByBest(std::size_t index) {
  core::VmId best = core::kNoVm;
  std::uint64_t best_score = 0;
  for (const core::VmId vm : eligible_) {
    const std::uint64_t score = PartitionScore(Id(index), vm);
    if (best == core::kNoVm || score > best_score) {
      best = vm;
      best_score = score;
    }
  }
  Take(index, best, best_score);
}

void PartitionTable::AddEnded(Partition& partition,
                              const EndedOwner& owner) const {
  auto& ended = partition.ended;
  std::erase_if(ended, [&](const EndedOwner& it) {
    return it.at + kEndedOwnerMemory < owner.at;
  });
  ended.push_back(owner);
  if (ended.size() > kMaxEndedOwners) {
    ended[1] = Merge(ended[0], ended[1]);
    ended.erase(ended.begin());
  }
}

}  // namespace bambootack::membership
