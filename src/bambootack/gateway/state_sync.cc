#include "bambootack/gateway/state_sync.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// A store reader that sent no recent update is skipped for this long, unless
/// it sends one earlier.
constexpr core::Duration kSkipTime = std::chrono::seconds(10);

/// Registrations of servers expire after three missed reports, 4.5 s. If no VM
/// could read the store for this long, servers may have been unable to report,
/// so that an expired registration does not prove that its server was removed.
constexpr core::Duration kMinExpiryOutage = std::chrono::milliseconds(2500);

/// Running servers have renewed their expired registrations within this time
/// after the store has become available again.
constexpr core::Duration kReregistrationTime = std::chrono::milliseconds(2000);

/// Minimum time between two queries.
constexpr core::Duration kQueryInterval = std::chrono::milliseconds(250);

/// A VM that is behind its peers and cannot obtain the missing state from them
/// reads the store itself after this time.
constexpr core::Duration kMaxTimeBehind = std::chrono::milliseconds(500);

/// Encoded sizes without the bytes of strings.
constexpr std::size_t kUpdateBytes = 64;
constexpr std::size_t kChangeBytes = 80;
constexpr std::size_t kRouteBytes = 80;
constexpr std::size_t kServiceBytes = 16;
constexpr std::size_t kCustomerBytes = 40;
constexpr std::size_t kKeyBytes = 8;
constexpr std::size_t kNoticeBytes = 80;  ///< With the seal of its datagram.

/// Approximate size of an update on the wire.
std::size_t SizeOf(const StateUpdate& update) {
  std::size_t bytes = kUpdateBytes;
  for (const ServerChange& it : update.servers) {
    bytes += kChangeBytes + it.record.id.size() + it.record.service.size() +
             it.record.address.size() + it.record.failure_domain.size();
  }
  if (!update.config) {
    return bytes;
  }
  for (const GatewayRoute& it : update.config->routes) {
    bytes +=
        kRouteBytes + it.id.size() + it.host.size() + it.path_prefix.size();
    for (const WeightedService& part : it.weighted_services) {
      bytes += kServiceBytes + part.service.size();
    }
  }
  for (const std::string& it : update.config->services) {
    bytes += kServiceBytes + it.size();
  }
  for (const customers::Customer& it : update.config->customers) {
    bytes += kCustomerBytes + it.name.size();
    for (const std::string& key : it.keys) {
      bytes += kKeyBytes + key.size();
    }
  }
  return bytes;
}

}  // namespace

core::VmId StateSync::StoreReaderOfDomain(core::Time now) const {
  const std::uint64_t domain_hash =
      core::HashBytes("reader/" + failure_domain_);
  core::VmId best = self_;
  std::uint64_t best_score = core::RendezvousScore(domain_hash, self_);
  for (const auto& [vm, member] : peers_.Peers()) {
    if (member.failure_domain != failure_domain_) {
      continue;
    }
    const auto skipped = skipped_until_.find(vm);
    const bool eligible =
        (skipped == skipped_until_.end() || skipped->second <= now) &&
        !peers_.IsLeaving(vm, now);
    const std::uint64_t score = core::RendezvousScore(domain_hash, vm);
    if (eligible && score > best_score) {
      best = vm;
      best_score = score;
    }
  }
  return best;
}

core::Time StateSync::StaleAt() const {
  return confirmed_at_ ? *confirmed_at_ + max_state_age_ : first_read_at_;
}

bool StateSync::ShouldReadStore(core::Time now) const {
  // Before the first state, the time of the first read applies.
  const bool behind_too_long =
      confirmed_at_ && behind_since_ && now >= *behind_since_ + kMaxTimeBehind;
  return now >= StaleAt() || behind_too_long ||
         ((confirmed_at_ || fleet_known_) && IsStoreReader(now));
}

void StateSync::UpdateBehindSince(core::Time now) {
  if (highest_peer_position_ <= position_ &&
      highest_peer_version_ <= ConfigVersion()) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
}

