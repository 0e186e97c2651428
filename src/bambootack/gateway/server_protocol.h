#ifndef BAMBOOTACK_GATEWAY_SERVER_PROTOCOL_H_
#define BAMBOOTACK_GATEWAY_SERVER_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>

#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"
#include "bambootack/gateway/model.h"
#include "bambootack/gateway/server_pool.h"

namespace bambootack::gateway {

/// @brief Names of the header fields that callers, servers and the gateway
/// exchange. The platform defines them.
struct HeaderNames {
  std::string request_id;       ///< Id of the request, which servers echo.
  std::string remaining_ms;     ///< Milliseconds until the deadline.
  std::string expected_server;  ///< Id of the only server that may execute it.
  std::string signature;        ///< Proves that a server made the answer.
  std::string not_executed;     ///< Set if the server did not execute it.
  std::string load;             ///< "executing,queued,slots" of the server.
  std::string leaving;          ///< "1" if the server is about to terminate.
  std::string retry_after;      ///< Seconds, with a 503 of a server.
  std::string customer;         ///< Name of the customer, for the server.
  std::string limit;  ///< Requests/s that the server takes from all VMs.
};

/// @brief What a server states about itself in an answer.
struct ServerNotice {
  bool leaving = false;  ///< It wants no new requests and will terminate.
  /// How long it wants no requests from this VM.
  std::optional<core::Duration> pause;
  /// Text of a pause that is ignored because it is no number of seconds.
  std::optional<std::string> malformed_pause;
  /// Requests per second that it takes from all VMs together.
  std::optional<double> limit;
  /// Text of a limit that is ignored because it is no such number.
  std::optional<std::string> malformed_limit;
};

/// @brief Reads how long the caller will still wait.
/// @param headers Fields of the request.
/// @return The time, or nothing if the field is absent or malformed.
[[nodiscard]] std::optional<core::Duration> RemainingTime(
    const HeaderNames& names, const core::Headers& headers);

/// @brief Builds the request for an attempt. Its remaining time and expected
/// server replace fields of the caller.
/// @param request The caller's request.
/// @param server Id of the server.
/// @param remaining Time left until the deadline.
/// @param customer Customer of the request, or empty if the route needs no API
/// key. The server then learns neither the API key nor what the caller claims
/// about its customer. Nothing if the fleet knows no customers.
[[nodiscard]] core::HttpRequest ToServerRequest(
    const HeaderNames& names, const core::HttpRequest& request,
    std::string_view server, core::Duration remaining,
    std::optional<std::string_view> customer);

/// @brief Classifies a server's complete answer. An answer to another request,
/// or one that claims success without the server's signature, is invalid.
/// @param request_id Id of the request that was sent.
[[nodiscard]] AttemptOutcome Classify(const HeaderNames& names,
                                      std::string_view request_id,
                                      const core::HttpAnswer& answer);

/// @brief Reads the load that a server reports with its answer.
/// @param headers Fields of the answer.
/// @return The load, or nothing if the field is absent or malformed.
[[nodiscard]] std::optional<ServerLoad> ReportedLoad(
    const HeaderNames& names, const core::Headers& headers);

/// @brief Reads what a server states about itself. A pause is read from a 503
/// only, and limited to an hour. The lowest of several limits holds.
[[nodiscard]] ServerNotice ReadServerNotice(const HeaderNames& names,
                                            const core::HttpAnswer& answer);

/// @brief What an answer states about the limit of its server.
/// @param outcome Outcome of its attempt.
/// @return Nothing if the answer cannot tell: a refusal without a limit may
/// come from a part of the server that does not know it.
[[nodiscard]] std::optional<LimitReport> LimitReportOf(
    const ServerNotice& notice, AttemptOutcome outcome);

/// @brief Whether callers infer from an HTTP status that the request has not
/// been executed and will not be.
[[nodiscard]] constexpr bool ImpliesNotExecuted(int status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SERVER_PROTOCOL_H_
