#include "bambootack/spread/gossiper.h"

#include <algorithm>
#include <utility>

namespace bambootack::spread {
namespace {

// Rate and burst add up to less than `kMaxBytesPerSecond`: that is the most
// that a token bucket lets through in one second.
constexpr double kBytesPerSecond = 2300;
constexpr double kBurstBytes = 690;
static_assert(kBytesPerSecond + kBurstBytes < kMaxBytesPerSecond);

/// Encoded bytes of a message without its lists: envelope 25, fields 46, two
/// list lengths 16.
constexpr std::size_t kFixedBytes = 87;
constexpr std::size_t kHeardBytes = 7;
constexpr std::size_t kHeldBytes = 12;

constexpr std::size_t kHeardEntries = 4;
constexpr std::size_t kHeldEntries = 2;

/// Largest periodic message.
constexpr double kRoundBytes = kDatagramOverheadBytes + kFixedBytes +
                               kHeardEntries * kHeardBytes +
                               kHeldEntries * kHeldBytes;

/// Kept free of periodic messages, so that a VM that is behind is answered at
/// once even if a change has just been announced: two answers.
constexpr double kReserveBytes = 2.0 * (kDatagramOverheadBytes + kFixedBytes);
static_assert(kRoundBytes + kReserveBytes < kBurstBytes);

/// Receivers of the messages that announce a change at once: as many as the
/// burst allows. With 3 per VM a change reaches 55 VMs in about four hops.
constexpr std::size_t kAnnounceCount = 3;

constexpr core::Duration kReplyPause = std::chrono::milliseconds(200);
constexpr std::size_t kMaxReplied = 1024;

}  // namespace

std::size_t DatagramBytes(const wire::Gossip& gossip) noexcept {
  return kDatagramOverheadBytes + kFixedBytes +
         kHeardBytes * gossip.heard.size() + kHeldBytes * gossip.held.size();
}

std::vector<Datagram> Gossiper::Tick(const OwnState& own, PeerTable& peers,
                                     core::Time now, core::Random& random) {
  std::vector<Datagram> out;
  if (peers.All().empty()) {
    return out;
  }
  Refill(now);
  if (announce_) {
    announce_ = false;
    for (std::size_t i = 0; i < kAnnounceCount; ++i) {
      const std::uint64_t pick = random.Below(peers.All().size());
      SendTo(peers.All()[pick].vm, own, peers, 0, now, out);
    }
  }
  // A round that the budget does not allow yet is delayed, not skipped, so that
  // every receiver gets its turn.
  if (now >= next_round_ && tokens_ >= kRoundBytes + kReserveBytes) {
    next_round_ = now + kGossipInterval;
    SendTo(NextReceiver(peers, now, random), own, peers, kHeardEntries, now,
           out);
  }
  return out;
}

std::optional<Datagram> Gossiper::Reply(core::VmId vm, const OwnState& own,
                                        PeerTable& peers, core::Time now) {
  Refill(now);
  const auto last = replied_.find(vm);
  if (last != replied_.end() && now - last->second < kReplyPause) {
    return std::nullopt;
  }
  Datagram datagram = Make(vm, own, peers, 0, now);
  if (!Spend(DatagramBytes(datagram.gossip))) {
    return std::nullopt;
  }
  if (replied_.size() >= kMaxReplied) {
    replied_.clear();
  }
  replied_[vm] = now;
  return datagram;
}

Datagram Gossiper::Make(core::VmId to, const OwnState& own, PeerTable& peers,
                        std::size_t entries, core::Time now) {
  Datagram datagram{to, {}};
  wire::Gossip& gossip = datagram.gossip;
  gossip.incarnation = own.incarnation;
  gossip.position = own.position;
  gossip.digest = own.digest;
  gossip.view = own.view;
  gossip.has_state = own.has_state;
  gossip.leaving = own.leaving;
  gossip.log_read = AgeOf(own.log_read, now);
  if (const Peer* peer = peers.Find(to)) {
    gossip.receiver_heard = AgeOf(peer->heard, now);
  }
  if (held_ && entries > 0) {
    gossip.held = held_(kHeldEntries, now);
    gossip.held.resize(std::min(gossip.held.size(), kHeldEntries));
  }
  gossip.heard = peers.NextDigest(entries, own.position, now);
  return datagram;
}

void Gossiper::SendTo(core::VmId vm, const OwnState& own, PeerTable& peers,
                      std::size_t entries, core::Time now,
                      std::vector<Datagram>& out) {
  Datagram datagram = Make(vm, own, peers, entries, now);
  if (Spend(DatagramBytes(datagram.gossip))) {
    out.push_back(std::move(datagram));
  }
}

void Gossiper::Refill(core::Time now) {
  if (!refilled_) {
    tokens_ = kBurstBytes;
  } else {
    const std::chrono::duration<double> passed = now - *refilled_;
    tokens_ = std::min(kBurstBytes, tokens_ + passed.count() * kBytesPerSecond);
  }
  refilled_ = now;
}

bool Gossiper::Spend(std::size_t bytes) {
  const auto cost = static_cast<double>(bytes);
  if (tokens_ < cost) {
    return false;
  }
  tokens_ -= cost;
  return true;
}

core::VmId Gossiper::NextInRing(const PeerTable& peers, core::Random& random) {
  if (ring_next_ >= ring_.size()) {
    ring_.clear();
    for (const Peer& it : peers.All()) {
      ring_.push_back(it.vm);
    }
    for (std::size_t i = ring_.size(); i > 1; --i) {
      std::swap(ring_[i - 1], ring_[random.Below(i)]);
    }
    ring_next_ = 0;
  }
  return ring_[ring_next_++];
}

core::VmId Gossiper::NextReceiver(const PeerTable& peers, core::Time now,
                                  core::Random& random) {
  ++round_;
  if (round_ % 2 == 0) {
    return NextInRing(peers, random);
  }
  // After a one-way partition the few usable paths are tried often, and so are
  // VMs that nobody hears: a path to them may have opened.
  if (round_ % 4 == 1) {
    if (const auto silent = NextSilent(peers, now)) {
      return *silent;
    }
  }
  return RandomTwoWay(peers, now, random);
}

std::optional<core::VmId> Gossiper::NextSilent(const PeerTable& peers,
                                               core::Time now) {
  const std::size_t n = peers.All().size();
  for (std::size_t i = 0; i < n; ++i) {
    const Peer& it = peers.All()[silent_next_++ % n];
    if (!peers.IsAlive(it, now)) {
      return it.vm;
    }
  }
  return std::nullopt;
}

core::VmId Gossiper::RandomTwoWay(const PeerTable& peers, core::Time now,
                                  core::Random& random) {
  std::vector<core::VmId> two_way;
  const Peer* latest = nullptr;
  for (const Peer& it : peers.All()) {
    if (PeerTable::IsTwoWay(it, now)) {
      two_way.push_back(it.vm);
    }
    if (it.heard && (latest == nullptr || *it.heard > *latest->heard)) {
      latest = &it;
    }
  }
  if (!two_way.empty()) {
    return two_way[random.Below(two_way.size())];
  }
  return latest != nullptr ? latest->vm : NextInRing(peers, random);
}

}  // namespace bambootack::spread
