#ifndef BAMBOOTACK_NET_ANSWER_HEAD_H_
#define BAMBOOTACK_NET_ANSWER_HEAD_H_

#include <cstdint>
#include <string_view>
#include <utility>

#include "bambootack/core/http_message.h"

namespace bambootack::net {

/// @brief Parses the head of an answer (RFC 9112, 4 and 5) line by line, with
/// the interim answers before it. libcurl passes on lines that are none of
/// HTTP, such as fields whose names contain blanks or control characters;
/// callers would read these differently.
class AnswerHeadParser {
 public:
  enum class State : std::uint8_t { kStatusLine, kFields, kComplete, kInvalid };

  /// @brief Parses the next line; none is due after the empty line that
  /// completes the head.
  /// @param line The line with its CR LF.
  void Feed(std::string_view line);

  [[nodiscard]] State GetState() const noexcept { return state_; }

  /// @brief Status of the answer or, before `kComplete`, of an interim one.
  [[nodiscard]] int Status() const noexcept { return status_; }

  /// @brief Takes the fields of the answer, once it is complete.
  [[nodiscard]] core::Headers TakeFields() noexcept {
    return std::exchange(fields_, {});
  }

 private:
  [[nodiscard]] State NextState(std::string_view line);
  [[nodiscard]] bool ParseStatusLine(std::string_view line) noexcept;
  [[nodiscard]] State StateAfterHead() const noexcept;

  State state_ = State::kStatusLine;
  int status_ = 0;
  bool supports_codings_ = false;  ///< HTTP/1.1; 1.0 has no transfer codings.
  core::Headers fields_;
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_ANSWER_HEAD_H_
