#ifndef BAMBOOTACK_GATEWAY_REFUSAL_H_
#define BAMBOOTACK_GATEWAY_REFUSAL_H_

#include "bambootack/core/error_kind.h"
#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Builds the gateway's own answer for an error kind. Its Retry-After
/// field, if any, is the time after which a retry is worthwhile, in seconds
/// with a fraction.
/// @param left Time until the caller's deadline; 0 if unknown.
/// @param not_executed No server can have executed the request.
[[nodiscard]] core::HttpAnswer RefusalAnswer(core::ErrorKind kind,
                                             core::Duration left,
                                             bool not_executed);

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_REFUSAL_H_
