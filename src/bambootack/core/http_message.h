#ifndef BAMBOOTACK_CORE_HTTP_MESSAGE_H_
#define BAMBOOTACK_CORE_HTTP_MESSAGE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bambootack::core {

/// @brief One header field.
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/// @brief Header fields in the order received.
using Headers = std::vector<HeaderField>;

/// @brief A whole request.
struct HttpRequest {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  /// Holds a large body in place of `body`, so that copies of the request share
  /// it. May be null.
  std::shared_ptr<const std::string> shared_body = nullptr;

  /// @brief The body, wherever it is held.
  [[nodiscard]] const std::string& Body() const noexcept {
    return shared_body ? *shared_body : body;
  }

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

/// @brief A whole answer.
struct HttpAnswer {
  int status = 0;
  Headers headers;
  std::string body;

  friend bool operator==(const HttpAnswer&, const HttpAnswer&) = default;
};

/// @brief Whether a status code ends an exchange (RFC 9110, 15): 200 to 599.
[[nodiscard]] constexpr bool IsFinalStatus(int status) noexcept {
  return status >= 200 && status <= 599;
}

/// @brief Finds a header field without regard to case.
/// @param headers Fields to search.
/// @param name Name of the field.
/// @return Its value, or nothing if it is absent.
[[nodiscard]] std::optional<std::string_view> FindHeader(
    const Headers& headers, std::string_view name) noexcept;

/// @brief Removes fields that apply to one connection only (RFC 9110, 7.6.1),
/// including those named by `Connection`, and the fields of this fleet.
/// @param headers Fields to filter.
/// @return The end-to-end fields.
[[nodiscard]] Headers EndToEndHeaders(const Headers& headers);

/// @brief Path of a request target, without its query.
/// @param target Request target.
/// @return The path.
[[nodiscard]] std::string_view PathOf(std::string_view target) noexcept;

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_HTTP_MESSAGE_H_
