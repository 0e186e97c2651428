#ifndef STANDIN_COMMON_ENCODING_H_
#define STANDIN_COMMON_ENCODING_H_

#include <sodium.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

/// @brief Encodes a number with the most significant byte first.
[[nodiscard]] inline std::string BigEndian(std::uint64_t value,
                                           std::size_t size) {
  std::string bytes(size, '\0');
  for (std::size_t i = size; i-- > 0; value >>= 8) {
    bytes[i] = static_cast<char>(value & 0xFF);
  }
  return bytes;
}

/// @brief Encodes bytes in base64 with padding.
[[nodiscard]] inline std::string Base64(std::string_view bytes) {
  std::string out(
      sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(out.data(), out.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.pop_back();  // The terminating zero.
  return out;
}

}  // namespace standin

#endif  // STANDIN_COMMON_ENCODING_H_
