#ifndef BAMBOOTACK_GATEWAY_CODEC_H_
#define BAMBOOTACK_GATEWAY_CODEC_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "bambootack/gateway/messages.h"

namespace bambootack::gateway {

/// @brief Encodes a message in cereal's portable binary format.
[[nodiscard]] std::string Encode(const PeerMessage& message);

/// @brief Decodes a message. Truncated or trailing bytes, sizes larger than the
/// message and enumerators out of range are errors.
/// @return The message, or `core::Error` of kind `kDecodeFailed`.
[[nodiscard]] boost::leaf::result<PeerMessage> Decode(std::string_view bytes);

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_CODEC_H_
