#include "bambootack/membership/view_log.h"

#include <algorithm>

namespace bambootack::membership {
namespace {

/// Finds the same process: a record names both the VM and its incarnation.
auto FindProcess(std::vector<Member>& members, const Member& member) {
  return std::find_if(members.begin(), members.end(), [&](const Member& it) {
    return it.vm == member.vm && it.incarnation == member.incarnation;
  });
}

}  // namespace

bool ViewLog::Apply(const ViewRecord& record) {
  bool changed = false;
  switch (record.change) {
    case ViewChange::kJoin:
      changed = Join(record.member);
      break;
    case ViewChange::kLeaving:
      changed = Leave(record.member);
      break;
    case ViewChange::kLeave:
    case ViewChange::kGone:
      changed = Remove(record.member);
      break;
  }
  if (changed) {
    view_.number = record.number;
  }
  return changed;
}

core::Incarnation ViewLog::LastIncarnation(core::VmId vm) const {
  const auto it = last_.find(vm);
  return it == last_.end() ? core::Incarnation{} : it->second;
}

const Member* ViewLog::Find(core::VmId vm) const noexcept {
  for (const auto* list : {&view_.members, &view_.leaving}) {
    for (const Member& it : *list) {
      if (it.vm == vm) {
        return &it;
      }
    }
  }
  return nullptr;
}

bool ViewLog::Join(const Member& member) {
  core::Incarnation& last = last_[member.vm];
  if (member.incarnation <= last) {
    return false;
  }
  last = member.incarnation;
  const auto same_vm = [&](const Member& it) { return it.vm == member.vm; };
  std::erase_if(view_.members, same_vm);
  std::erase_if(view_.leaving, same_vm);
  view_.members.push_back(member);
  return true;
}

bool ViewLog::Leave(const Member& member) {
  const auto it = FindProcess(view_.members, member);
  if (it == view_.members.end()) {
    return false;
  }
  view_.leaving.push_back(*it);
  view_.members.erase(it);
  return true;
}

bool ViewLog::Remove(const Member& member) {
  for (auto* list : {&view_.members, &view_.leaving}) {
    const auto it = FindProcess(*list, member);
    if (it != list->end()) {
      list->erase(it);
      return true;
    }
  }
  return false;
}

}  // namespace bambootack::membership
