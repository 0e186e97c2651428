#ifndef BAMBOOTACK_CORE_ENUM_NAMES_H_
#define BAMBOOTACK_CORE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace bambootack::core {

/// @brief Names of an enumeration, in the order of its values from zero.
/// @tparam E The enumeration.
/// @tparam N Number of values.
template <typename E, std::size_t N>
struct EnumNames {
  std::array<std::string_view, N> names;

  /// @brief Name of a value.
  /// @param value The value.
  /// @return Its name, or "?" for a value outside the table.
  [[nodiscard]] constexpr std::string_view Name(E value) const noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < N ? names[index] : std::string_view("?");
  }

  /// @brief Value of a name.
  /// @param name The name.
  /// @return The value, or nothing if no value has this name.
  [[nodiscard]] constexpr std::optional<E> Parse(
      std::string_view name) const noexcept {
    for (std::size_t i = 0; i < N; ++i) {
      if (names[i] == name) {
        return static_cast<E>(i);
      }
    }
    return std::nullopt;
  }
};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_ENUM_NAMES_H_
