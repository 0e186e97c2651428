#include "bambootack/gateway/server_registry.h"

#include <algorithm>
#include <utility>

namespace bambootack::gateway {
namespace {

bool EqualsIgnoringSequence(ServerRecord a, const ServerRecord& b) {
  a.sequence = b.sequence;
  a.warmup_left = b.warmup_left;
  return a == b;
}

}  // namespace

bool ServerRegistry::Apply(ServerRecord record, std::uint64_t offset,
                           core::Time now) {
  LatestChange& latest = latest_changes_[record.id];
  const auto found = servers_.find(record.id);
  const bool is_outdated =
      (latest.offset && offset <= *latest.offset) ||
      (found == servers_.end() && offset < complete_until_);
  if (is_outdated) {
    return false;
  }
  const bool older =
      record.started < latest.started ||
      (record.started == latest.started && record.sequence < latest.sequence);
  if (older) {
    return false;
  }
  latest = {record.started, record.sequence, offset, false,
            latest.leaving_start};
  record.draining =
      record.draining ||
      (latest.leaving_start && record.started <= *latest.leaving_start);
  RemovePreviousServersAt(record, offset);
  // Peers may have carried out a removal that is deferred here.
  const bool changed = found == servers_.end() || found->second.remove_at ||
                       !EqualsIgnoringSequence(found->second.record, record);
  Registration& it = servers_[record.id];
  it.warmup_end = now + record.warmup_left;
  it.remove_at.reset();
  it.record = std::move(record);
  if (changed) {
    it.offset = offset;
  }
  return changed;
}

void ServerRegistry::SetServices(std::set<std::string, std::less<>> services) {
  if (services == services_) {
    return;
  }
  services_ = std::move(services);
  std::map<std::string, std::vector<std::string>, std::less<>> ids_by_address;
  for (const auto& [id, it] : servers_) {
    ids_by_address[it.record.address].push_back(id);
  }
  for (const auto& [address, ids] : ids_by_address) {
    for (const std::string& id : ids) {
      const auto it = servers_.find(id);
      if (ids.size() > 1 && it != servers_.end()) {
        RemovePreviousServersAt(ServerRecord(it->second.record),
                                it->second.offset);
      }
    }
  }
}

/// An address belongs to the server that started last; a previous owner has
/// terminated.
void ServerRegistry::RemovePreviousServersAt(const ServerRecord& record,
                                             std::uint64_t offset) {
  if (!services_.contains(record.service)) {
    return;
  }
  std::vector<std::string> previous;
  for (const auto& [id, it] : servers_) {
    if (id != record.id && it.record.address == record.address &&
        it.record.started < record.started) {
      previous.push_back(id);
    }
  }
  for (const std::string& id : previous) {
    SetRemoved(latest_changes_[id], offset);
    servers_.erase(id);
  }
}

void ServerRegistry::SetRemoved(LatestChange& latest,
                                std::uint64_t offset) noexcept {
  latest.offset = std::max(latest.offset.value_or(0), offset);
  latest.removed = true;
}

bool ServerRegistry::Remove(std::string_view id, std::uint64_t offset,
                            core::Time now) {
  LatestChange& latest = latest_changes_[std::string(id)];
  if (latest.offset && *latest.offset > offset) {
    return false;
  }
  SetRemoved(latest, offset);
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return false;
  }
  if (now < defer_removals_until_) {
    it->second.remove_at = it->second.remove_at.value_or(defer_removals_until_);
    return false;
  }
  servers_.erase(it);
  return true;
}

std::vector<std::string> ServerRegistry::RemoveMissing(
    const std::set<std::string, std::less<>>& ids, std::uint64_t position,
    core::Time now) {
  SetCompleteUntil(position);
  std::vector<std::string> removed;
  if (position == 0) {
    return removed;
  }
  for (const auto& [id, it] : servers_) {
    if (!ids.contains(id)) {
      removed.push_back(id);
    }
  }
  // The removals came before `position`; a report at `position` is later.
  std::erase_if(removed, [&](const std::string& id) {
    return !Remove(id, position - 1, now);
  });
  return removed;
}

bool ServerRegistry::ApplyChange(const ServerChange& change, core::Time now) {
  if (change.removed) {
    return Remove(change.record.id, change.offset, now);
  }
  const bool changed = Apply(change.record, change.offset, now);
  // The server may have been removed and have registered again since it was
  // known here, so that others lack it even if its record is the same.
  const auto it = servers_.find(change.record.id);
  if (it != servers_.end()) {
    it->second.offset = std::max(it->second.offset, change.offset);
  }
  return changed;
}

bool ServerRegistry::MarkLeaving(std::string_view id, std::int64_t started) {
  LatestChange& latest = latest_changes_[std::string(id)];
  if (latest.leaving_start && *latest.leaving_start >= started) {
    return false;
  }
  latest.leaving_start = started;
  const auto it = servers_.find(id);
  if (it != servers_.end() && it->second.record.started <= started) {
    it->second.record.draining = true;
  }
  return true;
}

std::vector<ServerChange> ServerRegistry::ChangesSince(std::uint64_t offset,
                                                       core::Time now) const {
  std::vector<ServerChange> changes;
  for (const auto& [id, it] : servers_) {
    if (it.offset >= offset && !it.remove_at) {
      // The latest report orders the record among removals, also if it changed
      // nothing here.
      changes.push_back(
          {it.record, false, *latest_changes_.find(id)->second.offset});
      changes.back().record.warmup_left = std::max(
          core::Duration{},
          std::chrono::duration_cast<core::Duration>(it.warmup_end - now));
    }
  }
  for (const auto& [id, it] : latest_changes_) {
    if (it.removed && it.offset >= offset) {
      ServerChange change;
      change.record.id = id;
      change.removed = true;
      change.offset = *it.offset;
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

void ServerRegistry::DeferRemovals(core::Time until) noexcept {
  defer_removals_until_ = until;
  for (auto& [id, it] : servers_) {
    if (it.remove_at) {
      it.remove_at = std::min(*it.remove_at, until);
    }
  }
}

std::vector<std::string> ServerRegistry::ApplyDueRemovals(core::Time now) {
  std::vector<std::string> due;
  for (const auto& [id, it] : servers_) {
    if (it.remove_at && *it.remove_at <= now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    servers_.erase(id);
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
