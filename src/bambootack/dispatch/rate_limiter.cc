#include "bambootack/dispatch/rate_limiter.h"

#include <algorithm>
#include <utility>

namespace bambootack::dispatch {
namespace {

using Seconds = std::chrono::duration<double>;

/// Value of a limit's customer field that limits each customer separately.
constexpr std::string_view kEachCustomer = "*";

/// Retry delay reported when the rate of a limit is 0.
constexpr double kBlockedDelaySeconds = 60.0;

/// Delays up to this are rounding errors: the token has just become available.
constexpr double kRoundingToleranceSeconds = 1e-9;

/// A limit that names no service applies to each service separately, because
/// dispatchers of different services do not know each other's traffic.
bool AppliesTo(const config::Limit& limit, const config::FleetConfig& config,
               std::string_view service) {
  if (!limit.service.empty() && limit.service != service) {
    return false;
  }
  if (limit.route.empty()) {
    return true;
  }
  const auto route = config.routes.find(limit.route);
  return route != config.routes.end() && route->second.service == service;
}

bool Matches(const config::Limit& limit, const LimitSubject& subject) {
  return (limit.route.empty() || limit.route == subject.route) &&
         (!limit.rank || *limit.rank == subject.rank) &&
         (limit.customer.empty() || limit.customer == kEachCustomer ||
          limit.customer == subject.customer);
}

}  // namespace

void RateLimiter::Configure(const config::FleetConfig& config,
                            std::string_view service, double share) {
  std::vector<Bucket> next;
  for (const auto& [id, limit] : config.limits) {
    if (!AppliesTo(limit, config, service)) {
      continue;
    }
    Bucket bucket;
    bucket.limit = limit;
    bucket.rate = limit.per_second * share;
    bucket.burst = std::max(1.0, limit.burst * share);
    if (limit.customer == kEachCustomer) {
      bucket.full_at = CountMin();
    }
    const auto old =
        std::find_if(buckets_.begin(), buckets_.end(), [&](const Bucket& it) {
          return it.limit == bucket.limit && it.rate == bucket.rate;
        });
    next.push_back(old == buckets_.end() ? std::move(bucket) : std::move(*old));
  }
  buckets_ = std::move(next);
}

double RateLimiter::TokenDelay(const Bucket& bucket, const SketchCells& cells,
                               double now) {
  if (bucket.rate <= 0.0) {
    return kBlockedDelaySeconds;
  }
  const auto* sketch = std::get_if<CountMin>(&bucket.full_at);
  const double full_at = sketch != nullptr ? sketch->Estimate(cells)
                                           : std::get<double>(bucket.full_at);
  return full_at - now - (bucket.burst - 1.0) / bucket.rate;
}

void RateLimiter::TakeToken(Bucket& bucket, const SketchCells& cells,
                            double now) {
  const double token = 1.0 / bucket.rate;
  if (auto* sketch = std::get_if<CountMin>(&bucket.full_at)) {
    sketch->Raise(cells, std::max(sketch->Estimate(cells), now) + token);
  } else {
    double& full_at = std::get<double>(bucket.full_at);
    full_at = std::max(full_at, now) + token;
  }
}

std::optional<core::Duration> RateLimiter::Acquire(const LimitSubject& subject,
                                                   core::Time now) {
  if (buckets_.empty()) {
    return std::nullopt;
  }
  const SketchCells cells = CellsOf(subject.customer);
  const double seconds = Seconds(now.time_since_epoch()).count();
  double delay = 0.0;
  for (const Bucket& it : buckets_) {
    if (Matches(it.limit, subject)) {
      delay = std::max(delay, TokenDelay(it, cells, seconds));
    }
  }
  if (delay > kRoundingToleranceSeconds) {
    return std::chrono::ceil<core::Duration>(Seconds(delay));
  }
  for (Bucket& it : buckets_) {
    if (Matches(it.limit, subject)) {
      TakeToken(it, cells, seconds);
    }
  }
  return std::nullopt;
}

}  // namespace bambootack::dispatch
