#include "bambootack/gateway/poison_request_detector.h"

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// A crashed server is missed by the next request to it within this time: it
/// rests for 0.8 s after a loss and then gets a trial.
constexpr core::Duration kLossLife = std::chrono::milliseconds(2500);

/// Losses that are watched at a time; a flood of resets keeps no more.
constexpr std::size_t kMaxLosses = 1024;

}  // namespace

std::uint64_t FingerprintOf(const core::HttpRequest& http) {
  const auto host = core::FindHeader(http.headers, "Host").value_or("");
  return core::HashBytes(
      http.body,
      core::HashBytes(http.target,
                      core::HashBytes(http.method, core::HashBytes(host))));
}

void PoisonRequestDetector::RecordLostConnection(std::uint64_t fingerprint,
                                                 std::string_view server,
                                                 const ServerRegistry& registry,
                                                 core::Time now) {
  Forget(now);
  if (losses_.size() >= kMaxLosses) {
    losses_.pop_front();
  }
  Loss loss{{fingerprint, std::string(server), {}}, 0, now};
  const auto it = registry.Servers().find(server);
  if (it == registry.Servers().end()) {
    Confirm(loss, now);
    return;
  }
  loss.crash.service = it->second.record.service;
  loss.started = it->second.record.started;
  losses_.push_back(std::move(loss));
}

void PoisonRequestDetector::RecordServerDown(std::string_view server,
                                             core::Time now) {
  Forget(now);
  std::erase_if(losses_, [&](const Loss& it) {
    const bool crashed = it.crash.server == server;
    if (crashed) {
      Confirm(it, now);
    }
    return crashed;
  });
}

void PoisonRequestDetector::Update(const ServerRegistry& registry,
                                   core::Time now) {
  Forget(now);
  std::erase_if(losses_, [&](const Loss& loss) {
    const auto it = registry.Servers().find(loss.crash.server);
    const bool crashed = it == registry.Servers().end() ||
                         it->second.record.started != loss.started;
    if (crashed) {
      Confirm(loss, now);
    }
    return crashed;
  });
}

void PoisonRequestDetector::RecordCrash(std::uint64_t fingerprint,
                                        std::string_view server,
                                        core::Time now) {
  // The same server may crash again after its return.
  guard_.RecordServerDown(server);
  guard_.RecordLoss(fingerprint, server, now);
}

std::vector<Crash> PoisonRequestDetector::TakeCrashes() {
  return std::exchange(crashes_, {});
}

void PoisonRequestDetector::Confirm(const Loss& loss, core::Time now) {
  RecordCrash(loss.crash.fingerprint, loss.crash.server, now);
  crashes_.push_back(loss.crash);
}

void PoisonRequestDetector::Forget(core::Time now) {
  while (!losses_.empty() && losses_.front().at + kLossLife <= now) {
    losses_.pop_front();
  }
}

}  // namespace bambootack::gateway
