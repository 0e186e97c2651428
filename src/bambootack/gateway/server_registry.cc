#include "bambootack/gateway/server_registry.h"

#include <algorithm>
#include <utility>

namespace bambootack::gateway {
namespace {

bool SameButSequence(ServerRecord a, const ServerRecord& b) {
  a.sequence = b.sequence;
  a.warmup_left = b.warmup_left;
  return a == b;
}

}  // namespace

bool ServerRegistry::Apply(ServerRecord record, std::uint64_t offset,
                           core::Time now) {
  Newest& newest = newest_[record.id];
  if (newest.offset && offset <= *newest.offset) {
    return false;
  }
  const bool older =
      record.started < newest.started ||
      (record.started == newest.started && record.sequence < newest.sequence);
  if (older) {
    return false;
  }
  newest = {record.started, record.sequence, offset, false, offset};
  DropFormerHolder(record, offset);
  const auto found = servers_.find(record.id);
  const bool changed =
      found == servers_.end() || !SameButSequence(found->second.record, record);
  Registration& it = servers_[record.id];
  it.warmup_end = now + record.warmup_left;
  it.remove_at.reset();
  it.record = std::move(record);
  if (changed) {
    it.offset = offset;
  }
  return changed;
}

/// An address belongs to the server that started last; the one that had it
/// before has ended.
void ServerRegistry::DropFormerHolder(const ServerRecord& record,
                                      std::uint64_t offset) {
  std::vector<std::string> former;
  for (const auto& [id, it] : servers_) {
    if (id != record.id && it.record.address == record.address &&
        it.record.started < record.started) {
      former.push_back(id);
    }
  }
  for (const std::string& id : former) {
    Erase(id, offset);
  }
}

void ServerRegistry::Erase(std::string_view id, std::uint64_t offset) {
  Newest& newest = newest_.find(id)->second;
  newest.offset = std::max(newest.offset.value_or(0), offset);
  newest.removed = true;
  newest.told_from = *newest.offset;
  servers_.erase(servers_.find(id));
}

bool ServerRegistry::Remove(std::string_view id, std::uint64_t offset,
                            core::Time now) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || newest_.find(id)->second.offset > offset) {
    return false;
  }
  if (now < hold_until_) {
    it->second.remove_at = hold_until_;
    it->second.offset = offset;
    return false;
  }
  Erase(id, offset);
  return true;
}

bool ServerRegistry::ApplyChange(const ServerChange& change, core::Time now) {
  if (!change.removed) {
    return Apply(change.record, change.offset, now);
  }
  Newest& newest = newest_[change.record.id];
  if (newest.offset && change.offset <= *newest.offset) {
    return false;
  }
  newest.offset = change.offset;
  newest.removed = true;
  newest.told_from = change.offset;
  return servers_.erase(change.record.id) > 0;
}

std::vector<ServerChange> ServerRegistry::ChangesSince(std::uint64_t offset,
                                                       core::Time now) const {
  std::vector<ServerChange> changes;
  for (const auto& [id, it] : servers_) {
    if (it.offset >= offset && !it.remove_at) {
      changes.push_back({it.record, false, it.offset});
      changes.back().record.warmup_left = std::max(
          core::Duration{},
          std::chrono::duration_cast<core::Duration>(it.warmup_end - now));
    }
  }
  for (const auto& [id, it] : newest_) {
    if (it.removed && it.told_from >= offset) {
      ServerChange change;
      change.record.id = id;
      change.removed = true;
      change.offset = *it.offset;
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<std::string> ServerRegistry::ApplyDueRemovals(
    std::uint64_t position, core::Time now) {
  std::vector<std::string> due;
  for (const auto& [id, it] : servers_) {
    if (it.remove_at && *it.remove_at <= now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    Erase(id, servers_.find(id)->second.offset);
    newest_.find(id)->second.told_from = position;
  }
  return due;
}

std::optional<core::Time> ServerRegistry::NextTimer() const noexcept {
  std::optional<core::Time> due;
  for (const auto& [id, it] : servers_) {
    if (it.remove_at && (!due || *it.remove_at < *due)) {
      due = it.remove_at;
    }
  }
  return due;
}

}  // namespace bambootack::gateway
