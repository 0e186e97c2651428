#include "bambootack/customers/key_confirmation.h"

#include <algorithm>

namespace bambootack::customers {
namespace {

/// A confirmation of this part of the maximum age is renewed. The store reader
/// has one of up to half of the maximum age, so that the ages of both leave a
/// third query time to fail.
constexpr int kRenewalDivisor = 4;

/// Interval between queries while they succeed, as a part of the maximum age.
constexpr int kQueryIntervalDivisor = 5;

/// Time after which another VM is asked. A round trip takes 3 ms, and VMs with
/// little CPU time need some tens of milliseconds. It doubles up to
/// `kMaxReplyTimeout` while no VM has a recent confirmation.
constexpr core::Duration kReplyTimeout = std::chrono::milliseconds(100);
constexpr core::Duration kMaxReplyTimeout = std::chrono::milliseconds(800);
constexpr std::uint32_t kMaxDoublings = 3;

constexpr std::size_t kMaxSentQueries = 8;

/// Adds up to a quarter, so that the VMs of a fleet do not ask at once.
core::Duration WithJitter(core::Duration time, core::Random& random) {
  return time + core::Duration(random.Below(
                    static_cast<std::uint64_t>(time.count() / 4 + 1)));
}

}  // namespace

std::optional<core::Duration> KeyConfirmation::Age(core::Time now) const {
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<core::Duration>(now - *confirmed_at_);
}

core::Time KeyConfirmation::NextTimer() const {
  return confirmed_at_ ? std::max(next_query_at_,
                                  *confirmed_at_ + max_age_ / kRenewalDivisor)
                       : next_query_at_;
}

KeyStateQuery KeyConfirmation::StartQuery(core::Time now,
                                          core::Random& random) {
  const core::Duration timeout = std::min(
      kMaxReplyTimeout,
      kReplyTimeout * (1U << std::min(unanswered_queries_, kMaxDoublings)));
  next_query_at_ = now + WithJitter(timeout, random);
  ++unanswered_queries_;
  sent_queries_.push_back({++last_number_, now});
  if (sent_queries_.size() > kMaxSentQueries) {
    sent_queries_.pop_front();
  }
  return {last_number_};
}

void KeyConfirmation::Receive(const KeyStateReply& reply,
                              std::uint64_t own_version, core::Time now,
                              core::Random& random) {
  const auto query =
      std::find_if(sent_queries_.begin(), sent_queries_.end(),
                   [&](const auto& it) { return it.number == reply.number; });
  if (query == sent_queries_.end()) {
    return;
  }
  const core::Time confirmed = query->sent_at - reply.age;
  sent_queries_.erase(query);
  if (reply.config_version > own_version || reply.age.count() < 0) {
    return;
  }
  Confirm(confirmed);
  if (now - confirmed <= max_age_ * 3 / 4) {
    unanswered_queries_ = 0;
    next_query_at_ = now + WithJitter(max_age_ / kQueryIntervalDivisor, random);
  }
}

std::optional<KeyStateReply> KeyConfirmation::Reply(const KeyStateQuery& query,
                                                    std::uint64_t own_version,
                                                    core::Time now) const {
  const auto age = Age(now);
  return age ? std::optional(KeyStateReply{query.number, own_version, *age})
             : std::nullopt;
}

void KeyConfirmation::Confirm(core::Time time) noexcept {
  confirmed_at_ = std::max(confirmed_at_.value_or(time), time);
}

}  // namespace bambootack::customers
