#ifndef BAMBOOTACK_GATEWAY_LOG_TEXT_H_
#define BAMBOOTACK_GATEWAY_LOG_TEXT_H_

#include <cstddef>
#include <string_view>

namespace bambootack::gateway {

/// @brief Truncates a text of a caller or server for a log line.
[[nodiscard]] constexpr std::string_view Truncate(
    std::string_view text) noexcept {
  constexpr std::size_t kMaxLoggedBytes = 64;
  return text.substr(0, kMaxLoggedBytes);
}

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_LOG_TEXT_H_
