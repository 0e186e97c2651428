#include "bambootack/gateway/state_sync.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// Knowledge older than this is not relied on. Draining servers get no work
/// 2 s after their report, and a change of configuration is in force after 2 s;
/// what is left suffices for a read of one's own.
constexpr core::Duration kFreshTime = std::chrono::milliseconds(1500);

/// A reader that told nothing fresh is passed over for this long, unless it
/// tells something before.
constexpr core::Duration kSilentTime = std::chrono::seconds(10);

/// Pause between two questions.
constexpr core::Duration kAskPause = std::chrono::milliseconds(250);

/// A VM that others are ahead of, and that cannot get from them what it lacks,
/// reads for itself after this.
constexpr core::Duration kBehindTime = std::chrono::milliseconds(500);

}  // namespace

core::VmId StateSync::ReaderOfDomain(core::Time now) const {
  const std::uint64_t object = core::HashBytes("reader/" + failure_domain_);
  core::VmId best = self_;
  std::uint64_t best_score = core::RendezvousScore(object, self_);
  for (const auto& [vm, member] : broker_.Peers()) {
    if (member.failure_domain != failure_domain_) {
      continue;
    }
    const auto silent = silent_until_.find(vm);
    const bool usable =
        (silent == silent_until_.end() || silent->second <= now) &&
        !broker_.IsLeaving(vm, now);
    const std::uint64_t score = core::RendezvousScore(object, vm);
    if (usable && score > best_score) {
      best = vm;
      best_score = score;
    }
  }
  return best;
}

core::Time StateSync::FreshUntil() const {
  return confirmed_ ? *confirmed_ + kFreshTime : patience_until_;
}

bool StateSync::ShouldReadStore(core::Time now) const {
  const bool left_behind = behind_since_ && now >= *behind_since_ + kBehindTime;
  return now >= FreshUntil() || left_behind ||
         ((confirmed_ || settled_) && IsStoreReader(now));
}

void StateSync::CheckBehind(core::Time now) {
  if (heard_position_ <= position_ && heard_version_ <= Version()) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
}

void StateSync::RecordStoreRead(std::uint64_t position, core::Time confirmed,
                                core::Time now) {
  position_ = std::max(position_, position);
  confirmed_ = std::max(confirmed_.value_or(confirmed), confirmed);
  CheckBehind(now);
  if (IsStoreReader(now)) {
    Announce(now);
  }
}

void StateSync::UpdateConfig(const GatewayConfig& config, core::Time now) {
  config_ = config;
  CheckBehind(now);
  if (confirmed_ && IsStoreReader(now)) {
    Announce(now);
  }
}

StateUpdate StateSync::UpdateSince(std::uint64_t position,
                                   core::Time now) const {
  StateUpdate update;
  update.from = position;
  update.position = position_;
  update.age = std::chrono::duration_cast<core::Duration>(
      now - confirmed_.value_or(core::Time{}));
  update.servers = registry_.ChangesSince(position, now);
  update.config_version = Version();
  return update;
}

void StateSync::Announce(core::Time now) {
  const StateUpdate update = UpdateSince(announced_, now);
  announced_ = position_;
  for (const auto& [vm, member] : broker_.Peers()) {
    if (member.failure_domain == failure_domain_) {
      outgoing_.emplace_back(vm, update);
    }
  }
}

void StateSync::Ask(core::VmId vm, core::Time now) {
  if (now >= ask_at_) {
    ask_at_ = now + kAskPause;
    outgoing_.emplace_back(vm, StateQuery{position_, Version()});
  }
}

std::vector<ServerChange> StateSync::Receive(core::VmId from,
                                             const StateUpdate& update,
                                             core::Time now) {
  std::vector<ServerChange> changed;
  heard_position_ = std::max(heard_position_, update.position);
  heard_version_ = std::max(heard_version_, update.config_version);
  if (update.from > position_) {
    CheckBehind(now);
    Ask(from, now);
    return changed;
  }
  for (const ServerChange& it : update.servers) {
    if (registry_.ApplyChange(it, now)) {
      changed.push_back(it);
    }
  }
  position_ = std::max(position_, update.position);
  const core::Time confirmed = now - update.age;
  if (!confirmed_ || *confirmed_ < confirmed) {
    confirmed_ = confirmed;
  }
  if (update.age < kFreshTime) {
    silent_until_.erase(from);
  }
  CheckBehind(now);
  if (!update.config && update.config_version > Version()) {
    Ask(from, now);
  }
  return changed;
}

void StateSync::Receive(core::VmId from, const StateQuery& ask,
                        core::Time now) {
  if (!confirmed_) {
    return;
  }
  StateUpdate update = UpdateSince(ask.position, now);
  if (config_ && config_->version > ask.config_version) {
    update.config = config_;
  }
  outgoing_.emplace_back(from, std::move(update));
}

void StateSync::OnTimer(core::Time now, core::Random& random) {
  const bool fresh = confirmed_ && now < FreshUntil();
  if ((fresh && !behind_since_) || now < ask_at_) {
    return;
  }
  const core::VmId reader = ReaderOfDomain(now);
  if (confirmed_ && !fresh && reader != self_) {
    silent_until_[reader] = now + kSilentTime;
  }
  const auto& others = broker_.Peers();
  if (!others.empty()) {
    const auto step = static_cast<std::ptrdiff_t>(random.Below(others.size()));
    Ask(std::next(others.begin(), step)->first, now);
  } else {
    ask_at_ = now + kAskPause;
  }
}

core::Time StateSync::NextTimer() const {
  const bool wait_for_age = confirmed_ && !behind_since_;
  return std::max(wait_for_age ? FreshUntil() : core::Time{}, ask_at_);
}

}  // namespace bambootack::gateway
