#include "bambootack/idempotency/owner.h"

#include <algorithm>
#include <map>

#include "bambootack/core/hash.h"
#include "bambootack/core/uuid.h"

namespace bambootack::idempotency {
namespace {

/// An earlier owner that does not answer is asked again; with 300 partitions a
/// request has about 0.6 KB, so that one silent VM costs 0.6 KB/s.
constexpr core::Duration kRequestInterval = std::chrono::seconds(1);

/// Size at which the partitions of a reply are spread over another message,
/// well below the limit of the codec.
constexpr std::size_t kReplyBytes = 256 * 1024;

/// Bodies beyond this are left out when a partition travels, so that it fits
/// into one message with its largest number of records.
constexpr std::size_t kPartitionAnswerBytes = 256 * 1024;

/// Estimate of a travelling record without its answer's body.
constexpr std::size_t kRecordBytes = 160;

std::size_t SizeOf(const wire::ReleasedPartition& part) {
  std::size_t bytes = kRecordBytes;
  for (const wire::KeyState& it : part.keys) {
    bytes += kRecordBytes + it.answer.http.body.size();
  }
  return bytes;
}

void DropLargeBodies(std::vector<wire::KeyState>& keys) {
  std::size_t bytes = 0;
  for (wire::KeyState& it : keys) {
    core::HttpAnswer& http = it.answer.http;
    std::size_t size = http.body.size();
    for (const core::HeaderField& field : http.headers) {
      size += field.name.size() + field.value.size();
    }
    if (bytes + size > kPartitionAnswerBytes) {
      http.body.clear();
      http.headers = {{std::string(kBodyHeader), std::string(kBodyNotKept)}};
    } else {
      bytes += size;
    }
  }
}

}  // namespace

Owner::Owner(core::VmId self, KeyTableLimits limits)
    : self_(self), keys_(limits), slots_(core::kPartitionCount) {}

void Owner::ApplyView(const membership::PartitionTable& table,
                      const std::vector<core::PartitionId>& changed,
                      core::Incarnation member, core::Time now) {
  view_ = table.Number();
  member_ = member;
  for (const core::PartitionId id : changed) {
    Refresh(id, table.At(id), now);
  }
  SendRequests(now);
}

void Owner::Refresh(core::PartitionId id, const membership::Partition& row,
                    core::Time now) {
  Slot& slot = At(id);
  slot.mine = row.owner == self_ && member_ != core::Incarnation{};
  if (!slot.mine) {
    acquiring_.erase(id);
    return;
  }
  if (slot.since != row.since) {
    slot.since = row.since;
    slot.covered = slot.acquired;
    slot.replied.clear();
    slot.next_send = now;
    acquiring_.insert(id);
  }
  if (slot.acquired == slot.since) {
    return;
  }
  slot.waiting = row.earlier;
  slot.ended = row.ended;
  FinishIfComplete(id);
}

void Owner::FinishIfComplete(core::PartitionId id) {
  Slot& slot = At(id);
  const auto has_replied = [&](core::VmId vm, core::Incarnation incarnation) {
    return std::find(slot.replied.begin(), slot.replied.end(),
                     Process{vm, incarnation}) != slot.replied.end();
  };
  std::erase_if(slot.waiting, [&](const membership::EarlierOwner& it) {
    return it.end <= slot.covered || has_replied(it.vm, it.incarnation);
  });
  if (!slot.waiting.empty()) {
    return;
  }
  for (const membership::EndedOwner& it : slot.ended) {
    if (it.end > slot.covered && !has_replied(it.vm, it.incarnation)) {
      slot.lost_until = std::max(slot.lost_until,
                                 std::chrono::ceil<std::chrono::milliseconds>(
                                     it.at + kRecordLossMargin));
    }
  }
  slot.acquired = slot.since;
  slot.covered = slot.since;
  slot.released_to = core::kNoVm;
  slot.ended.clear();
  slot.replied.clear();
  acquiring_.erase(id);
}

void Owner::SendRequests(core::Time now) {
  std::map<core::VmId, wire::AcquireRequest> requests;
  for (const core::PartitionId id : acquiring_) {
    Slot& slot = At(id);
    if (now < slot.next_send) {
      continue;
    }
    slot.next_send = now + kRequestInterval;
    for (const membership::EarlierOwner& it : slot.waiting) {
      requests[it.vm].partitions.push_back(id);
    }
  }
  for (auto& [vm, request] : requests) {
    request.view = view_;
    messages_.push_back({vm, std::move(request)});
  }
}

BeginResult Owner::Begin(const std::string& key, std::uint64_t fingerprint,
                         core::WallTime wall) {
  const Slot& slot = At(core::PartitionOf(key));
  if (!slot.mine) {
    return {Decision::kNotOwner, {}, nullptr};
  }
  // A later owner that asked before this VM has read its view runs the keys.
  const bool released = slot.released >= slot.since;
  if (slot.acquired != slot.since || released) {
    return {Decision::kMoving, {}, nullptr};
  }
  if (const KeyRecord* record = keys_.Find(key)) {
    if (record->fingerprint != fingerprint) {
      return {Decision::kRefused, core::ErrorKind::kKeyMismatch, nullptr};
    }
    return record->phase == KeyPhase::kPending
               ? BeginResult{Decision::kWait, {}, nullptr}
               : BeginResult{Decision::kAnswer, {}, &record->answer};
  }
  if (const auto reason = ReasonNotToRun(slot, key, wall)) {
    return {Decision::kRefused, reason, nullptr};
  }
  keys_.Add(key, fingerprint);
  return {Decision::kExecute, {}, nullptr};
}

std::optional<core::ErrorKind> Owner::ReasonNotToRun(
    const Slot& slot, const std::string& key, core::WallTime wall) const {
  const auto uuid = core::Uuid::Parse(key);
  if (!uuid) {
    return core::ErrorKind::kKeyInvalid;
  }
  const core::WallTime created = uuid->CreatedAt();
  if (created > wall + kMaxClockSkew) {
    return core::ErrorKind::kKeyInFuture;
  }
  if (created + kRetention <= wall) {
    return core::ErrorKind::kKeyExpired;
  }
  if (created <= slot.lost_until) {
    return core::ErrorKind::kRecordLost;
  }
  if (!keys_.HasCapacity(core::PartitionOf(key))) {
    return core::ErrorKind::kOverloaded;
  }
  return std::nullopt;
}

void Owner::Complete(const std::string& key, wire::Answer answer,
                     core::Time now) {
  RecordOutcome(key, std::move(answer), now);
}

void Owner::RecordNotExecuted(const std::string& key, wire::Answer answer,
                              core::Time now) {
  answer.outcome = core::Outcome::kNotRun;
  RecordOutcome(key, std::move(answer), now);
}

void Owner::RecordOutcome(const std::string& key, wire::Answer answer,
                          core::Time now) {
  if (keys_.RecordOutcome(key, std::move(answer), now)) {
    SendUpdate(key, now);
  }
}

void Owner::SendUpdate(const std::string& key, core::Time now) {
  const core::PartitionId id = core::PartitionOf(key);
  const core::VmId to = At(id).released_to;
  if (to != core::kNoVm) {
    messages_.push_back({to, wire::KeyUpdate{id, keys_.Export(key, now)}});
  }
}

void Owner::OnMessage(core::VmId from, const wire::AcquireRequest& request,
                      core::Time now) {
  awaited_ = std::max(awaited_, request.view);
  wire::AcquireReply reply{member_, request.view, {}};
  std::size_t bytes = 0;
  for (const core::PartitionId id : request.partitions) {
    if (static_cast<std::size_t>(id) >= slots_.size()) {
      continue;
    }
    reply.partitions.push_back(Release(from, request.view, id, now));
    bytes += SizeOf(reply.partitions.back());
    if (bytes >= kReplyBytes) {
      messages_.push_back({from, reply});
      reply.partitions.clear();
      bytes = 0;
    }
  }
  if (!reply.partitions.empty()) {
    messages_.push_back({from, std::move(reply)});
  }
}

wire::ReleasedPartition Owner::Release(core::VmId to, core::ViewNumber view,
                                       core::PartitionId id, core::Time now) {
  Slot& slot = At(id);
  const core::ViewNumber own = slot.mine ? slot.since : core::ViewNumber{};
  const core::ViewNumber later = std::max(own, slot.released);
  wire::ReleasedPartition part;
  part.partition = id;
  if (later > view) {
    part.released_view = later;
    return part;
  }
  slot.released = view;
  slot.released_to = to;
  part.released_view = view;
  part.acquired_view = slot.acquired;
  part.lost_until = slot.lost_until;
  for (const std::string& key : keys_.KeysOf(id)) {
    part.keys.push_back(keys_.Export(key, now));
  }
  DropLargeBodies(part.keys);
  return part;
}

void Owner::OnMessage(core::VmId from, const wire::AcquireReply& reply,
                      core::Time now) {
  for (const wire::ReleasedPartition& part : reply.partitions) {
    if (static_cast<std::size_t>(part.partition) < slots_.size()) {
      Accept(from, reply, part, now);
    }
  }
}

void Owner::Accept(core::VmId from, const wire::AcquireReply& reply,
                   const wire::ReleasedPartition& part, core::Time now) {
  if (part.released_view > reply.view) {
    awaited_ = std::max(awaited_, part.released_view);
    return;
  }
  Slot& slot = At(part.partition);
  // A late reply to a request of an earlier tenure proves nothing about what
  // ran between the two tenures.
  const bool expected =
      slot.mine && slot.acquired != slot.since && reply.view >= slot.since;
  if (!expected) {
    return;
  }
  for (const wire::KeyState& it : part.keys) {
    keys_.Import(it, now);
  }
  slot.lost_until = std::max(slot.lost_until, part.lost_until);
  slot.covered = std::max(slot.covered, part.acquired_view);
  slot.replied.emplace_back(from, reply.incarnation);
  FinishIfComplete(part.partition);
}

void Owner::OnMessage(const wire::KeyUpdate& update, core::Time now) {
  if (keys_.Import(update.key, now)) {
    SendUpdate(update.key.key, now);
  }
}

void Owner::OnTimer(core::Time now) {
  SendRequests(now);
  keys_.EraseExpired(now);
}

std::vector<OwnerMessage> Owner::TakeMessages() {
  return std::exchange(messages_, {});
}

bool Owner::IsHandedOver(const membership::PartitionTable& table) const {
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    const Slot& slot = slots_[i];
    const bool held = slot.acquired > slot.released;
    if (held &&
        table.At(static_cast<core::PartitionId>(i)).owner != core::kNoVm) {
      return false;
    }
  }
  return true;
}

}  // namespace bambootack::idempotency
