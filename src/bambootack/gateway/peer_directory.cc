#include "bambootack/gateway/peer_directory.h"

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// A lost datagram is rare; a VM that is stopped or cut off stays so for
/// seconds.
constexpr core::Duration kFirstSuspicion = std::chrono::milliseconds(500);
constexpr core::Duration kLongestSuspicion = std::chrono::milliseconds(4000);

/// A stopping VM serves for some seconds, then ends; a new process introduces
/// itself.
constexpr core::Duration kLeavingTime = std::chrono::seconds(10);

}  // namespace

bool PeerDirectory::Add(membership::Member member) {
  if (member.vm == self_) {
    return false;
  }
  membership::Member& it = members_[member.vm];
  const bool changed = it.address != member.address;
  it = std::move(member);
  return changed;
}

core::VmId PeerDirectory::ChooseDispatcher(std::string_view service,
                                           core::Time now) const {
  const std::uint64_t object = core::HashBytes(service);
  core::VmId best = self_;
  std::uint64_t best_score = core::RendezvousScore(object, self_);
  for (const auto& [vm, member] : members_) {
    const std::uint64_t score = core::RendezvousScore(object, vm);
    const auto suspicion = suspicions_.find(vm);
    const bool usable =
        suspicion == suspicions_.end() || suspicion->second.until <= now;
    if (usable && score > best_score) {
      best = vm;
      best_score = score;
    }
  }
  return best;
}

std::size_t PeerDirectory::RankOfSelf(std::string_view service) const {
  const std::uint64_t object = core::HashBytes(service);
  const std::uint64_t own = core::RendezvousScore(object, self_);
  return static_cast<std::size_t>(
      std::count_if(members_.begin(), members_.end(), [&](const auto& it) {
        return core::RendezvousScore(object, it.first) > own;
      }));
}

void PeerDirectory::MarkUnresponsive(core::VmId vm, core::Time now) {
  Suspicion& it = suspicions_[vm];
  if (now < it.until) {
    return;
  }
  it.length = it.length.count() == 0
                  ? kFirstSuspicion
                  : std::min(kLongestSuspicion, it.length * 2);
  it.until = now + it.length;
}

void PeerDirectory::MarkLeaving(core::VmId vm, core::Time now) {
  suspicions_[vm] = {now + kLeavingTime, kFirstSuspicion, true};
}

bool PeerDirectory::IsLeaving(core::VmId vm, core::Time now) const {
  const auto it = suspicions_.find(vm);
  return it != suspicions_.end() && it->second.leaving &&
         now < it->second.until;
}

void PeerDirectory::MarkResponsive(core::VmId vm) {
  const auto it = suspicions_.find(vm);
  if (it != suspicions_.end() && !it->second.leaving) {
    suspicions_.erase(it);
  }
}

std::vector<membership::Member> PeerDirectory::ListPeers() const {
  std::vector<membership::Member> result;
  result.reserve(members_.size());
  for (const auto& [vm, member] : members_) {
    result.push_back(member);
  }
  return result;
}

}  // namespace bambootack::gateway
