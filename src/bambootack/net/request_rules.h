#ifndef BAMBOOTACK_NET_REQUEST_RULES_H_
#define BAMBOOTACK_NET_REQUEST_RULES_H_

#include <optional>
#include <string>
#include <string_view>

#include "bambootack/core/error_kind.h"
#include "bambootack/core/http_message.h"

namespace bambootack::net {

/// @brief Checks what the HTTP parser accepts but two servers may read
/// differently: the form of the target, the Host, the transfer coding and
/// control characters.
/// @param http A parsed request.
/// @return Why it is refused, or nothing.
[[nodiscard]] std::optional<core::ErrorKind> CheckRequest(
    const core::HttpRequest& http);

/// @brief Reason phrase of a status.
/// @param status HTTP status.
/// @return The phrase of RFC 9110, or "Unknown".
[[nodiscard]] std::string_view ReasonPhrase(int status) noexcept;

/// @brief Answer of a refusal. The outcome is `unknown` if the request has, or
/// may have, an idempotency key, since an earlier attempt may exist.
/// @param kind Why it is refused.
/// @param may_have_key Whether the request may have a key.
/// @return HTTP form.
[[nodiscard]] core::HttpAnswer RefusalAnswer(core::ErrorKind kind,
                                             bool may_have_key);

/// @brief Writes an answer after which the connection closes.
/// @param answer The answer.
/// @return Bytes of HTTP/1.1.
[[nodiscard]] std::string WriteFinalAnswer(const core::HttpAnswer& answer);

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_REQUEST_RULES_H_
