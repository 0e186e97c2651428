#ifndef BAMBOOTACK_NODE_OPERATOR_TOKEN_H_
#define BAMBOOTACK_NODE_OPERATOR_TOKEN_H_

#include <string_view>

#include "bambootack/core/http_message.h"

namespace bambootack::node {

/// @brief Checks the token of an operator's request in a time that depends
/// neither on its content nor on the length of the right token.
/// @param headers Header fields with `Authorization: Bearer TOKEN`.
/// @param token The right token.
/// @return True if the request carries it.
[[nodiscard]] bool HasToken(const core::Headers& headers,
                            std::string_view token);

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_OPERATOR_TOKEN_H_
