#ifndef BAMBOOTACK_GATEWAY_REFUSAL_H_
#define BAMBOOTACK_GATEWAY_REFUSAL_H_

#include "bambootack/core/error_kind.h"
#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Time in which the queues of normally loaded servers shorten.
inline constexpr core::Duration kDefaultRetryWait =
    std::chrono::milliseconds(200);

/// @brief Builds the gateway's own answer for an error kind. Its Retry-After
/// field, if any, is the time after which a retry is worthwhile, in seconds
/// with a fraction. It is at most a third of the remaining time.
/// @param remaining Time until the caller's deadline; 0 if unknown.
/// @param not_executed Whether it is certain that no server executed the
/// request.
/// @param wait Time until servers are expected to have capacity.
[[nodiscard]] core::HttpAnswer RefusalAnswer(
    core::ErrorKind kind, core::Duration remaining, bool not_executed,
    core::Duration wait = kDefaultRetryWait);

/// @brief Whether a caller can use a Retry-After of this length.
[[nodiscard]] bool IsUsableWait(core::Duration wait, core::Duration remaining);

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_REFUSAL_H_
