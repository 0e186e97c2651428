#include "bambootack/node/membership_role.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "bambootack/core/uuid.h"
#include "bambootack/membership/view_record_json.h"

namespace bambootack::node {
namespace {

using membership::ViewChange;

constexpr core::Duration kReadInterval = std::chrono::milliseconds(250);
constexpr core::Duration kListInterval = std::chrono::seconds(2);

/// Longest time for which an idle process waits for its partitions to be
/// acquired, since the log or the new owners may be unreachable.
constexpr core::Duration kHandOverLimit = std::chrono::seconds(5);

std::uint32_t Number(core::VmId vm) { return static_cast<std::uint32_t>(vm); }

core::Incarnation Next(core::Incarnation it) {
  return core::Incarnation{static_cast<std::uint64_t>(it) + 1};
}

/// Members, leaving members, and peers of the settings that are neither.
std::vector<membership::Member> Addresses(const membership::View& view,
                                          const settings::Settings& settings) {
  std::vector<membership::Member> list = view.members;
  list.insert(list.end(), view.leaving.begin(), view.leaving.end());
  for (const settings::Peer& peer : settings.peers) {
    const bool known = std::any_of(
        list.begin(), list.end(),
        [&](const membership::Member& it) { return it.vm == peer.vm; });
    if (!known) {
      list.push_back({peer.vm, {}, peer.address, peer.failure_domain});
    }
  }
  return list;
}

}  // namespace

std::vector<core::PartitionId> MembershipRole::Receive(const LogRead& event,
                                                       Context& context) {
  std::vector<core::PartitionId> changed;
  if (event.stream == kFleetStream) {
    reading_ = false;
  }
  if (event.stream != kFleetStream || !event.ok || gap_) {
    return changed;
  }
  if (event.first > position_ || event.next < position_) {
    gap_ = true;
    context.Log(log::EventId::kFleetLogGap,
                fmt::format("position={} first={} next={}", position_,
                            event.first, event.next));
    return changed;
  }
  const core::ViewNumber before = views_.Current().number;
  for (const LogRecord& record : event.records) {
    if (record.offset == position_) {
      Apply(record, context, changed);
      ++position_;
    }
  }
  if (position_ < event.next) {
    ReadSoon();
  } else {
    caught_up_ = true;
    if (auto again = appender_.ReadToEnd(context.now)) {
      context.Do(AppendLog{kFleetStream, again->id, again->body});
    }
  }
  if (views_.Current().number != before) {
    FollowOwnState(context);
  }
  if (caught_up_ && context.shared.view.number != views_.Current().number) {
    Publish(context);
  }
  std::sort(changed.begin(), changed.end());
  changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
  return changed;
}

void MembershipRole::Apply(const LogRecord& record, Context& context,
                           std::vector<core::PartitionId>& changed) {
  appender_.Seen(record.id);
  auto view_record = membership::FromJson(record.body);
  if (!view_record) {
    context.Log(log::EventId::kViewRecordRefused,
                fmt::format("offset={}", record.offset));
    return;
  }
  view_record->number = core::ViewNumber{record.offset + 1};
  if (!views_.Apply(*view_record)) {
    return;
  }
  const auto list = table_.Apply(*view_record);
  changed.insert(changed.end(), list.begin(), list.end());
  context.Log(
      log::EventId::kViewChanged,
      fmt::format("view={} change={} member={} partitions={}",
                  record.offset + 1,
                  membership::kViewChangeNames.Name(view_record->change),
                  Number(view_record->member.vm), list.size()));
}

void MembershipRole::FollowOwnState(Context& context) {
  const bool joined =
      joined_ != core::Incarnation{} &&
      views_.LastIncarnation(context.shared.settings.vm) >= joined_;
  if (!joined || IsMember(context.shared)) {
    return;
  }
  joined_ = core::Incarnation{};
  ended_ = true;
  if (!context.shared.stopping) {
    context.Log(log::EventId::kMembershipEnded, "");
  }
}

void MembershipRole::Publish(Context& context) {
  context.shared.view = views_.Current();
  context.Do(SetPeers{Addresses(context.shared.view, context.shared.settings)});
}

void MembershipRole::Receive(const LogAppended& event) {
  if (event.stream == kFleetStream) {
    appender_.Answered(event.id, event.ok);
    ReadSoon();
  }
}

void MembershipRole::Receive(const VmListRead& event, Context& context) {
  if (!event.ok) {
    return;
  }
  std::set<core::VmId> listed;
  for (const ListedVm& it : event.vms) {
    listed.insert(it.vm);
  }
  absence_.Receive(listed, context.shared.settings.vm, views_.Current(),
                   context.now);
}

void MembershipRole::Tick(bool handed_over, Context& context) {
  // One read at a time: a late answer to an earlier read ends below the
  // position and would look like a log that lost records.
  if (context.now >= next_read_ && !reading_) {
    reading_ = true;
    next_read_ = context.now + kReadInterval;
    context.Do(ReadLog{kFleetStream, position_});
  }
  if (context.now >= next_list_) {
    next_list_ = context.now + kListInterval;
    context.Do(ReadVmList{});
  }
  if (caught_up_ && !gap_ && !ended_ && !appender_.Busy()) {
    AppendWhatIsDue(handed_over, context);
  }
}

void MembershipRole::AppendWhatIsDue(bool handed_over, Context& context) {
  const settings::Settings& settings = context.shared.settings;
  const membership::Member* self = views_.Find(settings.vm);
  if (context.shared.stopping) {
    if (!IsMember(context.shared)) {
      return;
    }
    const auto& members = views_.Current().members;
    const bool owns =
        std::find(members.begin(), members.end(), *self) != members.end();
    if (owns) {
      Append(ViewChange::kLeaving, *self, context);
    } else if (handed_over) {
      Append(ViewChange::kLeave, *self, context);
    }
    return;
  }
  if (joined_ == core::Incarnation{}) {
    // A clock that was set back must not make this process older than the one
    // before it.
    joined_ = std::max(context.shared.incarnation,
                       Next(views_.LastIncarnation(settings.vm)));
    Append(
        ViewChange::kJoin,
        {settings.vm, joined_, settings.peer_address, settings.failure_domain},
        context);
    return;
  }
  const auto due = absence_.Due(settings.vm, views_.Current());
  if (!due.empty()) {
    context.Log(log::EventId::kVmRecordedGone,
                fmt::format("member={}", Number(due.front().vm)));
    Append(ViewChange::kGone, due.front(), context);
  }
}

void MembershipRole::Append(ViewChange change, membership::Member member,
                            Context& context) {
  membership::ViewRecord record;
  record.change = change;
  record.member = std::move(member);
  record.at = context.wall;
  const std::string id =
      core::Uuid::Make(context.wall, context.shared.random).ToString();
  std::string body = membership::ToJson(record);
  appender_.Start({id, body}, context.now);
  context.Do(AppendLog{kFleetStream, id, std::move(body)});
}

bool MembershipRole::IsMember(const Shared& shared) const noexcept {
  const membership::Member* self = views_.Find(shared.settings.vm);
  return self != nullptr && self->incarnation == joined_;
}

bool MembershipRole::StopComplete(Context& context) {
  if (!appender_.Busy() && !IsMember(context.shared)) {
    return true;
  }
  if (stop_by_ == core::Time{}) {
    stop_by_ = context.now + kHandOverLimit;
  }
  if (context.now < stop_by_) {
    return false;
  }
  context.Log(log::EventId::kHandOverIncomplete, "");
  return true;
}

}  // namespace bambootack::node