/// Records that the store was available during a period. Evidence of peers may
/// show that a gap was none, or ended earlier.
void StateSync::RecordAvailability(core::Time since, core::Time until) {
  if (!available_until_) {
    available_since_ = since;
    available_until_ = until;
    return;
  }
  if (until + kMinExpiryOutage < *available_since_) {
    return;  // From before the gap.
  }
  if (since > *available_until_ + kMinExpiryOutage) {
    gap_start_ = available_until_;
    available_since_ = since;
    registry_.DeferRemovals(since + kReregistrationTime);
  } else if (since < *available_since_) {
    available_since_ = since;
    if (gap_start_ && since <= *gap_start_ + kMinExpiryOutage) {
      gap_start_.reset();
      registry_.DeferRemovals({});
    } else if (gap_start_) {
      registry_.DeferRemovals(since + kReregistrationTime);
    }
  }
  available_until_ = std::max(*available_until_, until);
}

void StateSync::RecordStoreRead(std::uint64_t position, core::Time confirmed,
                                core::Time now) {
  SetPosition(position);
  ConfirmState(self_, confirmed, now);
  UpdateBehindSince(now);
  if (IsStoreReader(now)) {
    SendUpdateToDomain(now);
  }
}

/// Records when the store confirmed the state. A VM whose state was stale until
/// another source than its store reader confirmed it skips that reader. While
/// nobody can read the store, no reader is skipped: VMs that do not hear each
/// other would otherwise all become readers.
void StateSync::ConfirmState(core::VmId source, core::Time confirmed,
                             core::Time now) {
  const bool was_stale = confirmed_at_ && now >= StaleAt();
  confirmed_at_ = std::max(confirmed_at_.value_or(confirmed), confirmed);
  if (now >= confirmed + max_state_age_) {
    return;
  }
  skipped_until_.erase(source);
  const core::VmId store_reader = StoreReaderOfDomain(now);
  if (was_stale && store_reader != self_ && store_reader != source) {
    skipped_until_[store_reader] = now + kSkipTime;
  }
}

/// Reports from before the position are outdated then.
void StateSync::SetPosition(std::uint64_t position) noexcept {
  position_ = std::max(position_, position);
  registry_.SetCompleteUntil(position_);
}

void StateSync::RecordFullRead(std::uint64_t end) noexcept {
  if (!history_start_ || position_ < end) {
    history_start_ = end;
  }
}

/// Records that all removals in a part of the topic are known.
void StateSync::ExtendHistory(std::uint64_t from,
                              std::uint64_t position) noexcept {
  if (!history_start_ || position >= *history_start_) {
    history_start_ = std::min(from, history_start_.value_or(from));
  }
}

void StateSync::UpdateConfig(const GatewayConfig& config, core::Time now) {
  config_ = config;
  UpdateBehindSince(now);
  if (confirmed_at_ && IsStoreReader(now)) {
    SendUpdateToDomain(now);
  }
}

StateUpdate StateSync::BuildUpdate(std::uint64_t from, core::Time now) const {
  StateUpdate update;
  update.history_start = history_start_.value_or(0);
  const bool is_covered = from == 0 || from >= update.history_start;
  update.from = is_covered ? from : position_;
  update.position = position_;
  update.age = std::chrono::duration_cast<core::Duration>(
      now - confirmed_at_.value_or(core::Time{}));
  update.available_for = std::chrono::duration_cast<core::Duration>(
      now - available_since_.value_or(now));
  if (is_covered) {
    update.servers = registry_.ChangesSince(from, now);
  }
  update.config_version = ConfigVersion();
  return update;
}

void StateSync::SendUpdateToDomain(core::Time now) {
  std::vector<core::VmId> receivers;
  for (const auto& [vm, member] : peers_.Peers()) {
    if (member.failure_domain == failure_domain_) {
      receivers.push_back(vm);
    }
  }
  StateUpdate update = BuildUpdate(domain_position_, now);
  const bool sends_changes =
      update.servers.empty() ||
      send_budget_.TrySpendWhole(receivers.size() * SizeOf(update), now);
  if (!sends_changes) {
    update.from = position_;
    update.servers.clear();
  }
  domain_position_ = position_;
  RecordSentUpdate(update, receivers.size());
  for (const core::VmId vm : receivers) {
    outgoing_messages_.emplace_back(vm, update);
  }
}

void StateSync::RecordSentUpdate(const StateUpdate& update, std::size_t peers) {
  if (peers > 0 && (!update.servers.empty() || update.config)) {
    sent_updates_.push_back({peers, update.from, update.position,
                             update.servers.size(), update.config_version,
                             update.config.has_value()});
  }
}

