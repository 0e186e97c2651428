#include "bambootack/gateway/poison_request_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// Time within which the end of a server belongs to a lost connection. The
/// store drops the entry of a server after three heartbeats of 1.5 s, and may
/// be away for seconds.
constexpr core::Duration kLostConnectionLifetime = std::chrono::seconds(10);

/// The same if a process listened at the address afterwards, and for refused
/// connections. A server that has restarted reports within a heartbeat; a sound
/// one may end for other reasons later.
constexpr core::Duration kMaxTimeToEnd = std::chrono::milliseconds(2500);

/// Time without another request after which a server is connected to. Most are
/// probed by a request 0.8 s after a failure, which costs nothing besides.
constexpr core::Duration kCheckDelay = std::chrono::milliseconds(1200);

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

template <typename Predicate>
void PoisonRequestDetector::ConfirmCrashesIf(core::Time now,
                                             Predicate has_crashed) {
  ExpireLostConnections(now);
  std::erase_if(lost_connections_, [&](const LostConnection& it) {
    const bool crashed = has_crashed(it);
    if (crashed) {
      ConfirmCrash(it, now);
    }
    return crashed;
  });
}

void PoisonRequestDetector::RecordLostConnection(std::uint64_t fingerprint,
                                                 std::string_view server,
                                                 const ServerRegistry& registry,
                                                 core::Time now) {
  ExpireLostConnections(now);
  const auto it = registry.Servers().find(server);
  if (it == registry.Servers().end() || it->second.record.draining) {
    return;
  }
  if (lost_connections_.size() >= kMaxLostConnections) {
    lost_connections_.pop_front();
  }
  const ServerRecord& record = it->second.record;
  lost_connections_.push_back(
      {{fingerprint, record.id, record.started, record.service},
       record.address,
       now});
  checks_.Request(record.id, record.address, now + kCheckDelay);
}

void PoisonRequestDetector::RecordContact(std::string_view server,
                                          core::Time start) {
  MarkListening(server, start);
  const bool open = std::any_of(
      lost_connections_.begin(), lost_connections_.end(), [&](const auto& it) {
        return it.crash.server == server && !it.listening;
      });
  if (!open) {
    checks_.Cancel(server);
  }
}

void PoisonRequestDetector::RecordServerDown(std::string_view server,
                                             core::Time now) {
  ConfirmCrashesIf(now, [&](const LostConnection& it) {
    return it.crash.server == server && now < it.lost_at + kMaxTimeToEnd;
  });
}

void PoisonRequestDetector::RecordUnreachable(std::string_view server,
                                              core::Time now) {
  ExpireLostConnections(now);
  const auto it = std::find_if(
      lost_connections_.begin(), lost_connections_.end(),
      [&](const LostConnection& lost) { return lost.crash.server == server; });
  if (it != lost_connections_.end()) {
    checks_.Request(it->crash.server, it->address, now);
  }
}

void PoisonRequestDetector::RecordServerReplaced(std::string_view server,
                                                 core::Time now) {
  ConfirmCrashesIf(
      now, [&](const LostConnection& it) { return it.crash.server == server; });
}

void PoisonRequestDetector::RecordCheck(std::string_view server,
                                        ConnectionResult result,
                                        core::Time now) {
  const auto verdict = checks_.RecordResult(server, result, now);
  if (!verdict) {
    return;
  }
  if (!verdict->listening) {
    RecordServerDown(server, now);
    return;
  }
  MarkListening(server, verdict->began);
}

/// Records that a process listened at the address of a server at a time. It may
/// have restarted before, which its entry will tell.
void PoisonRequestDetector::MarkListening(std::string_view server,
                                          core::Time time) {
  for (LostConnection& it : lost_connections_) {
    it.listening =
        it.listening || (it.crash.server == server && it.lost_at <= time);
  }
}

/// Tells whether the server of a lost connection is known to have ended. A
/// server that is removed while a process listens at its address may be leaving
/// without having said so; it has ended once another one has the address.
bool PoisonRequestDetector::HasEnded(const LostConnection& lost,
                                     const ServerRegistry& registry) {
  const auto& servers = registry.Servers();
  const auto it = servers.find(lost.crash.server);
  const bool removed = it == servers.end();
  if (removed ? !lost.listening
              : it->second.record.started != lost.crash.started) {
    return true;
  }
  return std::any_of(servers.begin(), servers.end(), [&](const auto& other) {
    const ServerRecord& record = other.second.record;
    return record.address == lost.address &&
           record.started > lost.crash.started;
  });
}

void PoisonRequestDetector::Update(const ServerRegistry& registry,
                                   core::Time now) {
  std::erase_if(lost_connections_, [&](const LostConnection& lost) {
    const auto it = registry.Servers().find(lost.crash.server);
    return it != registry.Servers().end() && it->second.record.draining;
  });
  ConfirmCrashesIf(
      now, [&](const LostConnection& it) { return HasEnded(it, registry); });
}

void PoisonRequestDetector::RecordCrash(std::uint64_t fingerprint,
                                        std::string_view server,
                                        std::int64_t started, core::Time now) {
  quarantine_.RecordLoss(fingerprint, fmt::format("{} {}", server, started),
                         now);
}

std::vector<Crash> PoisonRequestDetector::TakeCrashes() {
  return std::exchange(crashes_, {});
}

void PoisonRequestDetector::ConfirmCrash(const LostConnection& lost,
                                         core::Time now) {
  RecordCrash(lost.crash.fingerprint, lost.crash.server, lost.crash.started,
              now);
  crashes_.push_back(lost.crash);
}

void PoisonRequestDetector::ExpireLostConnections(core::Time now) {
  std::erase_if(lost_connections_, [&](const LostConnection& it) {
    return it.lost_at +
               (it.listening ? kMaxTimeToEnd : kLostConnectionLifetime) <=
           now;
  });
}

}  // namespace bambootack::gateway
