#ifndef BAMBOOTACK_DISPATCH_RATE_LIMITER_H_
#define BAMBOOTACK_DISPATCH_RATE_LIMITER_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambootack/config/model.h"
#include "bambootack/core/rank.h"
#include "bambootack/core/time.h"
#include "bambootack/dispatch/count_min.h"

namespace bambootack::dispatch {

/// @brief Attributes of a request that select the limits for it.
struct LimitSubject {
  std::string_view route;
  std::string_view customer;
  core::Rank rank = core::Rank::kNormal;
};

/// @brief Applies the rate limits of one service to the requests that one
/// dispatcher handles. Each limit is a token bucket, represented by the time at
/// which it is full again; a limit per customer keeps these times in a
/// count-min sketch.
class RateLimiter {
 public:
  /// @brief Replaces the limits by those of a service. The bucket of a limit
  /// that did not change keeps its tokens.
  /// @param share Fraction of each rate and burst that this dispatcher may
  /// admit.
  void Configure(const config::FleetConfig& config, std::string_view service,
                 double share);

  /// @brief Takes a token from every matching limit, or none if one of them has
  /// no token.
  /// @return Nothing if the request is admitted, otherwise the time until every
  /// matching limit has a token.
  [[nodiscard]] std::optional<core::Duration> Acquire(
      const LimitSubject& subject, core::Time now);

 private:
  /// Time at which the bucket is full again, in seconds of monotonic time: one
  /// value, or one for each customer.
  using FullAt = std::variant<double, CountMin>;

  struct Bucket {
    config::Limit limit;
    double rate = 0.0;
    double burst = 1.0;
    FullAt full_at;
  };

  /// Seconds until the bucket has a token; at most 0 if it has one now.
  [[nodiscard]] static double TokenDelay(const Bucket& bucket,
                                         const SketchCells& cells, double now);
  static void TakeToken(Bucket& bucket, const SketchCells& cells, double now);

  std::vector<Bucket> buckets_;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_RATE_LIMITER_H_
