#include "bambootack/spread/state_fetcher.h"

#include <algorithm>

#include "bambootack/wire/state_codec.h"

namespace bambootack::spread {
namespace {

/// Time for one reply, several round trips between failure domains.
constexpr core::Duration kReplyPatience = std::chrono::milliseconds(300);

/// A VM that did not answer or had nothing is not asked again so soon.
constexpr core::Duration kAvoidance = std::chrono::seconds(1);

/// A starting VM asks several VMs at once, so that silent ones cost no time.
constexpr std::size_t kStartRequests = 3;

}  // namespace

bool StateFetcher::IsUseful(const Peer& peer, const OwnState& own) const {
  if (peer.view > own.view) {
    return true;
  }
  if (!peer.has_state || peer.position < own.position) {
    return false;
  }
  return peer.position > own.position || peer.digest != own.digest;
}

std::optional<core::VmId> StateFetcher::Choose(const OwnState& own,
                                               const PeerTable& peers,
                                               core::Time now,
                                               core::Random& random) const {
  // Best first: ahead with both directions known; both directions known, since
  // it may be ahead meanwhile; ahead; for a VM without state any other.
  std::vector<core::VmId> classes[4];
  for (const Peer& it : peers.All()) {
    if (in_flight_.contains(it.vm) || avoided_.contains(it.vm)) {
      continue;
    }
    const bool two_way = PeerTable::IsTwoWay(it, now);
    if (IsUseful(it, own)) {
      classes[two_way ? 0 : 2].push_back(it.vm);
    } else if (two_way && behind_since_) {
      classes[1].push_back(it.vm);
    } else if (!own.has_state) {
      classes[3].push_back(it.vm);
    }
  }
  for (const auto& it : classes) {
    if (!it.empty()) {
      return it[random.Below(it.size())];
    }
  }
  return std::nullopt;
}

std::vector<FetchRequest> StateFetcher::Tick(const OwnState& own,
                                             const PeerTable& peers,
                                             core::Time now,
                                             core::Random& random) {
  Expire(now);
  const bool behind =
      std::any_of(peers.All().begin(), peers.All().end(), [&](const Peer& it) {
        return it.has_state && it.position > own.position;
      });
  if (!behind) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
  std::vector<FetchRequest> out;
  const std::size_t limit = own.has_state ? 1 : kStartRequests;
  while (in_flight_.size() < limit) {
    const bool resume = assembly_ && !in_flight_.contains(assembly_->from) &&
                        !avoided_.contains(assembly_->from);
    const auto to = resume ? std::optional(assembly_->from)
                           : Choose(own, peers, now, random);
    if (!to) {
      break;
    }
    FetchRequest it{*to, {}};
    it.request.incarnation = own.incarnation;
    it.request.position = own.position;
    it.request.digest = own.digest;
    it.request.view = own.view;
    if (assembly_ && assembly_->from == *to) {
      it.request.state_digest = assembly_->digest;
      it.request.from = assembly_->bytes.size();
    }
    in_flight_[*to] = now + kReplyPatience;
    out.push_back(std::move(it));
  }
  return out;
}

std::optional<config::State> StateFetcher::Receive(
    core::VmId from, const wire::StateReply& reply, core::Time now) {
  in_flight_.erase(from);
  if (reply.total == 0) {
    if (reply.records.empty()) {
      Avoid(from, now);
    }
    return std::nullopt;
  }
  const bool continues = assembly_ && assembly_->from == from &&
                         assembly_->digest == reply.digest &&
                         assembly_->position == reply.position &&
                         assembly_->bytes.size() == reply.from;
  if (!continues) {
    if (reply.from != 0 || (assembly_ && assembly_->from != from)) {
      return std::nullopt;
    }
    assembly_ = Assembly{from, reply.digest, reply.position, {}};
  }
  assembly_->bytes += reply.part;
  const bool complete = assembly_->bytes.size() >= reply.total;
  if (!complete && !reply.part.empty() &&
      assembly_->bytes.size() <= wire::kMaxStateBytes) {
    return std::nullopt;
  }
  const std::string bytes = std::move(assembly_->bytes);
  assembly_.reset();
  auto state = complete ? wire::DecodeState(bytes) : std::nullopt;
  if (!state) {
    Avoid(from, now);
  }
  return state;
}

void StateFetcher::PeerLost(core::VmId vm, core::Time now) {
  if (in_flight_.erase(vm) > 0) {
    Avoid(vm, now);
  }
}

void StateFetcher::Expire(core::Time now) {
  std::vector<core::VmId> late;
  for (const auto& [vm, end] : in_flight_) {
    if (end <= now) {
      late.push_back(vm);
    }
  }
  for (const core::VmId vm : late) {
    PeerLost(vm, now);
  }
  std::erase_if(avoided_, [&](const auto& it) { return it.second <= now; });
}

void StateFetcher::Avoid(core::VmId vm, core::Time now) {
  avoided_[vm] = now + kAvoidance;
  if (assembly_ && assembly_->from == vm) {
    assembly_.reset();
  }
}

}  // namespace bambootack::spread
