#ifndef BAMBOOTACK_WIRE_CODEC_H_
#define BAMBOOTACK_WIRE_CODEC_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "bambootack/wire/messages.h"

namespace bambootack::wire {

/// @brief Largest encoded message in bytes: a body of 1 MiB with its headers.
inline constexpr std::size_t kMaxMessageBytes = 1'310'720;

/// @brief Most memory that decoding allocates, as a sum over all allocations:
/// a fixed part and a multiple of the bytes received. A header field, the
/// densest element, takes 16 bytes encoded and 64 in memory; growth doubles.
inline constexpr std::size_t kMaxDecodeAllocationFixed = 4096;
inline constexpr std::size_t kMaxDecodeAllocationFactor = 8;

/// @brief Encodes a message.
/// @param envelope Message with its sender.
/// @return Bytes in cereal's portable binary form.
[[nodiscard]] std::string Encode(const Envelope& envelope);

/// @brief Decodes a message. Truncated or trailing bytes, sizes larger than the
/// message and enumerations out of range are errors.
/// @param bytes Bytes received.
/// @return The message, or `core::Error` of kind `kDecodeFailed`.
[[nodiscard]] boost::leaf::result<Envelope> Decode(std::string_view bytes);

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_CODEC_H_
