#include "bambootack/quota/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace bambootack::quota {
namespace {

constexpr core::Duration kMinPromise = std::chrono::milliseconds(20);

}  // namespace

void TokenBucket::Update(double rate, double capacity, core::Time now) {
  if (now > updated_at_) {
    tokens_ += rate_ * std::chrono::duration<double>(now - updated_at_).count();
    updated_at_ = now;
  }
  // The former capacity bounds what was added at the former rate.
  tokens_ = std::min({tokens_, capacity_, capacity});
  rate_ = rate;
  capacity_ = capacity;
}

void TokenBucket::Fill(double tokens, double capacity) {
  tokens_ = std::min(tokens, capacity);
  capacity_ = capacity;
}

bool TokenBucket::TryTake() noexcept {
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void TokenBucket::Return() noexcept {
  tokens_ = std::min(tokens_ + 1.0, capacity_);
}

core::Duration TokenBucket::PromiseToken(core::Time now) {
  if (rate_ <= 0.0) {
    return kMaxReturnTime;
  }
  return std::max(kMinPromise, returns_.Next(rate_, now));
}

}  // namespace bambootack::quota
