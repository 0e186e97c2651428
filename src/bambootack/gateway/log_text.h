#ifndef BAMBOOTACK_GATEWAY_LOG_TEXT_H_
#define BAMBOOTACK_GATEWAY_LOG_TEXT_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace bambootack::gateway {

/// @brief Whether a character is printable ASCII other than a blank.
[[nodiscard]] constexpr bool IsPrintable(char it) noexcept {
  return it > ' ' && it <= '~';
}

/// @brief Truncates a text of a caller or server for a log line.
[[nodiscard]] constexpr std::string_view Truncate(
    std::string_view text) noexcept {
  constexpr std::size_t kMaxLoggedBytes = 64;
  return text.substr(0, kMaxLoggedBytes);
}

/// @brief Truncates a text and replaces all bytes that are not printable ASCII,
/// which could end the line or change what a terminal shows.
[[nodiscard]] inline std::string Printable(std::string_view text) {
  std::string result(Truncate(text));
  std::replace_if(
      result.begin(), result.end(), [](char it) { return !IsPrintable(it); },
      '?');
  return result;
}

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_LOG_TEXT_H_
