#ifndef STANDIN_COMMON_QUERY_H_
#define STANDIN_COMMON_QUERY_H_

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace standin {

/// @brief Finds a parameter in the query of a target, as it stands there.
/// @param target Target of a request.
/// @param name Name of the parameter.
/// @return Its text, or nothing.
[[nodiscard]] inline std::optional<std::string> QueryText(
    const std::string& target, const std::string& name) {
  for (const char* lead : {"?", "&"}) {
    const std::size_t at = target.find(lead + name + "=");
    if (at != std::string::npos) {
      const std::size_t first = at + name.size() + 2;
      return target.substr(first, target.find('&', first) - first);
    }
  }
  return std::nullopt;
}

/// @brief Reads a whole number from the query of a target.
/// @param target Target of a request.
/// @param name Name of the parameter.
/// @return The number, or nothing.
[[nodiscard]] inline std::optional<std::uint64_t> QueryInteger(
    const std::string& target, const std::string& name) {
  const auto text = QueryText(target, name);
  return text ? std::optional<std::uint64_t>(
                    std::strtoull(text->c_str(), nullptr, 10))
              : std::nullopt;
}

/// @brief Reads a number from the query of a target.
/// @param target Target of a request.
/// @param name Name of the parameter.
/// @param fallback Value if it is absent.
/// @return The number.
[[nodiscard]] inline double QueryNumber(const std::string& target,
                                        const std::string& name,
                                        double fallback) {
  const auto text = QueryText(target, name);
  return text ? std::strtod(text->c_str(), nullptr) : fallback;
}

}  // namespace standin

#endif  // STANDIN_COMMON_QUERY_H_
