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

bool ServerRegistry::Apply(ServerRecord record, core::Time now) {
  Newest& newest = newest_[record.id];
  const bool older = record.started < newest.started ||
                     (record.started == newest.started &&
                      record.sequence < newest.sequence);
  if (older) {
    return false;
  }
  newest = {record.started, record.sequence};
  DropFormerHolder(record);
  const auto found = servers_.find(record.id);
  const bool changed = found == servers_.end() ||
                       !SameButSequence(found->second.record, record);
  Registration& it = servers_[record.id];
  it.warm_at = now + record.warmup_left;
  it.remove_at.reset();
  it.record = std::move(record);
  return changed;
}

/// An address belongs to the server that started last; the one that had it
/// before has ended.
void ServerRegistry::DropFormerHolder(const ServerRecord& record) {
  std::erase_if(servers_, [&](const auto& it) {
    return it.first != record.id &&
           it.second.record.address == record.address &&
           it.second.record.started < record.started;
  });
}

bool ServerRegistry::Remove(std::string_view id, core::Time now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return false;
  }
  if (store_lost_ || (hold_until_ && now < *hold_until_)) {
    it->second.remove_at = hold_until_.value_or(now + kReturnTime);
    return false;
  }
  servers_.erase(it);
  return true;
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
  return std::erase_if(servers_, [&](const auto& it) {
           return it.second.remove_at && *it.second.remove_at <= now;
         }) > 0;
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
