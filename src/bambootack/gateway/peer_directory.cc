#include "bambootack/gateway/peer_directory.h"

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// First and longest exclusion of a peer that did not answer. Lost datagrams
/// are rare, while a VM that is stopped or partitioned remains so for seconds.
constexpr core::Duration kFirstExclusion = std::chrono::milliseconds(500);
constexpr core::Duration kMaxExclusion = std::chrono::milliseconds(4000);

/// A VM that shuts down still serves for some seconds and then terminates; a
/// new process announces itself.
constexpr core::Duration kLeavingExclusion = std::chrono::seconds(10);

}  // namespace

bool PeerDirectory::Add(membership::Member member) {
  if (member.vm == self_) {
    return false;
  }
  membership::Member& it = peers_[member.vm];
  const bool changed = it.address != member.address;
  it = std::move(member);
  return changed;
}

core::VmId PeerDirectory::ChooseDispatcher(std::string_view group,
                                           core::Time now) const {
  const std::uint64_t group_hash = core::HashBytes(group);
  core::VmId best = self_;
  std::uint64_t best_score = core::RendezvousScore(group_hash, self_);
  for (const auto& [vm, member] : peers_) {
    const std::uint64_t score = core::RendezvousScore(group_hash, vm);
    const auto exclusion = exclusions_.find(vm);
    const bool eligible =
        exclusion == exclusions_.end() || exclusion->second.until <= now;
    if (eligible && score > best_score) {
      best = vm;
      best_score = score;
    }
  }
  return best;
}

std::size_t PeerDirectory::RankOfSelf(std::string_view group) const {
  const std::uint64_t group_hash = core::HashBytes(group);
  const std::uint64_t own = core::RendezvousScore(group_hash, self_);
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
        return core::RendezvousScore(group_hash, it.first) > own;
      }));
}

void PeerDirectory::MarkUnresponsive(core::VmId vm, core::Time now) {
  Exclusion& it = exclusions_[vm];
  if (now < it.until) {
    return;
  }
  it.duration = it.duration.count() == 0
                    ? kFirstExclusion
                    : std::min(kMaxExclusion, it.duration * 2);
  it.until = now + it.duration;
}

void PeerDirectory::MarkLeaving(core::VmId vm, core::Time now) {
  exclusions_[vm] = {now + kLeavingExclusion, kFirstExclusion, true};
}

bool PeerDirectory::IsLeaving(core::VmId vm, core::Time now) const {
  const auto it = exclusions_.find(vm);
  return it != exclusions_.end() && it->second.leaving &&
         now < it->second.until;
}

void PeerDirectory::MarkResponsive(core::VmId vm) {
  const auto it = exclusions_.find(vm);
  if (it != exclusions_.end() && !it->second.leaving) {
    exclusions_.erase(it);
  }
}

std::vector<membership::Member> PeerDirectory::ListPeers() const {
  std::vector<membership::Member> result;
  result.reserve(peers_.size());
  for (const auto& [vm, member] : peers_) {
    result.push_back(member);
  }
  return result;
}

}  // namespace bambootack::gateway
