#include "bambootack/health/consecutive.h"

#include <cstddef>

namespace bambootack::health {
namespace {

constexpr int kFailuresToEject = 5;

}  // namespace

void Consecutive::Remove(ServerIndex server) {
  servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(server));
}

void Consecutive::Activate(ServerIndex server) { servers_[server] = {}; }

void Consecutive::Deactivate(ServerIndex server, core::Time /*now*/) {
  servers_[server] = {.active = false};
}

void Consecutive::Observe(const Evidence& evidence) {
  if (!IsEvidence(evidence.kind)) {
    return;
  }
  ServerData& it = servers_[evidence.server];
  it.failures = IndicatesFault(evidence) ? it.failures + 1 : 0;
}

std::uint8_t Consecutive::ObserveInFlight(const InFlightRequest& request,
                                          core::Time /*now*/) noexcept {
  return request.counted_signals;
}

bool Consecutive::IsOverdue(const InFlightRequest& /*request*/) const noexcept {
  return false;
}

void Consecutive::OnTimer(core::Time /*now*/) noexcept {}

bool Consecutive::IndicatesFault(const Evidence& evidence) const noexcept {
  return FailureWeight(evidence.kind) > 0.0;
}

std::optional<ServerIndex> Consecutive::NextToEject(
    core::Time /*now*/, const std::vector<bool>& exempt) const {
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    if (servers_[i].active && !exempt[i] &&
        servers_[i].failures >= kFailuresToEject) {
      return i;
    }
  }
  return std::nullopt;
}

double Consecutive::NormalizedScore(ServerIndex server) const noexcept {
  return static_cast<double>(servers_[server].failures) / kFailuresToEject;
}

}  // namespace bambootack::health
