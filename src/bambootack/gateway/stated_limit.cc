#include "bambootack/gateway/stated_limit.h"

#include <algorithm>

namespace bambootack::gateway {
namespace {

/// Requests that may reach a server at one moment, in seconds of its rate and
/// at least. Two VMs may each grant this much around a change of the
/// dispatcher, and the platform tolerates five requests in 4 s.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 1.5;

/// A server that takes no requests, or nearly none, gets one about every 5 s:
/// only an answer tells that the limit has ended.
constexpr double kMinRate = 0.2;

/// Requests that a deferrable one has to find admitted, out of `kMinBurst`.
constexpr double kDeferrableLevel = 1.25;

}  // namespace

bool StatedLimit::Record(const LimitReport& report, core::Time request_sent,
                         core::Time stated) noexcept {
  if (stated < stated_at_ || (!report.rate && request_sent < stated_at_)) {
    return false;
  }
  stated_at_ = stated;
  if (report.rate == rate_) {
    return false;
  }
  rate_ = report.rate;
  if (!rate_) {
    tokens_ = quota::TokenBucket{core::Time{}};
  }
  return true;
}

void StatedLimit::Refill(double share, core::Time now) {
  const double rate = std::max(rate_.value_or(0.0), kMinRate) * share;
  tokens_.Update(rate, std::max(rate * kBurstSeconds, kMinBurst), now);
}

bool StatedLimit::Admits(bool deferrable) const noexcept {
  return !rate_ || tokens_.Tokens() >= (deferrable ? kDeferrableLevel : 1.0);
}

}  // namespace bambootack::gateway
