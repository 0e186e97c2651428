#ifndef BAMBOOTACK_GATEWAY_REFUSAL_H_
#define BAMBOOTACK_GATEWAY_REFUSAL_H_

#include "bambootack/core/error_kind.h"
#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief Answer of the gateway itself for an error kind.
/// @param kind The kind.
/// @param left Time that the caller still has; zero if unknown.
/// @param not_run No server can have run the request.
/// @return HTTP form, with the time after which a repeat is worthwhile in
/// seconds and fractions.
[[nodiscard]] core::HttpAnswer RefusalAnswer(core::ErrorKind kind,
                                             core::Duration left, bool not_run);

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_REFUSAL_H_
