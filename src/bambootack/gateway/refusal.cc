#include "bambootack/gateway/refusal.h"

#include <fmt/format.h>

#include <algorithm>

#include "bambootack/node/answers.h"

namespace bambootack::gateway {
namespace {

/// Time in which a queue of servers with usual work gets shorter.
constexpr core::Duration kRetryAfter = std::chrono::milliseconds(200);

/// Callers wait for at most a third of the time that they have left.
constexpr int kLeftDivisor = 3;

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

core::HttpAnswer RefusalAnswer(core::ErrorKind kind, core::Duration left,
                               bool not_run) {
  core::HttpAnswer answer =
      node::ToHttp(not_run ? node::Refusal(kind) : node::Unproven(kind));
  const core::Duration wait = left.count() > 0
                                  ? std::min(kRetryAfter, left / kLeftDivisor)
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
