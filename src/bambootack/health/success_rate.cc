#include "bambootack/health/success_rate.h"

#include <chrono>
#include <cmath>
#include <cstddef>

namespace bambootack::health {
namespace {

constexpr core::Duration kWindow = std::chrono::seconds(10);
constexpr double kDeviationFactor = 1.9;
/// Servers with fewer requests in a window are not compared.
constexpr double kMinRequests = 10.0;
/// With fewer servers, mean and deviation are not significant.
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
  ServerData& it = servers_[evidence.server];
  it.requests += 1.0;
  it.successes += IndicatesFault(evidence) ? 0.0 : 1.0;
}

std::uint8_t SuccessRate::ObserveInFlight(const InFlightRequest& request,
                                          core::Time /*now*/) noexcept {
  return request.counted_signals;
}

bool SuccessRate::IsOverdue(const InFlightRequest& /*request*/) const noexcept {
  return false;
}

void SuccessRate::OnTimer(core::Time now) {
  if (now < window_end_) {
    return;
  }
  CloseWindow();
  window_end_ = now + kWindow;
}

bool SuccessRate::HasEnoughRequests(const ServerData& it) noexcept {
  return it.active && it.requests >= kMinRequests;
}

void SuccessRate::CloseWindow() {
  std::vector<double> rates;
  for (const ServerData& it : servers_) {
    if (HasEnoughRequests(it)) {
      rates.push_back(it.successes / it.requests);
    }
  }
  double mean = 0.0;
  double mean_square = 0.0;
  for (const double rate : rates) {
    mean += rate / static_cast<double>(rates.size());
    mean_square += rate * rate / static_cast<double>(rates.size());
  }
  const double deviation = std::sqrt(std::max(0.0, mean_square - mean * mean));
  const double limit = mean - kDeviationFactor * deviation;
  for (ServerData& it : servers_) {
    it.unhealthy = rates.size() >= kMinServers && HasEnoughRequests(it) &&
                   it.successes / it.requests < limit;
    it.requests = 0.0;
    it.successes = 0.0;
  }
}

bool SuccessRate::IndicatesFault(const Evidence& evidence) const noexcept {
  return FailureWeight(evidence.kind) > 0.0;
}

std::optional<ServerIndex> SuccessRate::NextToEject(
    core::Time /*now*/, const std::vector<bool>& exempt) const {
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    if (servers_[i].active && !exempt[i] && servers_[i].unhealthy) {
      return i;
    }
  }
  return std::nullopt;
}

double SuccessRate::NormalizedScore(ServerIndex server) const noexcept {
  return servers_[server].unhealthy ? 1.0 : 0.0;
}

}  // namespace bambootack::health
