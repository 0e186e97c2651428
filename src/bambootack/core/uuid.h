#ifndef BAMBOOTACK_CORE_UUID_H_
#define BAMBOOTACK_CORE_UUID_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bambootack/core/time.h"

namespace bambootack::core {

class Random;

/// @brief UUID of version 7 (RFC 9562): a time in milliseconds and random bits.
class Uuid {
 public:
  using Bytes = std::array<std::uint8_t, 16>;

  Uuid() = default;

  /// @brief Reads the canonical text form.
  /// @param text 36 characters.
  /// @return The UUID, or nothing if the text is not a UUIDv7.
  [[nodiscard]] static std::optional<Uuid> Parse(std::string_view text);

  /// @brief Makes a new UUIDv7.
  /// @param now Time to embed.
  /// @param random Source of the random bits.
  /// @return The UUID.
  [[nodiscard]] static Uuid Make(WallTime now, Random& random);

  /// @brief Time at which the UUID was made, by its maker's clock.
  /// @return The time.
  [[nodiscard]] WallTime CreatedAt() const noexcept;

  /// @brief Canonical text form in lower case.
  /// @return 36 characters.
  [[nodiscard]] std::string ToString() const;

  /// @brief Raw bytes in network order.
  /// @return The bytes.
  [[nodiscard]] const Bytes& Raw() const noexcept { return bytes_; }

  friend auto operator<=>(const Uuid&, const Uuid&) = default;

 private:
  Bytes bytes_{};
};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_UUID_H_
