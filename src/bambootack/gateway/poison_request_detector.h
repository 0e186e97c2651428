#ifndef BAMBOOTACK_GATEWAY_POISON_REQUEST_DETECTOR_H_
#define BAMBOOTACK_GATEWAY_POISON_REQUEST_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"
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
  std::string service;  ///< Of the server, if it was still registered.
};

/// @brief Detects poison requests, which crash the servers that execute them.
/// Faulty servers reset the connections of any request, so a lost connection
/// counts as a crash only if its server is down afterwards.
class PoisonRequestDetector {
 public:
  /// @brief Records that the connection of a request to a server was lost. It
  /// counts as a crash immediately if the server is no longer registered.
  void RecordLostConnection(std::uint64_t fingerprint, std::string_view server,
                            const ServerRegistry& registry, core::Time now);

  /// @brief Records that a server accepts no connections. Its recent lost
  /// connections are crashes.
  void RecordServerDown(std::string_view server, core::Time now);

  /// @brief Finds servers that were removed or have restarted. Their recent
  /// lost connections are crashes.
  void Update(const ServerRegistry& registry, core::Time now);

  /// @brief Records that a request was answered completely.
  void RecordServed(std::uint64_t fingerprint) {
    quarantine_.RecordSuccess(fingerprint);
  }

  /// @brief Records a crash that a peer has found.
  /// @param server The server that went down.
  void RecordCrash(std::uint64_t fingerprint, std::string_view server,
                   core::Time now);

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
    Crash crash;
    std::int64_t started = 0;  ///< Start time of the server.
    core::Time lost_at{};
  };

  void ConfirmCrash(const LostConnection& lost, core::Time now);
  void ExpireLostConnections(core::Time now);

  /// Lost connections that may still prove to be crashes, oldest first.
  std::deque<LostConnection> lost_connections_;
  std::vector<Crash> crashes_;
  health::RequestQuarantine quarantine_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_POISON_REQUEST_DETECTOR_H_
