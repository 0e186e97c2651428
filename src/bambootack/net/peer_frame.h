#ifndef BAMBOOTACK_NET_PEER_FRAME_H_
#define BAMBOOTACK_NET_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "bambootack/wire/codec.h"
#include "bambootack/wire/sealed_frame.h"

// Frames on the connections between VMs: a length, little-endian, and as many
// bytes.

namespace bambootack::net::detail {

inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kMaxFrameBytes =
    wire::kMaxMessageBytes + wire::kSealOverheadBytes;

inline std::string WithLength(std::string frame) {
  const auto n = static_cast<std::uint32_t>(frame.size());
  std::string buf(kLengthBytes, '\0');
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    buf[i] = static_cast<char>(n >> (8 * i));
  }
  return buf + frame;
}

inline std::uint32_t LengthOf(
    const std::array<unsigned char, kLengthBytes>& buf) {
  std::uint32_t n = 0;
  for (std::size_t i = kLengthBytes; i-- > 0;) {
    n = (n << 8) | buf[i];
  }
  return n;
}

}  // namespace bambootack::net::detail

#endif  // BAMBOOTACK_NET_PEER_FRAME_H_
