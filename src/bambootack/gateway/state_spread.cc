#include "bambootack/gateway/state_spread.h"

#include <algorithm>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// Knowledge older than this is not relied on. Draining servers get no work
/// 2 s after their report, and a change of configuration is in force after 2 s;
/// what is left suffices for a read of one's own.
constexpr core::Duration kFreshTime = std::chrono::milliseconds(1500);

/// A reader that told nothing fresh is passed over for this long.
constexpr core::Duration kSilentTime = std::chrono::milliseconds(3000);

/// Pause between two questions.
constexpr core::Duration kAskPause = std::chrono::milliseconds(250);

}  // namespace

core::VmId StateSpread::ReaderOfDomain(core::Time now) const {
  const std::uint64_t object = core::HashBytes("reader/" + failure_domain_);
  core::VmId best = self_;
  std::uint64_t best_score = core::RendezvousScore(object, self_);
  for (const membership::Member& it : broker_.Others()) {
    const auto silent = silent_until_.find(it.vm);
    const bool usable =
        it.failure_domain == failure_domain_ &&
        (silent == silent_until_.end() || silent->second <= now) &&
        !broker_.IsLeaving(it.vm, now);
    const std::uint64_t score = core::RendezvousScore(object, it.vm);
    if (usable && score > best_score) {
      best = it.vm;
      best_score = score;
    }
  }
  return best;
}

core::Time StateSpread::FreshUntil() const {
  return confirmed_ ? *confirmed_ + kFreshTime : patience_until_;
}

bool StateSpread::ShouldRead(core::Time now) const {
  return now >= FreshUntil() ||
         ((confirmed_ || settled_) && ReaderOfDomain(now) == self_);
}

void StateSpread::NoteRead(std::uint64_t position, core::Time confirmed,
                           core::Time now) {
  position_ = std::max(position_, position);
  confirmed_ = std::max(confirmed_.value_or(confirmed), confirmed);
  if (ReaderOfDomain(now) == self_) {
    Announce(now);
  }
}

void StateSpread::NoteConfig(const GatewayConfig& config, core::Time now) {
  config_ = config;
  if (confirmed_ && ReaderOfDomain(now) == self_) {
    Announce(now);
  }
}

StateUpdate StateSpread::UpdateSince(std::uint64_t position,
                                     core::Time now) const {
  StateUpdate update;
  update.from = position;
  update.position = position_;
  update.age = std::chrono::duration_cast<core::Duration>(
      now - confirmed_.value_or(core::Time{}));
  update.servers = registry_.Since(position, now);
  update.config_version = config_ ? config_->version : 0;
  return update;
}

void StateSpread::Announce(core::Time now) {
  const StateUpdate update = UpdateSince(announced_, now);
  announced_ = position_;
  for (const membership::Member& it : broker_.Others()) {
    if (it.failure_domain == failure_domain_) {
      outgoing_.emplace_back(it.vm, update);
    }
  }
}

void StateSpread::Ask(core::VmId vm, core::Time now) {
  if (now >= ask_at_) {
    ask_at_ = now + kAskPause;
    outgoing_.emplace_back(
        vm, StateAsk{position_, config_ ? config_->version : 0});
  }
}

std::vector<ServerChange> StateSpread::Receive(core::VmId from,
                                               const StateUpdate& update,
                                               core::Time now) {
  std::vector<ServerChange> changed;
  if (update.from > position_) {
    Ask(from, now);
    return changed;
  }
  for (const ServerChange& it : update.servers) {
    if (registry_.Adopt(it, now)) {
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
  const std::uint64_t version = config_ ? config_->version : 0;
  if (!update.config && update.config_version > version) {
    Ask(from, now);
  }
  return changed;
}

void StateSpread::Receive(core::VmId from, const StateAsk& ask,
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

void StateSpread::Tick(core::Time now, core::Random& random) {
  const bool fresh = confirmed_ && now < FreshUntil();
  if (fresh || now < ask_at_) {
    return;
  }
  const core::VmId reader = ReaderOfDomain(now);
  if (confirmed_ && reader != self_) {
    silent_until_[reader] = now + kSilentTime;
  }
  const std::vector<membership::Member> others = broker_.Others();
  if (!others.empty()) {
    Ask(others[random.Below(others.size())].vm, now);
  } else {
    ask_at_ = now + kAskPause;
  }
}

core::Time StateSpread::NextDue() const {
  return std::max(confirmed_ ? FreshUntil() : core::Time{}, ask_at_);
}

}  // namespace bambootack::gateway
