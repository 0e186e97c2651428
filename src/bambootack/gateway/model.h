#ifndef BAMBOOTACK_GATEWAY_MODEL_H_
#define BAMBOOTACK_GATEWAY_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief What a backend server last said of itself.
struct ServerRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP:port
  std::string failure_domain;
  int slots = 1;  ///< Requests that it runs at the same time.
  bool draining = false;
  core::Duration warmup_left{};  ///< How much longer it is slow after a start.
  std::int64_t started = 0;      ///< Unix milliseconds; tells its starts apart.
  std::int64_t sequence = 0;     ///< Counts its reports since that start.

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/// @brief Part of a route's requests that goes to one service.
struct WeightedService {
  std::string service;
  double weight = 1.0;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// @brief Maps a host and path prefix to services and a treatment.
struct GatewayRoute {
  std::string id;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  bool repeatable = false;  ///< Requests may run more than once.
  core::Duration timeout = std::chrono::seconds(2);
  core::Duration latency_target = std::chrono::milliseconds(500);
  int priority = 0;      ///< Zero is the most urgent.
  int max_attempts = 1;  ///< Servers that may run one request.
  std::vector<WeightedService> weighted_services;

  friend bool operator==(const GatewayRoute&, const GatewayRoute&) = default;
};

/// @brief One version of the whole configuration.
struct GatewayConfig {
  std::uint64_t version = 0;
  std::vector<GatewayRoute> routes;
  std::vector<std::string> services;

  friend bool operator==(const GatewayConfig&, const GatewayConfig&) = default;
};

/// @brief How one send of a request to a server ended.
enum class AttemptOutcome : std::uint8_t {
  kServed,       ///< A whole answer that is no server error.
  kServerError,  ///< A whole answer that reports a failure of the server.
  kNotExecuted,  ///< The server says that it did not run the request.
  kWrongServer,  ///< Another server has the address.
  kUnreachable,  ///< No connection; nothing was sent.
  kLost,         ///< The connection broke after the request was sent.
  kInvalid,      ///< Bytes that are no whole answer to this request.
  kTimedOut,     ///< No answer in the time given.
  kCancelled,    ///< The caller left or the answer was no longer needed.
};

/// @brief Names of the ends of sends in logs and metrics.
inline constexpr core::EnumNames<AttemptOutcome, 9> kAttemptOutcomeNames{
    {"served", "server-error", "not-run", "wrong-server", "unreachable", "lost",
     "invalid", "timed-out", "cancelled"}};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_MODEL_H_
