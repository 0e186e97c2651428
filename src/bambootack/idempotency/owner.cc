#include "bambootack/idempotency/owner.h"

#include <algorithm>
#include <map>

#include "bambootack/core/hash.h"
#include "bambootack/core/uuid.h"

namespace bambootack::idempotency {
namespace {

/// Time after which a request to an earlier owner without a reply is sent
/// again. With 300 partitions a request has about 0.6 KB, so one unresponsive
/// VM costs 0.6 KB/s.
constexpr core::Duration kAcquireRetryInterval = std::chrono::seconds(1);

/// Size from which the remaining partitions of a reply go into another message;
/// well below the codec's limit.
constexpr std::size_t kReplySplitBytes = 256 * 1024;

/// Limit on the bodies and header fields of a released partition; answers
/// beyond it are sent without them, so that a partition with the largest number
/// of records fits into one message.
constexpr std::size_t kMaxPartitionAnswerBytes = 256 * 1024;

/// Estimated encoded size of a record without its answer's body.
constexpr std::size_t kEstimatedRecordBytes = 160;

std::size_t EstimatedSizeOf(const wire::ReleasedPartition& part) {
  std::size_t bytes = kEstimatedRecordBytes;
  for (const wire::KeyState& it : part.keys) {
    bytes += kEstimatedRecordBytes + it.answer.http.body.size();
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
    if (bytes + size > kMaxPartitionAnswerBytes) {
      http.body.clear();
      http.headers = {{std::string(kBodyHeader), std::string(kBodyNotKept)}};
    } else {
      bytes += size;
    }
  }
}

}  // namespace

Owner::Owner(core::VmId self, KeyTableLimits limits)
    : self_(self), keys_(limits), partitions_(core::kPartitionCount) {}

void Owner::ApplyView(const membership::PartitionTable& table,
                      const std::vector<core::PartitionId>& changed,
                      core::Incarnation member, core::Time now) {
  view_ = table.Number();
  incarnation_ = member;
  for (const core::PartitionId id : changed) {
    UpdatePartition(id, table.At(id), now);
  }
  QueueAcquireRequests(now);
}

void Owner::UpdatePartition(core::PartitionId id,
                            const membership::Partition& row, core::Time now) {
  PartitionState& state = At(id);
  state.owned = row.owner == self_ && incarnation_ != core::Incarnation{};
  if (!state.owned) {
    acquiring_.erase(id);
    return;
  }
  if (state.tenure != row.since) {
    state.tenure = row.since;
    state.recorded_below = state.acquired_tenure;
    state.released_by.clear();
    state.next_request = now;
    acquiring_.insert(id);
  }
  if (state.acquired_tenure == state.tenure) {
    return;
  }
  state.awaited_owners = row.earlier;
  state.ended_owners = row.ended;
  TryFinishAcquisition(id);
}

void Owner::TryFinishAcquisition(core::PartitionId id) {
  PartitionState& state = At(id);
  const auto has_replied = [&](core::VmId vm, core::Incarnation incarnation) {
    return std::find(state.released_by.begin(), state.released_by.end(),
                     Process{vm, incarnation}) != state.released_by.end();
  };
  std::erase_if(state.awaited_owners, [&](const membership::EarlierOwner& it) {
    return it.end <= state.recorded_below || has_replied(it.vm, it.incarnation);
  });
  if (!state.awaited_owners.empty()) {
    return;
  }
  for (const membership::EndedOwner& it : state.ended_owners) {
    if (it.end > state.recorded_below && !has_replied(it.vm, it.incarnation)) {
      state.lost_until = std::max(state.lost_until,
                                  std::chrono::ceil<std::chrono::milliseconds>(
                                      it.at + kRecordLossMargin));
    }
  }
  state.acquired_tenure = state.tenure;
  state.recorded_below = state.tenure;
  state.released_to = core::kNoVm;
  state.ended_owners.clear();
  state.released_by.clear();
  acquiring_.erase(id);
}

void Owner::QueueAcquireRequests(core::Time now) {
  std::map<core::VmId, wire::AcquireRequest> requests;
  for (const core::PartitionId id : acquiring_) {
    PartitionState& state = At(id);
    if (now < state.next_request) {
      continue;
    }
    state.next_request = now + kAcquireRetryInterval;
    for (const membership::EarlierOwner& it : state.awaited_owners) {
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
  const PartitionState& state = At(core::PartitionOf(key));
  if (!state.owned) {
    return {Decision::kNotOwner, {}, nullptr};
  }
  // If the request of a later owner came before this VM read that owner's view,
  // the later owner executes the keys.
  const bool released = state.released_view >= state.tenure;
  if (state.acquired_tenure != state.tenure || released) {
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
  if (const auto reason = ReasonToRefuse(state, key, wall)) {
    return {Decision::kRefused, reason, nullptr};
  }
  keys_.Add(key, fingerprint);
  return {Decision::kExecute, {}, nullptr};
}

std::optional<core::ErrorKind> Owner::ReasonToRefuse(
    const PartitionState& state, const std::string& key,
    core::WallTime wall) const {
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
  if (created <= state.lost_until) {
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
    QueueKeyUpdate(key, now);
  }
}

void Owner::QueueKeyUpdate(const std::string& key, core::Time now) {
  const core::PartitionId id = core::PartitionOf(key);
  const core::VmId to = At(id).released_to;
  if (to != core::kNoVm) {
    messages_.push_back({to, wire::KeyUpdate{id, keys_.Export(key, now)}});
  }
}

void Owner::OnMessage(core::VmId from, const wire::AcquireRequest& request,
                      core::Time now) {
  awaited_view_ = std::max(awaited_view_, request.view);
  wire::AcquireReply reply{incarnation_, request.view, {}};
  std::size_t bytes = 0;
  for (const core::PartitionId id : request.partitions) {
    if (static_cast<std::size_t>(id) >= partitions_.size()) {
      continue;
    }
    reply.partitions.push_back(ReleasePartition(from, request.view, id, now));
    bytes += EstimatedSizeOf(reply.partitions.back());
    if (bytes >= kReplySplitBytes) {
      messages_.push_back({from, reply});
      reply.partitions.clear();
      bytes = 0;
    }
  }
  if (!reply.partitions.empty()) {
    messages_.push_back({from, std::move(reply)});
  }
}

wire::ReleasedPartition Owner::ReleasePartition(core::VmId to,
                                                core::ViewNumber view,
                                                core::PartitionId id,
                                                core::Time now) {
  PartitionState& state = At(id);
  const core::ViewNumber own_tenure =
      state.owned ? state.tenure : core::ViewNumber{};
  const core::ViewNumber latest_view =
      std::max(own_tenure, state.released_view);
  wire::ReleasedPartition part;
  part.partition = id;
  if (latest_view > view) {
    part.released_view = latest_view;
    return part;
  }
  state.released_view = view;
  state.released_to = to;
  part.released_view = view;
  part.acquired_view = state.acquired_tenure;
  part.lost_until = state.lost_until;
  for (const std::string& key : keys_.KeysOf(id)) {
    part.keys.push_back(keys_.Export(key, now));
  }
  DropLargeBodies(part.keys);
  return part;
}

void Owner::OnMessage(core::VmId from, const wire::AcquireReply& reply,
                      core::Time now) {
  for (const wire::ReleasedPartition& part : reply.partitions) {
    if (static_cast<std::size_t>(part.partition) < partitions_.size()) {
      ImportPartition(from, reply, part, now);
    }
  }
}

void Owner::ImportPartition(core::VmId from, const wire::AcquireReply& reply,
                            const wire::ReleasedPartition& part,
                            core::Time now) {
  if (part.released_view > reply.view) {
    awaited_view_ = std::max(awaited_view_, part.released_view);
    return;
  }
  PartitionState& state = At(part.partition);
  // A late reply to a request of an earlier tenure proves nothing about what
  // was executed between the two tenures.
  const bool expected = state.owned && state.acquired_tenure != state.tenure &&
                        reply.view >= state.tenure;
  if (!expected) {
    return;
  }
  for (const wire::KeyState& it : part.keys) {
    keys_.Import(it, now);
  }
  state.lost_until = std::max(state.lost_until, part.lost_until);
  state.recorded_below = std::max(state.recorded_below, part.acquired_view);
  state.released_by.emplace_back(from, reply.incarnation);
  TryFinishAcquisition(part.partition);
}

void Owner::OnMessage(const wire::KeyUpdate& update, core::Time now) {
  if (keys_.Import(update.key, now)) {
    QueueKeyUpdate(update.key.key, now);
  }
}

void Owner::OnTimer(core::Time now) {
  QueueAcquireRequests(now);
  keys_.EraseExpired(now);
}

std::vector<OwnerMessage> Owner::TakeMessages() {
  return std::exchange(messages_, {});
}

bool Owner::IsHandedOver(const membership::PartitionTable& table) const {
  for (std::size_t i = 0; i < partitions_.size(); ++i) {
    const PartitionState& state = partitions_[i];
    const bool held = state.acquired_tenure > state.released_view;
    if (held &&
        table.At(static_cast<core::PartitionId>(i)).owner != core::kNoVm) {
      return false;
    }
  }
  return true;
}

}  // namespace bambootack::idempotency
