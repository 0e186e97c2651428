#ifndef BAMBOOTACK_GATEWAY_POISON_REQUEST_DETECTOR_H_
#define BAMBOOTACK_GATEWAY_POISON_REQUEST_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"
#include "bambootack/gateway/connection_checks.h"
#include "bambootack/gateway/server_registry.h"
#include "bambootack/health/request_quarantine.h"

namespace bambootack::gateway {

/// @brief Identifies a request independently of the VM that forwards it.
/// @return A hash of its host, method, target and body.
[[nodiscard]] std::uint64_t FingerprintOf(const core::HttpRequest& http);

/// @brief Event: a server went down while it executed a request.
struct Crash {
  std::uint64_t fingerprint = 0;  ///< Of the request.
  std::string server;
  std::int64_t started = 0;  ///< Start of the server that went down.
  std::string service;       ///< Of the server.
};

/// @brief Detects poison requests, which crash the servers that execute them.
/// Faulty servers reset the connections of any request, so a lost connection
/// counts as a crash only if its server is found to have ended: it refuses
/// connections, or another start of a server has its address or its id. The
/// detector asks for a connection to find this out if no other request is sent
/// to the server.
class PoisonRequestDetector {
 public:
  /// @brief Records that a server broke off the answer to a request, or gave
  /// none. Servers that are draining or no longer registered are leaving and
  /// may end their connections; theirs do not count.
  void RecordLostConnection(std::uint64_t fingerprint, std::string_view server,
                            const ServerRegistry& registry, core::Time now);

  /// @brief Records that a server accepts no connections. Its recent lost
  /// connections are crashes.
  void RecordServerDown(std::string_view server, core::Time now);

  /// @brief Records that a server accepted the connection of an attempt, which
  /// shows as much as a check.
  /// @param start Start of the attempt.
  void RecordContact(std::string_view server, core::Time start);

  /// @brief Records that a request could not be sent. A server that has lost
  /// another request shortly before is checked: a sound one may also reset a
  /// connection before it is established, and packets may be lost.
  void RecordUnreachable(std::string_view server, core::Time now);

  /// @brief Records that another server has the address of a server. Its lost
  /// connections are crashes.
  void RecordServerReplaced(std::string_view server, core::Time now);

  /// @brief Finds servers that were removed or have restarted. Their lost
  /// connections are crashes.
  void Update(const ServerRegistry& registry, core::Time now);

  /// @brief Takes the connections to open now.
  [[nodiscard]] std::vector<ConnectionCheck> TakeDueChecks(core::Time now) {
    return checks_.TakeDue(now);
  }

  /// @brief When to call `TakeDueChecks`, or nothing.
  [[nodiscard]] std::optional<core::Time> NextTimer() const {
    return checks_.NextTimer();
  }

  /// @brief Records the result of a connection from `TakeDueChecks`.
  void RecordCheck(std::string_view server, ConnectionResult result,
                   core::Time now);

  /// @brief Records that a request was answered completely.
  void RecordServed(std::uint64_t fingerprint) {
    quarantine_.RecordSuccess(fingerprint);
  }

  /// @brief Records a crash that a peer has found. Several VMs may find the
  /// same one; a start of a server crashes once.
  /// @param started Start of the server that went down.
  void RecordCrash(std::uint64_t fingerprint, std::string_view server,
                   std::int64_t started, core::Time now);

  /// @brief Whether a request is refused: true after its second crash, until
  /// the quarantine expires.
  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint,
                                   core::Time now) const {
    return quarantine_.IsQuarantined(fingerprint, now);
  }

  /// @brief Takes the crashes found by this VM since the last call, which are
  /// to be sent to peers.
  [[nodiscard]] std::vector<Crash> TakeCrashes();

 private:
  struct LostConnection {
    Crash crash;  ///< What it is if the server has ended.
    std::string address;
    core::Time lost_at{};
    bool listening = false;  ///< A process listened at the address afterwards.
  };

  [[nodiscard]] static bool HasEnded(const LostConnection& lost,
                                     const ServerRegistry& registry);
  void MarkListening(std::string_view server, core::Time time);
  void ConfirmCrash(const LostConnection& lost, core::Time now);
  template <typename Predicate>
  void ConfirmCrashesIf(core::Time now, Predicate has_crashed);
  void ExpireLostConnections(core::Time now);

  /// Lost connections that may still prove to be crashes, oldest first.
  std::deque<LostConnection> lost_connections_;
  ConnectionChecks checks_;
  std::vector<Crash> crashes_;
  health::RequestQuarantine quarantine_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_POISON_REQUEST_DETECTOR_H_
