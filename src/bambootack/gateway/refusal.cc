#include "bambootack/gateway/refusal.h"

#include <fmt/format.h>

#include <algorithm>

#include "bambootack/node/answers.h"

namespace bambootack::gateway {
namespace {

/// Callers are told to wait for at most a third of their remaining time.
constexpr int kRemainingDivisor = 3;

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bool IsUsableWait(core::Duration wait, core::Duration remaining) {
  return wait <= remaining / kRemainingDivisor;
}

core::HttpAnswer RefusalAnswer(core::ErrorKind kind, core::Duration remaining,
                               bool not_executed, core::Duration wait) {
  core::HttpAnswer answer =
      node::ToHttp(not_executed ? node::Refusal(kind) : node::Unproven(kind));
  if (remaining.count() > 0) {
    wait = std::min(wait, remaining / kRemainingDivisor);
  }
  for (core::HeaderField& it : answer.headers) {
    if (it.name == "Retry-After") {
      it.value = fmt::format(
          "{:.3f}", static_cast<double>(wait.count()) / kMicrosPerSecond);
    }
  }
  return answer;
}

}  // namespace bambootack::gateway
