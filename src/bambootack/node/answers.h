#ifndef BAMBOOTACK_NODE_ANSWERS_H_
#define BAMBOOTACK_NODE_ANSWERS_H_

#include <string_view>

#include "bambootack/core/error_kind.h"
#include "bambootack/core/http_message.h"
#include "bambootack/wire/messages.h"

namespace bambootack::node {

/// @brief Answer for an error kind, with the outcome of the table.
/// @param kind The kind.
/// @return The answer.
[[nodiscard]] wire::Answer Refusal(core::ErrorKind kind);

/// @brief Answer for an error kind whose outcome is not proven.
/// @param kind The kind.
/// @return The answer with outcome `unknown`.
[[nodiscard]] wire::Answer Unproven(core::ErrorKind kind);

/// @brief Converts an answer to HTTP, with the outcome headers.
/// @param answer The answer.
/// @return HTTP form.
[[nodiscard]] core::HttpAnswer ToHttp(const wire::Answer& answer);

/// @brief Plain text answer on the operators' interface.
/// @param status HTTP status.
/// @param body Text.
/// @param type Media type.
/// @return HTTP form.
[[nodiscard]] core::HttpAnswer TextAnswer(int status, std::string body,
                                          std::string_view type = "text/plain");

/// @brief Answer on the operators' interface for an error kind.
/// @param kind The kind.
/// @param detail Details to add to the text of the table.
/// @return HTTP form.
[[nodiscard]] core::HttpAnswer OperatorError(core::ErrorKind kind,
                                             std::string_view detail);

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_ANSWERS_H_
