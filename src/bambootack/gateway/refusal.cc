#include "bambootack/gateway/refusal.h"

#include <fmt/format.h>

#include <algorithm>

#include "bambootack/node/answers.h"

namespace bambootack::gateway {
namespace {

/// Time in which the queues of normally loaded servers shorten.
constexpr core::Duration kRetryAfter = std::chrono::milliseconds(200);

/// Callers are told to wait for at most a third of their remaining time.
constexpr int kRemainingDivisor = 3;

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

core::HttpAnswer RefusalAnswer(core::ErrorKind kind, core::Duration remaining,
                               bool not_executed) {
  core::HttpAnswer answer =
      node::ToHttp(not_executed ? node::Refusal(kind) : node::Unproven(kind));
  const core::Duration wait =
      remaining.count() > 0
          ? std::min(kRetryAfter, remaining / kRemainingDivisor)
          : kRetryAfter;
  for (core::HeaderField& it : answer.headers) {
    if (it.name == "Retry-After") {
      it.value = fmt::format(
          "{:.3f}", static_cast<double>(wait.count()) / kMicrosPerSecond);
    }
  }
  return answer;
}

}  // namespace bambootack::gateway
