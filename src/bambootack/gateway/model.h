#ifndef BAMBOOTACK_GATEWAY_MODEL_H_
#define BAMBOOTACK_GATEWAY_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/time.h"
#include "bambootack/customers/customer.h"

namespace bambootack::gateway {

/// @brief Latest report of a backend server about itself.
struct ServerRecord {
  std::string id;
  std::string service;
  std::string address;  ///< IP:port
  std::string failure_domain;
  int slots = 1;  ///< Requests that it executes concurrently.
  bool draining = false;
  core::Duration warmup_left{};  ///< Time until it reaches full speed.
  std::int64_t started = 0;   ///< Unix milliseconds; distinguishes its starts.
  std::int64_t sequence = 0;  ///< Number of the report since that start.

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/// @brief Service with its share of the requests of a route.
struct WeightedService {
  std::string service;
  double weight = 1.0;  ///< Relative to the other services of the route.

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// @brief Maps a host and path prefix to services, limits and a priority.
struct GatewayRoute {
  std::string id;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  bool repeatable = false;  ///< Safe to execute more than once.
  bool exempt = false;      ///< Requests need no API key.
  core::Duration timeout = std::chrono::seconds(2);
  core::Duration latency_target = std::chrono::milliseconds(500);
  int priority = 0;      ///< 0 is the most urgent.
  int max_attempts = 1;  ///< Maximum number that may be executed.
  std::vector<WeightedService> weighted_services;

  friend bool operator==(const GatewayRoute&, const GatewayRoute&) = default;
};

/// @brief Limits on what a caller may send on a connection.
struct CallerLimits {
  std::size_t header_bytes = 0;  ///< Of one request, with its request line.
  std::size_t body_bytes = 0;    ///< Of one request.
  core::Duration header_timeout{};
  core::Duration idle_timeout{};  ///< Between two requests.

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// @brief One version of the whole configuration.
struct GatewayConfig {
  std::uint64_t version = 0;
  std::vector<GatewayRoute> routes;
  std::vector<std::string> services;
  /// Whether requests on routes that are not exempt need an API key.
  bool requires_keys = false;
  std::vector<customers::Customer> customers;
  std::optional<CallerLimits> caller_limits;

  friend bool operator==(const GatewayConfig&, const GatewayConfig&) = default;
};

/// @brief Outcome of one attempt at a backend server.
enum class AttemptOutcome : std::uint8_t {
  kServed,       ///< A complete answer that is not a server error.
  kServerError,  ///< A complete answer that reports a failure of the server.
  kNotExecuted,  ///< The server states that it did not execute the request.
  kWrongServer,  ///< Another server now has the address.
  kUnreachable,  ///< No connection; nothing was sent.
  kLost,         ///< The connection broke after the request was sent.
  kInvalid,      ///< No complete, valid answer to this request.
  kTimedOut,     ///< No answer within the time limit.
  kCancelled,    ///< The caller left, or the answer is not needed.
  kUnused,       ///< The entry could not use the slot's server.
};

/// @brief Names of the outcomes in logs and metrics.
inline constexpr core::EnumNames<AttemptOutcome, 10> kAttemptOutcomeNames{
    {"served", "server-error", "not-run", "wrong-server", "unreachable", "lost",
     "invalid", "timed-out", "cancelled", "unused"}};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_MODEL_H_
