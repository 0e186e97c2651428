#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "bambootack/gateway/gateway.h"
#include "bambootack/gateway/log_text.h"

// Tokens for the requests of customers with a quota, which the owners of their
// shards grant, and the loans of this VM to these owners.

namespace bambootack::gateway {
namespace {

/// A request for a token without a reply is sent once more after this time. A
/// slow owner would not bear further ones.
constexpr core::Duration kTokenRetryTime = std::chrono::milliseconds(40);

/// Without any reply, the caller's request is refused after this time.
constexpr core::Duration kSilentOwnerTimeout = std::chrono::milliseconds(250);

/// An owner that has just taken over holds few shares for about a second. It is
/// asked again at this interval, for half of the latency target at most.
constexpr core::Duration kShareWaitTimeout = std::chrono::seconds(1);
constexpr core::Duration kShareWaitInterval = std::chrono::milliseconds(150);
constexpr int kTargetDivisor = 2;

/// While a customer is refused, most of its requests would return their slots
/// unused. They ask for the slot after the token.
constexpr core::Duration kRefusalMemory = std::chrono::seconds(1);
constexpr std::size_t kMaxRefusedCustomers = 4096;

}  // namespace

void Gateway::ApplyQuotas() {
  std::map<std::string, quota::Quota, std::less<>> quotas;
  for (const customers::Customer& it : routes_->Config().customers) {
    if (it.rate > 0.0) {
      quotas[it.name] = {it.rate, it.burst};
    }
  }
  quota_owner_.SetQuotas(std::move(quotas));
}

quota::Lender::Target Gateway::ChooseQuotaOwner(std::uint32_t shard,
                                                core::Time now) {
  const auto owner = lender_.OwnerOf(shard);
  return lender_.Choose(
      shard, peers_.ChooseDispatcher(fmt::format("quota/{}", shard), now),
      owner && peers_.IsLeaving(*owner, now), now);
}

/// Sends the messages that keep the loans of this VM in force. Without
/// customers that have a quota nothing is sent.
void Gateway::RenewLoans(core::Time now) {
  if (!routes_->Customers().HasQuotas()) {
    return;
  }
  quota_owner_.SetFleetSize(sync_.IsFleetKnown() ? peers_.FleetSize() : 0);
  for (std::uint32_t i = 0; i < quota::kShards; ++i) {
    if (!lender_.IsRenewalDue(i, now)) {
      continue;
    }
    const auto target = ChooseQuotaOwner(i, now);
    lender_.RecordSent(i, now);
    const quota::LeaseNotice notice{i, target.stamp};
    if (target.vm == options_.vm) {
      const auto reply = quota_owner_.Handle(options_.vm, notice, now);
      lender_.RecordStamp(i, options_.vm, reply.stamp, now);
    } else {
      actions_.emplace_back(SendToPeer{target.vm, notice});
    }
  }
}

bool Gateway::WasRefusedLately(const std::string& customer,
                               core::Time now) const {
  const auto it = refused_at_.find(customer);
  return it != refused_at_.end() && now - it->second < kRefusalMemory;
}

/// Requests the token of a request. If this VM is the owner, the request may be
/// refused when this returns.
void Gateway::RequestToken(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  request.token = TokenState::kPending;
  request.token_number = ++last_token_;
  request.slot_after_token = WasRefusedLately(request.customer, now);
  request.token_requested_at = now;
  request.token_deadline =
      now + std::min(kSilentOwnerTimeout,
                     request.route->latency_target / kTargetDivisor);
  by_token_[request.token_number] = handle;
  SendTokenRequest(handle, now);
}

void Gateway::SendTokenRequest(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  const std::uint32_t shard = quota::ShardOf(request.customer);
  const auto target = ChooseQuotaOwner(shard, now);
  quota::TokenRequest message{request.token_number, request.customer,
                              request.quota, target.stamp};
  request.token_retry_at =
      request.token_sent ? request.token_deadline : now + kTokenRetryTime;
  request.token_sent = true;
  lender_.RecordSent(shard, now);
  if (target.vm == options_.vm) {
    quota_owner_.SetFleetSize(sync_.IsFleetKnown() ? peers_.FleetSize() : 0);
    OnTokenReply(options_.vm, quota_owner_.Handle(options_.vm, message, now),
                 now);
    return;
  }
  UpdateTimer(handle, request);
  actions_.emplace_back(SendToPeer{target.vm, std::move(message)});
}

void Gateway::OnTokenReply(core::VmId from, const quota::TokenReply& reply,
                           core::Time now) {
  lender_.RecordStamp(reply.shard, from, reply.stamp, now);
  const auto found = by_token_.find(reply.number);
  if (found == by_token_.end()) {
    return;
  }
  const core::Handle handle = found->second;
  Request& request = *requests_.Find(handle);
  const core::Time share_deadline =
      request.token_requested_at +
      std::min(kShareWaitTimeout,
               request.route->latency_target / kTargetDivisor);
  if (!reply.granted && !reply.exhausted &&
      now + kShareWaitInterval < share_deadline) {
    request.token_deadline = share_deadline;
    request.token_retry_at = now + kShareWaitInterval;
    UpdateTimer(handle, request);
    return;
  }
  by_token_.erase(found);
  metrics_.CountToken(request.customer, reply.granted);
  if (reply.granted) {
    request.token = TokenState::kGranted;
    if (request.held_slot) {
      HeldSlot held = *std::exchange(request.held_slot, std::nullopt);
      OnSlotDecision(handle, std::move(held.slot), held.granter, now);
    } else if (request.slot_after_token) {
      request.slot_after_token = false;
      RequestSlot(handle, now);
    } else {
      UpdateTimer(handle, request);
    }
    return;
  }
  if (reply.exhausted) {
    if (refused_at_.size() >= kMaxRefusedCustomers) {
      refused_at_.clear();
    }
    refused_at_[request.customer] = now;
    Log(log::EventId::kQuotaExhausted,
        fmt::format("request={} customer={} owner={} wait_ms={}",
                    Truncate(request.id), request.customer,
                    static_cast<std::uint32_t>(from),
                    core::ToMilliseconds(reply.wait)));
  }
  Refuse(handle,
         reply.exhausted ? core::ErrorKind::kRateLimited
                         : core::ErrorKind::kQuotaUnavailable,
         now, reply.wait);
}

/// Requests a token again, or refuses its request.
void Gateway::OnTokenTimer(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  if (now < request.token_deadline) {
    SendTokenRequest(handle, now);
    return;
  }
  const auto owner = lender_.OwnerOf(quota::ShardOf(request.customer));
  metrics_.CountTokenTimeout();
  Log(log::EventId::kQuotaOwnerSilent,
      fmt::format("request={} customer={} owner={}", Truncate(request.id),
                  request.customer,
                  static_cast<std::uint32_t>(owner.value_or(core::kNoVm))));
  if (owner) {
    peers_.MarkUnresponsive(*owner, now);
  }
  Refuse(handle, core::ErrorKind::kQuotaUnavailable, now);
}

/// Returns the slot that waits for the token of a request, and the token of one
/// that was never sent to a server.
void Gateway::GiveUpToken(Request& request, core::Time now) {
  if (auto held = std::exchange(request.held_slot, std::nullopt)) {
    ReleaseSlot(held->granter, {held->slot.lease, AttemptOutcome::kCancelled},
                now);
  }
  if (request.token != TokenState::kGranted || request.attempted) {
    return;
  }
  request.token = TokenState::kNotNeeded;
  const quota::TokenReturn message{request.customer};
  const auto owner = lender_.OwnerOf(quota::ShardOf(request.customer));
  if (owner == options_.vm) {
    quota_owner_.Handle(message);
  } else if (owner) {
    actions_.emplace_back(SendToPeer{*owner, message});
  }
}

void Gateway::Handle(core::VmId from, quota::TokenRequest& message,
                     core::Time now) {
  quota_owner_.SetFleetSize(sync_.IsFleetKnown() ? peers_.FleetSize() : 0);
  actions_.emplace_back(
      SendToPeer{from, quota_owner_.Handle(from, message, now)});
}

void Gateway::Handle(core::VmId from, quota::TokenReply& message,
                     core::Time now) {
  peers_.MarkResponsive(from);
  OnTokenReply(from, message, now);
}

void Gateway::Handle(core::VmId from, quota::LeaseNotice& message,
                     core::Time now) {
  actions_.emplace_back(
      SendToPeer{from, quota_owner_.Handle(from, message, now)});
}

void Gateway::Handle(core::VmId from, quota::LeaseReply& message,
                     core::Time now) {
  lender_.RecordStamp(message.shard, from, message.stamp, now);
}

void Gateway::Handle(core::VmId /*from*/, quota::TokenReturn& message,
                     core::Time /*now*/) {
  quota_owner_.Handle(message);
}

}  // namespace bambootack::gateway
