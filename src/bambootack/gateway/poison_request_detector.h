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

/// @brief Tells the same request from others, whoever passes it on.
/// @param http The request.
/// @return A hash of its host, method, target and body.
[[nodiscard]] std::uint64_t FingerprintOf(const core::HttpRequest& http);

/// @brief A server that went down while it ran a request.
struct Crash {
  std::uint64_t fingerprint = 0;  ///< Fingerprint of the request.
  std::string server;
  std::string service;  ///< Service of the server, if it was still known.
};

/// @brief Finds requests that crash the servers that run them. Faulty servers
/// break the connections of any request, so that a lost request counts only if
/// its server is down afterwards.
class PoisonRequestDetector {
 public:
  /// @brief Notes that the connection of a request broke.
  /// @param fingerprint Fingerprint of the request.
  /// @param server The server that had it.
  /// @param registry Registry of servers.
  /// @param now Current time.
  void RecordLostConnection(std::uint64_t fingerprint, std::string_view server,
                            const ServerRegistry& registry, core::Time now);

  /// @brief Notes that a server accepts no connections.
  /// @param server The server.
  /// @param now Current time.
  void RecordServerDown(std::string_view server, core::Time now);

  /// @brief Notes servers that are gone or have started again.
  /// @param registry Registry of servers.
  /// @param now Current time.
  void Update(const ServerRegistry& registry, core::Time now);

  /// @brief Notes that a request ended in a whole answer.
  /// @param fingerprint Fingerprint of the request.
  void RecordServed(std::uint64_t fingerprint) {
    guard_.RecordSuccess(fingerprint);
  }

  /// @brief Takes over a crash that another VM has found.
  /// @param fingerprint Fingerprint of the request.
  /// @param server The server that went down.
  /// @param now Current time.
  void RecordCrash(std::uint64_t fingerprint, std::string_view server,
                   core::Time now);

  /// @brief Tells whether a request is refused.
  /// @param fingerprint Fingerprint of the request.
  /// @param now Current time.
  /// @return True after its second crash, until the guard forgets it.
  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint,
                                   core::Time now) const {
    return guard_.IsQuarantined(fingerprint, now);
  }

  /// @brief Takes the crashes found since the last call.
  /// @return The crashes, to be told to other VMs.
  [[nodiscard]] std::vector<Crash> TakeCrashes();

 private:
  struct Loss {
    Crash crash;
    std::int64_t started = 0;  ///< Start of the server that had the request.
    core::Time at{};
  };

  void Confirm(const Loss& loss, core::Time now);
  void Forget(core::Time now);

  std::deque<Loss> losses_;  ///< Not yet known to be crashes, oldest first.
  std::vector<Crash> crashes_;
  health::RequestQuarantine guard_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_POISON_REQUEST_DETECTOR_H_
