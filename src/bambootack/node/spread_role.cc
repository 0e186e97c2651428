#include "bambootack/node/spread_role.h"

#include <algorithm>
#include <utility>

namespace bambootack::node {
namespace {

/// VMs outside the view whose addresses are kept to answer them.
constexpr std::size_t kMaxGuests = 64;
constexpr core::Duration kGuestTime = std::chrono::minutes(1);

}  // namespace

void SpreadRole::SetHeld(spread::HeldExport held, HeldMerge merge) {
  gossiper_.SetHeldExport(std::move(held));
  merge_held_ = std::move(merge);
}

std::optional<spread::ViewSection> SpreadRole::TakeViews() {
  return std::exchange(received_views_, std::nullopt);
}

spread::OwnState SpreadRole::Own(const Context& context) const {
  const Shared& shared = context.shared;
  spread::OwnState own;
  own.incarnation = shared.incarnation;
  own.position = shared.store.Where();
  own.digest = shared.store.Digest();
  own.view = views_.number;
  own.has_state = shared.store.HasState();
  own.leaving = shared.stopping;
  own.log_read = log_read_;
  return own;
}

void SpreadRole::FollowView(Context& context) {
  if (!started_) {
    started_ = context.now;
  }
  const membership::View& view = context.shared.view;
  if (!followed_ || *followed_ != std::pair(view.number, view.members.size())) {
    followed_ = std::pair(view.number, view.members.size());
    peers_.SetMembers(view.members, context.shared.settings.vm);
  }
}

void SpreadRole::Receive(core::VmId from, const wire::Gossip& message,
                         Context& context) {
  FollowView(context);
  if (!peers_.Receive(from, message, context.now)) {
    return;
  }
  const auto read = spread::TimeOf(message.log_read, context.now);
  if (read && (!log_read_ || *read > *log_read_)) {
    log_read_ = read;
  }
  if (merge_held_ && !message.held.empty()) {
    merge_held_(message.held, context.now);
  }
  const spread::OwnState own = Own(context);
  const bool sender_is_behind =
      message.position < own.position || message.view < own.view;
  if (sender_is_behind) {
    if (auto it = gossiper_.Reply(from, own, peers_, context.now)) {
      context.Send(it->to, std::move(it->gossip));
    }
  }
  Send(context);
}

void SpreadRole::Receive(core::VmId from, const wire::StateRequest& message,
                         Context& context) {
  Welcome(from, message, context);
  context.Send(from, server_.Answer(message, context.shared.store, views_));
}

void SpreadRole::Welcome(core::VmId from, const wire::StateRequest& message,
                         Context& context) {
  std::erase_if(guests_,
                [&](const auto& it) { return it.second.until <= context.now; });
  const auto& members = context.shared.view.members;
  const auto known =
      std::find_if(members.begin(), members.end(),
                   [&](const membership::Member& it) { return it.vm == from; });
  const bool reachable =
      known != members.end() && (known->address == message.address ||
                                 known->incarnation > message.incarnation);
  if (reachable || (guests_.size() >= kMaxGuests && !guests_.contains(from))) {
    return;
  }
  guests_[from] = {{from, message.incarnation, message.address, {}},
                   context.now + kGuestTime};
  SetPeers action{members};
  for (const auto& row : guests_) {
    std::erase_if(action.members, [&](const membership::Member& it) {
      return it.vm == row.first;
    });
    action.members.push_back(row.second.member);
  }
  context.Do(std::move(action));
}

std::optional<config::State> SpreadRole::Receive(
    core::VmId from, const wire::StateReply& message, Context& context) {
  if (message.view > views_.number &&
      (!received_views_ || message.view > received_views_->number)) {
    received_views_ = spread::ViewSection{message.view, message.views};
  }
  return fetcher_.Receive(from, message, context.now);
}

void SpreadRole::PeerLost(core::VmId vm, Context& context) {
  fetcher_.PeerLost(vm, context.now);
  Send(context);
}

void SpreadRole::Tick(Context& context) {
  FollowView(context);
  Send(context);
}

void SpreadRole::Send(Context& context) {
  const spread::OwnState own = Own(context);
  core::Random& random = context.shared.random;
  for (auto& it : gossiper_.Tick(own, peers_, context.now, random)) {
    context.Send(it.to, std::move(it.gossip));
  }
  for (auto& it : fetcher_.Tick(own, peers_, context.now, random)) {
    it.request.address = context.shared.settings.peer_address;
    context.Send(it.to, std::move(it.request));
  }
}

void SpreadRole::Remember(wire::TicketRecord record, config::Position before,
                          std::uint64_t digest_before) {
  server_.Remember(std::move(record), before, digest_before);
}

bool SpreadRole::ShouldRead(bool has_pending_append,
                            const Context& context) const {
  spread::ReaderState state;
  state.self = context.shared.settings.vm;
  state.failure_domain = context.shared.settings.failure_domain;
  state.has_state = context.shared.store.HasState();
  state.has_pending_append = has_pending_append;
  state.started = started_.value_or(context.now);
  state.log_read = log_read_;
  state.behind_since = fetcher_.BehindSince();
  return spread::ShouldRead(state, peers_, context.now);
}

}  // namespace bambootack::node
