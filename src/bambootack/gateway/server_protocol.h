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
/// exchange. The platform chooses them.
struct HeaderNames {
  std::string request_id;       ///< Id of one request, echoed by servers.
  std::string remaining_ms;     ///< Milliseconds until the deadline.
  std::string expected_server;  ///< Id of the only server that may run it.
  std::string signature;        ///< Proof that a server made the answer.
  std::string not_executed;     ///< The server did not run the request.
  std::string load;             ///< "running,waiting,slots" of the server.
};

/// @brief Reads the time that a caller still waits.
/// @param dialect Header names.
/// @param headers Fields of the request.
/// @return The time, or nothing if the field is absent or malformed.
[[nodiscard]] std::optional<core::Duration> RemainingTime(
    const HeaderNames& dialect, const core::Headers& headers);

/// @brief Builds the request that is sent to a server.
/// @param dialect Header names.
/// @param request The caller's request.
/// @param server Id of the server.
/// @param remaining Time left until the deadline.
/// @return The request.
[[nodiscard]] core::HttpRequest ToServerRequest(
    const HeaderNames& dialect, const core::HttpRequest& request,
    std::string_view server, core::Duration remaining);

/// @brief Classifies a server's whole answer. An answer to another request, or
/// one that claims success without the server's signature, is invalid.
/// @param dialect Header names.
/// @param request_id Id of the request.
/// @param answer The answer.
/// @return How the send ended.
[[nodiscard]] AttemptOutcome Classify(const HeaderNames& dialect,
                                      std::string_view request_id,
                                      const core::HttpAnswer& answer);

/// @brief Reads the load that a server reports with its answer.
/// @param dialect Header names.
/// @param headers Fields of the answer.
/// @return The load, or nothing if the field is absent or malformed.
[[nodiscard]] std::optional<ServerLoad> ReportedLoad(
    const HeaderNames& dialect, const core::Headers& headers);

/// @brief Tells whether callers take a status as the promise that the request
/// has not run and will not run.
/// @param status HTTP status.
/// @return True for such a status.
[[nodiscard]] constexpr bool PromisesNotExecuted(int status) noexcept {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SERVER_PROTOCOL_H_
