#ifndef BAMBOOTACK_WIRE_BOUNDED_ARCHIVE_H_
#define BAMBOOTACK_WIRE_BOUNDED_ARCHIVE_H_

#include <algorithm>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "bambootack/wire/enum_limits.h"

namespace bambootack::wire {

/// @brief Reads cereal's portable binary form from untrusted bytes. Every size
/// is compared with the bytes that remain before anything is allocated.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  /// @brief Reads the mark of the byte order.
  /// @param bytes Bytes to read; must outlive the archive.
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), bytes_(bytes) {
    std::uint8_t little = 0;
    Read(&little, sizeof(little), 1);
    if (little > 1) {
      throw cereal::Exception("unknown byte order");
    }
    swap_ = (little == 1) != (std::endian::native == std::endian::little);
  }

  /// @brief Bytes not yet read.
  /// @return The count.
  [[nodiscard]] std::size_t Remaining() const noexcept { return bytes_.size(); }

  /// @brief Copies bytes, in the byte order of this machine.
  /// @param data Receives the bytes.
  /// @param size Number of bytes.
  /// @param element_size Size of one number.
  void Read(void* data, std::size_t size, std::size_t element_size) {
    if (size > bytes_.size()) {
      throw cereal::Exception("message is truncated");
    }
    if (size == 0) {
      return;
    }
    std::memcpy(data, bytes_.data(), size);
    bytes_.remove_prefix(size);
    if (swap_) {
      auto* it = static_cast<std::uint8_t*>(data);
      for (std::size_t i = 0; i < size; i += element_size) {
        std::reverse(it + i, it + i + element_size);
      }
    }
  }

 private:
  std::string_view bytes_;
  bool swap_ = false;
};

}  // namespace bambootack::wire

// cereal finds these functions in its own namespace.
namespace cereal {

using bambootack::wire::BoundedInputArchive;

/// Memory that is reserved for a list per byte that remains. Lists are nested
/// three deep, and a false size in each must stay within the stated limit.
inline constexpr std::size_t kReserveFactor = 2;

template <typename T>
requires std::is_arithmetic_v<T>
void load(BoundedInputArchive& ar, T& it) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t value = 0;
    ar.Read(&value, sizeof(value), 1);
    if (value > 1) {
      throw Exception("boolean out of range");
    }
    it = value == 1;
  } else {
    ar.Read(&it, sizeof(it), sizeof(it));
  }
}

template <typename T>
void serialize(BoundedInputArchive& ar, NameValuePair<T>& it) {
  ar(it.value);
}

/// An element takes at least one byte, so a larger size cannot be true.
template <typename T>
void serialize(BoundedInputArchive& ar, SizeTag<T>& it) {
  ar(it.size);
  if (it.size > ar.Remaining()) {
    throw Exception("size exceeds the message");
  }
}

template <typename T>
void load(BoundedInputArchive& ar, BinaryData<T>& it) {
  ar.Read(it.data, static_cast<std::size_t>(it.size),
          sizeof(std::remove_pointer_t<T>));
}

/// Grows with the elements that are present instead of trusting the size.
template <typename T, typename A>
void load(BoundedInputArchive& ar, std::vector<T, A>& it) {
  size_type size = 0;
  ar(make_size_tag(size));
  it.clear();
  it.reserve(
      std::min<std::size_t>(size, ar.Remaining() * kReserveFactor / sizeof(T)));
  for (size_type i = 0; i < size; ++i) {
    T value{};
    ar(value);
    it.push_back(std::move(value));
  }
}

// cereal looks for this name.
template <typename T>
requires common_detail::is_enum<T>::value void
load_minimal(  // NOLINT(readability-identifier-naming)
    const BoundedInputArchive& /*ar*/, T&& it,
    const typename common_detail::is_enum<T>::base_type& value) {
  using E = typename common_detail::is_enum<T>::type;
  if (static_cast<std::uint64_t>(value) >=
      bambootack::wire::EnumLimit<E>::kCount) {
    throw Exception("enumeration out of range");
  }
  it = static_cast<E>(value);
}

}  // namespace cereal

/// Types are written by cereal's own archive of the same form.
template <>
struct cereal::traits::detail::get_output_from_input<
    bambootack::wire::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // BAMBOOTACK_WIRE_BOUNDED_ARCHIVE_H_
