#include "bambootack/spread/peer_table.h"

#include <algorithm>
#include <utility>

namespace bambootack::spread {
namespace {

constexpr core::Duration kAgeUnit = std::chrono::milliseconds(10);

/// Silence after which a VM counts as not alive. The digest rotates through
/// all VMs, so the time between two mentions grows with their number.
constexpr core::Duration kSilence = std::chrono::seconds(5);
constexpr core::Duration kSilencePerVm = std::chrono::milliseconds(50);

/// Among 55 VMs one VM sends to a given other one every 7 s on average.
constexpr core::Duration kTwoWayWindow = std::chrono::seconds(15);

void Raise(std::optional<core::Time>& to, std::optional<core::Time> value) {
  if (value && (!to || *value > *to)) {
    to = value;
  }
}

}  // namespace

wire::Age AgeOf(std::optional<core::Time> at, core::Time now) noexcept {
  if (!at) {
    return wire::kAgeUnknown;
  }
  // Rounded up and raised by one unit for the way: an age that shrank at each
  // hop would stay young for ever while it is passed on.
  const auto age = std::max(now - *at, core::Duration{}) / kAgeUnit + 2;
  return static_cast<wire::Age>(std::min<std::int64_t>(age, wire::kAgeUnknown));
}

std::optional<core::Time> TimeOf(wire::Age age, core::Time now) noexcept {
  if (age == wire::kAgeUnknown) {
    return std::nullopt;
  }
  return now - age * kAgeUnit;
}

void PeerTable::SetMembers(const std::vector<membership::Member>& members,
                           core::VmId self) {
  std::vector<Peer> peers;
  for (const membership::Member& it : members) {
    if (it.vm == self) {
      continue;
    }
    const Peer* known = Find(it.vm);
    Peer peer = known != nullptr ? *known : Peer{};
    peer.vm = it.vm;
    peer.failure_domain = it.failure_domain;
    peers.push_back(std::move(peer));
  }
  peers_ = std::move(peers);
  index_.clear();
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    index_[peers_[i].vm] = i;
  }
}

const Peer* PeerTable::Find(core::VmId vm) const {
  const auto it = index_.find(vm);
  return it != index_.end() ? &peers_[it->second] : nullptr;
}

Peer* PeerTable::FindMutable(core::VmId vm) {
  const auto it = index_.find(vm);
  return it != index_.end() ? &peers_[it->second] : nullptr;
}

bool PeerTable::Receive(core::VmId from, const wire::Gossip& gossip,
                        core::Time now) {
  Peer* peer = FindMutable(from);
  if (peer == nullptr || gossip.incarnation < peer->incarnation) {
    return false;
  }
  if (gossip.incarnation > peer->incarnation) {
    peer->reached = {};
  }
  peer->incarnation = gossip.incarnation;
  peer->heard = now;
  peer->heard_by_any = now;
  peer->position = gossip.position;
  peer->reached = std::max(peer->reached, gossip.position);
  peer->digest = gossip.digest;
  peer->view = gossip.view;
  peer->has_state = gossip.has_state;
  peer->leaving = gossip.leaving;
  Raise(peer->hears_me, TimeOf(gossip.receiver_heard, now));
  last_heard_ = now;
  TakeDigest(gossip, now);
  return true;
}

void PeerTable::TakeDigest(const wire::Gossip& gossip, core::Time now) {
  for (const wire::HeardPeer& it : gossip.heard) {
    Peer* other = FindMutable(it.vm);
    if (other == nullptr) {
      continue;
    }
    Raise(other->heard_by_any, TimeOf(it.heard, now));
    if (it.current) {
      other->reached = std::max(other->reached, gossip.position);
    }
  }
}

bool PeerTable::IsAlive(const Peer& peer, core::Time now) const noexcept {
  const core::Duration limit =
      kSilence + kSilencePerVm * static_cast<std::int64_t>(peers_.size());
  return peer.heard_by_any && now - *peer.heard_by_any < limit;
}

bool PeerTable::IsTwoWay(const Peer& peer, core::Time now) noexcept {
  return peer.heard && peer.hears_me && now - *peer.heard < kTwoWayWindow &&
         now - *peer.hears_me < kTwoWayWindow;
}

std::vector<wire::HeardPeer> PeerTable::NextDigest(std::size_t count,
                                                   config::Position own,
                                                   core::Time now) {
  std::vector<wire::HeardPeer> digest;
  for (std::size_t i = 0; i < std::min(count, peers_.size()); ++i) {
    const Peer& it = peers_[next_++ % peers_.size()];
    digest.push_back({it.vm, AgeOf(it.heard_by_any, now), it.reached >= own});
  }
  return digest;
}

}  // namespace bambootack::spread
