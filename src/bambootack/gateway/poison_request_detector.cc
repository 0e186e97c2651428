#include "bambootack/gateway/poison_request_detector.h"

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// A crash is detected within this time, by the next request to the server: the
/// server is ejected for 0.8 s after a lost connection and then probed.
constexpr core::Duration kLostConnectionLifetime =
    std::chrono::milliseconds(2500);

/// Maximum number of lost connections kept, which bounds the memory during a
/// flood of connection resets.
constexpr std::size_t kMaxLostConnections = 1024;

}  // namespace

std::uint64_t FingerprintOf(const core::HttpRequest& http) {
  const auto host = core::FindHeader(http.headers, "Host").value_or("");
  return core::HashBytes(
      http.Body(),
      core::HashBytes(http.target,
                      core::HashBytes(http.method, core::HashBytes(host))));
}

void PoisonRequestDetector::RecordLostConnection(std::uint64_t fingerprint,
                                                 std::string_view server,
                                                 const ServerRegistry& registry,
                                                 core::Time now) {
  ExpireLostConnections(now);
  if (lost_connections_.size() >= kMaxLostConnections) {
    lost_connections_.pop_front();
  }
  LostConnection lost{{fingerprint, std::string(server), {}}, 0, now};
  const auto it = registry.Servers().find(server);
  if (it == registry.Servers().end()) {
    ConfirmCrash(lost, now);
    return;
  }
  lost.crash.service = it->second.record.service;
  lost.started = it->second.record.started;
  lost_connections_.push_back(std::move(lost));
}

void PoisonRequestDetector::RecordServerDown(std::string_view server,
                                             core::Time now) {
  ExpireLostConnections(now);
  std::erase_if(lost_connections_, [&](const LostConnection& it) {
    const bool crashed = it.crash.server == server;
    if (crashed) {
      ConfirmCrash(it, now);
    }
    return crashed;
  });
}

void PoisonRequestDetector::Update(const ServerRegistry& registry,
                                   core::Time now) {
  ExpireLostConnections(now);
  std::erase_if(lost_connections_, [&](const LostConnection& lost) {
    const auto it = registry.Servers().find(lost.crash.server);
    const bool crashed = it == registry.Servers().end() ||
                         it->second.record.started != lost.started;
    if (crashed) {
      ConfirmCrash(lost, now);
    }
    return crashed;
  });
}

void PoisonRequestDetector::RecordCrash(std::uint64_t fingerprint,
                                        std::string_view server,
                                        core::Time now) {
  // The same server may crash again after a restart.
  quarantine_.RecordServerDown(server);
  quarantine_.RecordLoss(fingerprint, server, now);
}

std::vector<Crash> PoisonRequestDetector::TakeCrashes() {
  return std::exchange(crashes_, {});
}

void PoisonRequestDetector::ConfirmCrash(const LostConnection& lost,
                                         core::Time now) {
  RecordCrash(lost.crash.fingerprint, lost.crash.server, now);
  crashes_.push_back(lost.crash);
}

void PoisonRequestDetector::ExpireLostConnections(core::Time now) {
  while (!lost_connections_.empty() &&
         lost_connections_.front().lost_at + kLostConnectionLifetime <= now) {
    lost_connections_.pop_front();
  }
}

}  // namespace bambootack::gateway
