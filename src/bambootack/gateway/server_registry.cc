#include "bambootack/gateway/server_registry.h"

#include <algorithm>
#include <utility>

namespace bambootack::gateway {
namespace {

/// Servers that live write their lapsed entries again within two seconds of
/// the store's return (letter 2).
constexpr core::Duration kReturnTime = std::chrono::milliseconds(2000);

bool SameButSequence(ServerRecord a, const ServerRecord& b) {
  a.sequence = b.sequence;
  a.warmup_left = b.warmup_left;
  return a == b;
}

}  // namespace

bool ServerRegistry::Apply(ServerRecord record, std::uint64_t position,
                           core::Time now) {
  Newest& newest = newest_[record.id];
  const bool older = record.started < newest.started ||
                     (record.started == newest.started &&
                      record.sequence < newest.sequence);
  if (older) {
    return false;
  }
  newest = {record.started, record.sequence, 0};
  DropFormerHolder(record, position);
  const auto found = servers_.find(record.id);
  const bool changed = found == servers_.end() ||
                       !SameButSequence(found->second.record, record);
  Registration& it = servers_[record.id];
  it.warm_at = now + record.warmup_left;
  it.remove_at.reset();
  it.record = std::move(record);
  if (changed) {
    it.position = position;
  }
  return changed;
}

/// An address belongs to the server that started last; the one that had it
/// before has ended.
void ServerRegistry::DropFormerHolder(const ServerRecord& record,
                                      std::uint64_t position) {
  std::vector<std::string> former;
  for (const auto& [id, it] : servers_) {
    if (id != record.id && it.record.address == record.address &&
        it.record.started < record.started) {
      former.push_back(id);
    }
  }
  for (const std::string& id : former) {
    Erase(id, position);
  }
}

void ServerRegistry::Erase(std::string_view id, std::uint64_t position) {
  newest_.find(id)->second.gone_at = position;
  servers_.erase(servers_.find(id));
}

bool ServerRegistry::Remove(std::string_view id, std::uint64_t position,
                            core::Time now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return false;
  }
  if (store_lost_ || (hold_until_ && now < *hold_until_)) {
    it->second.remove_at = hold_until_.value_or(now + kReturnTime);
    it->second.position = position;
    return false;
  }
  Erase(id, position);
  return true;
}

bool ServerRegistry::Adopt(const ServerChange& change, std::uint64_t position,
                           core::Time now) {
  if (!change.gone) {
    return Apply(change.record, position, now);
  }
  const auto found = servers_.find(change.record.id);
  const bool newer = found != servers_.end() &&
                     (found->second.record.started > change.record.started ||
                      (found->second.record.started == change.record.started &&
                       found->second.record.sequence > change.record.sequence));
  if (newer) {
    return false;
  }
  Newest& newest = newest_[change.record.id];
  newest.started = std::max(newest.started, change.record.started);
  newest.gone_at = position;
  return servers_.erase(change.record.id) > 0;
}

std::vector<ServerChange> ServerRegistry::Since(std::uint64_t position,
                                                core::Time now) const {
  std::vector<ServerChange> changes;
  for (const auto& [id, it] : servers_) {
    if (it.position > position) {
      changes.push_back({it.record, false});
      changes.back().record.warmup_left = std::max(
          core::Duration{},
          std::chrono::duration_cast<core::Duration>(it.warm_at - now));
    }
  }
  for (const auto& [id, it] : newest_) {
    if (it.gone_at > position) {
      ServerChange change;
      change.record.id = id;
      change.record.started = it.started;
      change.record.sequence = it.sequence;
      change.gone = true;
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

void ServerRegistry::StoreLost(core::Time /*now*/) noexcept {
  store_lost_ = true;
}

void ServerRegistry::StoreFound(core::Time now) noexcept {
  if (std::exchange(store_lost_, false)) {
    hold_until_ = now + kReturnTime;
  }
}

bool ServerRegistry::Expire(core::Time now) {
  std::vector<std::string> due;
  for (const auto& [id, it] : servers_) {
    if (it.remove_at && *it.remove_at <= now) {
      due.push_back(id);
    }
  }
  for (const std::string& id : due) {
    Erase(id, servers_.find(id)->second.position);
  }
  return !due.empty();
}

std::optional<core::Time> ServerRegistry::NextDue() const noexcept {
  std::optional<core::Time> due;
  for (const auto& [id, it] : servers_) {
    if (it.remove_at && (!due || *it.remove_at < *due)) {
      due = it.remove_at;
    }
  }
  return due;
}

}  // namespace bambootack::gateway
