#include "bambootack/quota/owner.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bambootack::quota {
namespace {

/// A VM without a message for this long is taken for lost, longer than any
/// lease that it may have given to another owner.
constexpr core::Duration kSilentTime = std::chrono::seconds(10);

/// Shares of lost VMs that an owner uses, as a part of the fleet. A silent VM
/// may lend to an owner that this one cannot reach; together both stay within
/// the tolerated overshoot.
constexpr double kMaxSilentShare = 0.08;

/// Part of the tolerance that goes into the capacity. The rest covers
/// `kMaxSilentShare` and the differences between the clocks of VMs.
constexpr double kUsedTolerance = 0.5;

/// The share is counted anew after this time.
constexpr core::Duration kShareLifetime = std::chrono::milliseconds(100);

/// Share from which on a refusal proves that the quota is used.
constexpr double kFullShare = 0.9;

/// Requests are repeated after 40 ms, in which an owner grants far fewer.
constexpr std::size_t kMaxGranted = 128;

}  // namespace

void Owner::SetQuotas(std::map<std::string, Quota, std::less<>> quotas) {
  quotas_ = std::move(quotas);
  std::erase_if(buckets_,
                [&](const auto& it) { return !quotas_.contains(it.first); });
}

/// Extends the loan of a VM up to the lease time after the stamp. Stamps of
/// another process, or from before a restart of the clock, extend none.
void Owner::RecordLoan(core::VmId from, std::uint32_t shard, const Stamp& stamp,
                       core::Time now) {
  Shard& state = shards_[shard];
  if (state.loans.empty()) {
    state.first_heard = now;
  }
  Loan& loan = state.loans[from];
  loan.last_heard = now;
  static_cast<void>(ShareOf(shard, now));
  const core::Time stamped(stamp.time);
  if (stamp.incarnation != incarnation_ || stamped > now) {
    return;
  }
  if (loan.until <= now) {
    state.share_valid_until = now;
  }
  loan.until = std::max(loan.until, stamped + kLease);
}

double Owner::CountShare(const Shard& state, core::Time now) const {
  if (fleet_size_ == 0 || stopped_ || state.loans.empty()) {
    return 0.0;
  }
  std::size_t lenders = 0;
  std::size_t heard = 0;
  for (const auto& [vm, it] : state.loans) {
    lenders += it.until > now ? 1 : 0;
    heard += it.last_heard + kSilentTime > now ? 1 : 0;
  }
  const auto size = static_cast<double>(fleet_size_);
  const bool knows_silent = state.first_heard + kSilentTime <= now;
  const double silent = knows_silent && heard < fleet_size_
                            ? std::min(static_cast<double>(fleet_size_ - heard),
                                       kMaxSilentShare * size)
                            : 0.0;
  return std::min(1.0, (static_cast<double>(lenders) + silent) / size);
}

double Owner::ShareOf(std::uint32_t shard, core::Time now) {
  Shard& state = shards_[shard];
  if (now < state.share_valid_until) {
    return state.share;
  }
  const double before = state.share;
  state.share_valid_until = now + kShareLifetime;
  state.share = CountShare(state, now);
  // A bucket would have been cut to the lower capacity.
  const double kept = before > state.share ? state.share / before : 1.0;
  state.held_seconds =
      state.held_seconds * kept +
      std::min(before, state.share) *
          std::chrono::duration<double>(now - state.counted_at).count();
  state.counted_at = now;
  return state.share;
}

/// Finds the bucket of a customer, with the limits in force at present.
/// @param quota Quota of a customer that the configuration does not hold yet.
TokenBucket& Owner::BucketOf(const std::string& customer, const Quota& quota,
                             core::Time now) {
  const auto known = quotas_.find(customer);
  const Quota& limits = known != quotas_.end() ? known->second : quota;
  const std::uint32_t shard = ShardOf(customer);
  const double share = ShareOf(shard, now);
  const double capacity =
      limits.burst * (1.0 + tolerance_.overshoot * kUsedTolerance) +
      tolerance_.slack * kUsedTolerance;
  const auto [bucket, added] = buckets_.try_emplace(customer, TokenBucket(now));
  if (added) {
    bucket->second.Fill(limits.rate * shards_[shard].held_seconds,
                        capacity * share);
  }
  bucket->second.Update(limits.rate * share, capacity * share, now);
  return bucket->second;
}

TokenReply Owner::Handle(core::VmId from, const TokenRequest& request,
                         core::Time now) {
  TokenReply reply;
  reply.number = request.number;
  reply.shard = ShardOf(request.customer);
  reply.stamp = MakeStamp(now);
  RecordLoan(from, reply.shard, request.stamp, now);
  TokenBucket& bucket = BucketOf(request.customer, request.quota, now);
  const std::pair id(from, request.number);
  const bool repeated =
      std::find(granted_.begin(), granted_.end(), id) != granted_.end();
  reply.granted = !stopped_ && (repeated || bucket.TryTake());
  if (reply.granted && !repeated) {
    granted_.push_back(id);
    if (granted_.size() > kMaxGranted) {
      granted_.pop_front();
    }
  }
  if (!reply.granted) {
    reply.exhausted = ShareOf(reply.shard, now) >= kFullShare;
    reply.wait = bucket.PromiseToken(now);
  }
  return reply;
}

LeaseReply Owner::Handle(core::VmId from, const LeaseNotice& notice,
                         core::Time now) {
  const std::uint32_t shard = notice.shard % kShards;
  RecordLoan(from, shard, notice.stamp, now);
  return {shard, MakeStamp(now)};
}

void Owner::Handle(const TokenReturn& message) {
  const auto bucket = buckets_.find(message.customer);
  if (bucket != buckets_.end()) {
    bucket->second.Return();
  }
}

void Owner::RecordRestart(core::VmId vm) {
  for (Shard& it : shards_) {
    const auto loan = it.loans.find(vm);
    if (loan != it.loans.end()) {
      loan->second.until = {};
      it.share_valid_until = {};
    }
  }
}

}  // namespace bambootack::quota
