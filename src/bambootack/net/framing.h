#ifndef BAMBOOTACK_NET_FRAMING_H_
#define BAMBOOTACK_NET_FRAMING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bambootack/core/http_message.h"

namespace bambootack::net {

/// @brief Parses the value of `Content-Length` (RFC 9112, 6.2): digits only.
/// @param value Field value without blanks around it.
/// @return The length, or nothing if it is malformed or exceeds 63 bits.
[[nodiscard]] std::optional<std::uint64_t> ParseContentLength(
    std::string_view value) noexcept;

/// @brief How the end of a body is found (RFC 9112, 6.3).
enum class BodyFraming : std::uint8_t {
  kLength,   ///< `Content-Length`.
  kChunked,  ///< `Transfer-Encoding: chunked`.
  kClose,    ///< Neither field: the end of the connection.
  kInvalid,  ///< Malformed or contradictory fields.
};

/// @brief Framing that the fields of an answer announce.
[[nodiscard]] BodyFraming FramingOf(const core::Headers& headers) noexcept;

/// @brief Checks a chunked body (RFC 9112, 7.1) beside libcurl, which ignores
/// what follows the leading digits of a chunk size and the lines of a trailer.
class ChunkedBodyValidator {
 public:
  /// @brief Checks the next bytes, in pieces of any size.
  void Feed(std::string_view bytes);

  /// @brief False once a byte was malformed. Bytes after the body do not count.
  [[nodiscard]] bool IsValid() const noexcept {
    return state_ != State::kInvalid;
  }

 private:
  enum class State : std::uint8_t {
    kSizeLine,
    kData,
    kDataEnd,  ///< The line end behind the data of a chunk.
    kTrailer,
    kComplete,
    kInvalid,
  };

  [[nodiscard]] std::size_t FeedData(std::string_view bytes) noexcept;
  [[nodiscard]] std::size_t FeedLine(std::string_view bytes);
  [[nodiscard]] bool IsLinePossible() const;
  [[nodiscard]] State StateAfterLine();

  State state_ = State::kSizeLine;
  std::uint64_t data_left_ = 0;  ///< Bytes of the chunk that are due.
  std::string line_;             ///< Begin of the line that is being read.
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_FRAMING_H_
