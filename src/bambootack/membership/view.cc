#include "bambootack/membership/view.h"

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::membership {
namespace {

constexpr std::uint64_t kPartitionSeed = 0x9E3779B97F4A7C15ULL;

std::uint64_t PartitionHash(core::PartitionId partition) noexcept {
  return (static_cast<std::uint64_t>(partition) + 1) * kPartitionSeed;
}

}  // namespace

std::uint64_t PartitionScore(core::PartitionId partition,
                             core::VmId vm) noexcept {
  return core::RendezvousScore(PartitionHash(partition), vm);
}

core::VmId OwnerOf(const View& view, core::PartitionId partition) noexcept {
  core::VmId best = core::kNoVm;
  std::uint64_t best_score = 0;
  for (const Member& it : view.members) {
    const std::uint64_t score = PartitionScore(partition, it.vm);
    if (best == core::kNoVm || score > best_score) {
      best = it.vm;
      best_score = score;
    }
  }
  return best;
}

std::vector<core::VmId> DispatcherOrder(const View& view,
                                        const config::GroupKey& group,
                                        std::size_t count) {
  const std::uint64_t object = core::HashBytes(config::ToString(group));
  const bool domain_has_members = std::any_of(
      view.members.begin(), view.members.end(), [&](const Member& it) {
        return it.failure_domain == group.failure_domain;
      });
  std::vector<std::pair<std::uint64_t, core::VmId>> scores;
  for (const Member& it : view.members) {
    if (!domain_has_members || it.failure_domain == group.failure_domain) {
      scores.emplace_back(core::RendezvousScore(object, it.vm), it.vm);
    }
  }
  std::sort(scores.rbegin(), scores.rend());
  std::vector<core::VmId> order;
  for (std::size_t i = 0; i < std::min(count, scores.size()); ++i) {
    order.push_back(scores[i].second);
  }
  return order;
}

}  // namespace bambootack::membership