void StateSync::SendQuery(core::VmId vm, core::Time now) {
  if (now >= next_query_at_) {
    next_query_at_ = now + kQueryInterval;
    outgoing_messages_.emplace_back(vm, StateQuery{position_, ConfigVersion()});
  }
}

std::vector<ServerChange> StateSync::Receive(core::VmId from,
                                             const StateUpdate& update,
                                             core::Time now) {
  highest_peer_position_ = std::max(highest_peer_position_, update.position);
  highest_peer_version_ =
      std::max(highest_peer_version_, update.config_version);
  RecordAvailability(now - update.available_for, now - update.age);
  const std::uint64_t complete_from =
      std::max(update.from, update.history_start);
  const bool is_first_state = position_ == 0 && update.from == 0;
  if (complete_from > position_ && !is_first_state) {
    UpdateBehindSince(now);
    SendQuery(from, now);
    return {};
  }
  std::vector<ServerChange> changed = ApplyServers(update, now);
  ExtendHistory(complete_from, update.position);
  SetPosition(update.position);
  const auto sender = peers_.Peers().find(from);
  if (sender != peers_.Peers().end() &&
      sender->second.failure_domain == failure_domain_) {
    domain_position_ = std::max(domain_position_, update.position);
  }
  ConfirmState(from, now - update.age, now);
  UpdateBehindSince(now);
  if (!update.config && update.config_version > ConfigVersion()) {
    SendQuery(from, now);
  }
  return changed;
}

void StateSync::RecordPeerVersion(core::VmId from, std::uint64_t version,
                                  core::Time now) {
  highest_peer_version_ = std::max(highest_peer_version_, version);
  UpdateBehindSince(now);
  if (version > ConfigVersion()) {
    SendQuery(from, now);
  }
}

/// Applies the changes of an update that leaves no gap.
std::vector<ServerChange> StateSync::ApplyServers(const StateUpdate& update,
                                                  core::Time now) {
  std::vector<ServerChange> changed;
  std::set<std::string, std::less<>> ids;
  for (const ServerChange& it : update.servers) {
    if (registry_.ApplyChange(it, now)) {
      changed.push_back(it);
    }
    if (!it.removed) {
      ids.insert(it.record.id);
    }
  }
  if (position_ == 0) {
    // Servers of an own read that has not ended are older than the update.
    for (std::string& id : registry_.RemoveMissing(ids, update.position, now)) {
      ServerChange removal;
      removal.record.id = std::move(id);
      removal.removed = true;
      changed.push_back(std::move(removal));
    }
  }
  return changed;
}

void StateSync::Receive(core::VmId from, const StateQuery& query,
                        core::Time now) {
  if (!confirmed_at_) {
    return;
  }
  StateUpdate update = BuildUpdate(query.position, now);
  if (config_ && config_->version > query.config_version) {
    update.config = config_;
  }
  if (!send_budget_.TrySpend(SizeOf(update), now)) {
    return;
  }
  RecordSentUpdate(update, 1);
  outgoing_messages_.emplace_back(from, std::move(update));
}

void StateSync::AnnounceLeaving(const LeavingNotice& notice,
                                core::VmId dispatcher, core::Time now) {
  const auto& peers = peers_.Peers();
  const std::size_t bytes = kNoticeBytes + notice.server.size();
  const bool tells_all = send_budget_.TrySpendWhole(peers.size() * bytes, now);
  for (const auto& [vm, member] : peers) {
    if (tells_all || vm == dispatcher) {
      outgoing_messages_.emplace_back(vm, notice);
    }
  }
}

void StateSync::OnTimer(core::Time now, core::Random& random) {
  if (gap_start_ && now >= *available_since_ + kReregistrationTime) {
    gap_start_.reset();
  }
  const bool current = confirmed_at_ && now < StaleAt();
  if ((current && !behind_since_ && !gap_start_) || now < next_query_at_) {
    return;
  }
  const auto& peers = peers_.Peers();
  if (!peers.empty()) {
    const auto step = static_cast<std::ptrdiff_t>(random.Below(peers.size()));
    SendQuery(std::next(peers.begin(), step)->first, now);
  } else {
    next_query_at_ = now + kQueryInterval;
  }
}

core::Time StateSync::NextTimer() const {
  const bool wait_for_staleness =
      confirmed_at_ && !behind_since_ && !gap_start_;
  return std::max(wait_for_staleness ? StaleAt() : core::Time{},
                  next_query_at_);
}

}  // namespace bambootack::gateway
