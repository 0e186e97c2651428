#ifndef BAMBOOTACK_QUOTA_TOKEN_BUCKET_H_
#define BAMBOOTACK_QUOTA_TOKEN_BUCKET_H_

#include "bambootack/core/time.h"
#include "bambootack/quota/return_schedule.h"

namespace bambootack::quota {

/// @brief Token bucket whose rate and capacity may change. It starts empty.
class TokenBucket {
 public:
  explicit TokenBucket(core::Time now) : updated_at_(now) {}

  /// @brief Adds the tokens since the last call at the rate in force until now,
  /// and then changes the limits. Tokens above the capacity are dropped.
  void Update(double rate, double capacity, core::Time now);

  /// @brief Sets the tokens of a bucket that was not needed before, up to a
  /// capacity.
  void Fill(double tokens, double capacity);

  /// @brief Takes a token if there is one.
  [[nodiscard]] bool TryTake() noexcept;

  /// @brief Number of tokens as of the last call of `Update`.
  [[nodiscard]] double Tokens() const noexcept { return tokens_; }

  /// @brief Puts an unused token back.
  void Return() noexcept;

  /// @brief Time until the next token is available and nobody else was told to
  /// come for it. Callers that are refused at once are thereby spread.
  [[nodiscard]] core::Duration PromiseToken(core::Time now);

 private:
  double rate_ = 0.0;  ///< Tokens per second.
  double capacity_ = 0.0;
  double tokens_ = 0.0;
  core::Time updated_at_;
  ReturnSchedule returns_;
};

}  // namespace bambootack::quota

#endif  // BAMBOOTACK_QUOTA_TOKEN_BUCKET_H_
