#include "bambootack/core/uuid.h"

#include <algorithm>
#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <exception>

#include "bambootack/core/random.h"

namespace bambootack::core {
namespace {

constexpr std::size_t kTextSize = 36;
constexpr std::size_t kTimeBytes = 6;
constexpr std::uint8_t kVersionMask = 0xF0;
constexpr std::uint8_t kVersion7 = 0x70;
constexpr std::uint8_t kVariantMask = 0xC0;
constexpr std::uint8_t kVariant = 0x80;

}  // namespace

std::optional<Uuid> Uuid::Parse(std::string_view text) {
  if (text.size() != kTextSize) {
    return std::nullopt;
  }
  Uuid result;
  try {
    const boost::uuids::uuid parsed =
        boost::uuids::string_generator()(text.begin(), text.end());
    std::copy(parsed.begin(), parsed.end(), result.bytes_.begin());
  } catch (const std::exception&) {
    return std::nullopt;
  }
  const bool version7 = (result.bytes_[6] & kVersionMask) == kVersion7;
  const bool variant = (result.bytes_[8] & kVariantMask) == kVariant;
  if (!version7 || !variant) {
    return std::nullopt;
  }
  return result;
}

Uuid Uuid::Make(WallTime now, Random& random) {
  Uuid result;
  for (std::uint8_t& byte : result.bytes_) {
    byte = static_cast<std::uint8_t>(random.Below(256));
  }
  auto millis = static_cast<std::uint64_t>(now.time_since_epoch().count());
  for (std::size_t i = kTimeBytes; i-- > 0;) {
    result.bytes_[i] = static_cast<std::uint8_t>(millis);
    millis >>= 8;
  }
  result.bytes_[6] = (result.bytes_[6] & ~kVersionMask) | kVersion7;
  result.bytes_[8] = (result.bytes_[8] & ~kVariantMask) | kVariant;
  return result;
}

WallTime Uuid::CreatedAt() const noexcept {
  std::int64_t millis = 0;
  for (std::size_t i = 0; i < kTimeBytes; ++i) {
    millis = (millis << 8) | bytes_[i];
  }
  return WallTime(std::chrono::milliseconds(millis));
}

std::string Uuid::ToString() const {
  boost::uuids::uuid raw{};
  std::copy(bytes_.begin(), bytes_.end(), raw.begin());
  return boost::uuids::to_string(raw);
}

}  // namespace bambootack::core
