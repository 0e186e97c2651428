#ifndef BAMBOOTACK_CORE_HANDLE_H_
#define BAMBOOTACK_CORE_HANDLE_H_

#include <compare>
#include <cstdint>

namespace bambootack::core {

/// @brief Reference to a row of a `Table`. The version tells a row apart from
/// earlier rows at the same index, so a late message finds no other row.
struct Handle {
  std::uint32_t index = 0;
  std::uint32_t version = 0;

  friend constexpr auto operator<=>(const Handle&, const Handle&) = default;
};

/// @brief Handle that refers to no row.
inline constexpr Handle kNullHandle{};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_HANDLE_H_
