#include "bambootack/membership/absence_watch.h"

#include <algorithm>

#include "bambootack/core/hash.h"

namespace bambootack::membership {
namespace {

/// Place of this VM in the hash order of those that may record a VM as gone.
std::size_t RankFor(const Member& absent, core::VmId self, const View& view) {
  const auto object = static_cast<std::uint64_t>(absent.incarnation) ^
                      static_cast<std::uint64_t>(absent.vm);
  const std::uint64_t own = core::RendezvousScore(object, self);
  const auto ahead = std::count_if(
      view.members.begin(), view.members.end(), [&](const Member& it) {
        return it.vm != absent.vm && core::RendezvousScore(object, it.vm) > own;
      });
  return std::min(static_cast<std::size_t>(ahead), kMaxGoneRank);
}

}  // namespace

void AbsenceWatch::Receive(const std::set<core::VmId>& listed, core::VmId self,
                           const View& view, core::Time now) {
  if (!listed.contains(self)) {
    absent_since_.clear();
    return;
  }
  if (now - last_list_ > kMaxListPause) {
    absent_since_.clear();
  }
  last_list_ = now;
  std::map<Process, core::Time> absent;
  for (const auto* list : {&view.members, &view.leaving}) {
    for (const Member& it : *list) {
      if (!listed.contains(it.vm)) {
        const Process process{it.vm, it.incarnation};
        const auto known = absent_since_.find(process);
        absent[process] = known == absent_since_.end() ? now : known->second;
      }
    }
  }
  absent_since_ = std::move(absent);
}

std::vector<Member> AbsenceWatch::Due(core::VmId self, const View& view) const {
  std::vector<Member> due;
  for (const auto* list : {&view.members, &view.leaving}) {
    for (const Member& it : *list) {
      const auto found = absent_since_.find({it.vm, it.incarnation});
      if (found == absent_since_.end()) {
        continue;
      }
      const auto wait =
          kVmListLag +
          kGoneBackOff * static_cast<std::int64_t>(RankFor(it, self, view));
      if (last_list_ - found->second > wait) {
        due.push_back(it);
      }
    }
  }
  return due;
}

}  // namespace bambootack::membership
