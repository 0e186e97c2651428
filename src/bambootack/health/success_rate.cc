#include "bambootack/health/success_rate.h"

#include <chrono>
#include <cmath>
#include <cstddef>

namespace bambootack::health {
namespace {

constexpr core::Duration kWindow = std::chrono::seconds(10);
constexpr double kDeviations = 1.9;
/// Requests in a window below which a server's rate is not compared.
constexpr double kMinRequests = 10.0;
/// Servers below which mean and deviation say nothing.
constexpr std::size_t kMinServers = 3;

}  // namespace

void SuccessRate::Remove(ServerIndex server) {
  servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(server));
}

void SuccessRate::Activate(ServerIndex server) { servers_[server] = {}; }

void SuccessRate::Deactivate(ServerIndex server, core::Time /*now*/) {
  servers_[server] = {.active = false};
}

void SuccessRate::Observe(const Evidence& evidence) {
  if (!IsEvidence(evidence.kind)) {
    return;
  }
  Judged& it = servers_[evidence.server];
  it.requests += 1.0;
  it.successes += IsBad(evidence) ? 0.0 : 1.0;
}

std::uint8_t SuccessRate::ObserveRunning(const RunningRequest& request,
                                         core::Time /*now*/) noexcept {
  return request.counted;
}

bool SuccessRate::IsOverdue(const RunningRequest& /*request*/) const noexcept {
  return false;
}

void SuccessRate::OnTimer(core::Time now) {
  if (now < window_end_) {
    return;
  }
  CloseWindow();
  window_end_ = now + kWindow;
}

bool SuccessRate::IsRated(const Judged& it) noexcept {
  return it.active && it.requests >= kMinRequests;
}

void SuccessRate::CloseWindow() {
  std::vector<double> rates;
  for (const Judged& it : servers_) {
    if (IsRated(it)) {
      rates.push_back(it.successes / it.requests);
    }
  }
  double mean = 0.0;
  double square = 0.0;
  for (const double rate : rates) {
    mean += rate / static_cast<double>(rates.size());
    square += rate * rate / static_cast<double>(rates.size());
  }
  const double deviation = std::sqrt(std::max(0.0, square - mean * mean));
  const double limit = mean - kDeviations * deviation;
  for (Judged& it : servers_) {
    it.unhealthy = rates.size() >= kMinServers && IsRated(it) &&
                   it.successes / it.requests < limit;
    it.requests = 0.0;
    it.successes = 0.0;
  }
}

bool SuccessRate::IsBad(const Evidence& evidence) const noexcept {
  return FailureWeight(evidence.kind) > 0.0;
}

std::optional<ServerIndex> SuccessRate::Worst(
    core::Time /*now*/, const std::vector<bool>& exempt) const {
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    if (servers_[i].active && !exempt[i] && servers_[i].unhealthy) {
      return i;
    }
  }
  return std::nullopt;
}

double SuccessRate::Suspicion(ServerIndex server) const noexcept {
  return servers_[server].unhealthy ? 1.0 : 0.0;
}

}  // namespace bambootack::health
