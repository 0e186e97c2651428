#ifndef BAMBOOTACK_REPORT_VALUE_H_
#define BAMBOOTACK_REPORT_VALUE_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace bambootack::report {

class Value;

/// @brief Ordered values.
using List = std::vector<Value>;

/// @brief Named values.
using Map = std::map<std::string, Value, std::less<>>;

/// @brief Part of a state report, written as TOML or JSON.
class Value {
 public:
  using Data = std::variant<bool, std::int64_t, double, std::string, List, Map>;

  /// @brief An empty map.
  Value() : data_(Map{}) {}
  /// @brief A boolean.
  Value(bool value) : data_(value) {}  // NOLINT(google-explicit-constructor)
  /// @brief An integer.
  template <std::integral T>
  requires(!std::same_as<T, bool>)
      Value(T value)  // NOLINT(google-explicit-constructor)
      : data_(static_cast<std::int64_t>(value)) {}
  /// @brief A real number.
  Value(double value) : data_(value) {}  // NOLINT(google-explicit-constructor)
  /// @brief A text.
  Value(std::string value)  // NOLINT(google-explicit-constructor)
      : data_(std::move(value)) {}
  /// @brief A text.
  Value(std::string_view value)  // NOLINT(google-explicit-constructor)
      : data_(std::string(value)) {}
  /// @brief A text.
  Value(const char* value)  // NOLINT(google-explicit-constructor)
      : data_(std::string(value)) {}
  /// @brief A list.
  Value(List value)  // NOLINT(google-explicit-constructor)
      : data_(std::move(value)) {}
  /// @brief A map.
  Value(Map value)  // NOLINT(google-explicit-constructor)
      : data_(std::move(value)) {}

  /// @brief The value.
  /// @return Its variant.
  [[nodiscard]] const Data& Get() const noexcept { return data_; }

 private:
  Data data_;
};

/// @brief Formats of a state report.
enum class Format : std::uint8_t { kToml, kJson };

/// @brief Writes a report.
/// @param root The report.
/// @param format TOML or JSON.
/// @return Its text.
[[nodiscard]] std::string Write(const Map& root, Format format);

}  // namespace bambootack::report

#endif  // BAMBOOTACK_REPORT_VALUE_H_
