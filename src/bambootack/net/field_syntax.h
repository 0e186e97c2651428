#ifndef BAMBOOTACK_NET_FIELD_SYNTAX_H_
#define BAMBOOTACK_NET_FIELD_SYNTAX_H_

#include <optional>
#include <string_view>

#include "bambootack/core/http_message.h"

// Syntax that the heads and trailers of requests and answers share.

namespace bambootack::net {

/// @brief Tells whether a text is a token (RFC 9110, 5.6.2), as the names of
/// fields are.
[[nodiscard]] bool IsToken(std::string_view text) noexcept;

/// @brief Tells whether a text has a control character other than a tab. The
/// values of fields have none (RFC 9110, 5.5).
[[nodiscard]] bool HasControlCharacter(std::string_view text) noexcept;

/// @brief Removes the CR LF at the end of a line.
/// @return The line without it, or nothing if the line ends otherwise.
[[nodiscard]] std::optional<std::string_view> WithoutLineEnd(
    std::string_view line) noexcept;

/// @brief Parses a line of a head or a trailer (RFC 9112, 5).
/// @param line The line without its end.
/// @return The field, or nothing if the line is none. Folded lines, which are
/// obsolete, are none either.
[[nodiscard]] std::optional<core::HeaderField> ParseField(
    std::string_view line);

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_FIELD_SYNTAX_H_
