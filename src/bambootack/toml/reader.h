#ifndef BAMBOOTACK_TOML_READER_H_
#define BAMBOOTACK_TOML_READER_H_

#include <fmt/format.h>
#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/time.h"

// Adapter over toml++: included by source files only, never by a header.

namespace bambootack::toml_reader {

/// @brief A violation of the expected shape, thrown inside one parse call and
/// turned into `core::Error` at its end.
struct ShapeError {
  std::string text;
};

/// @brief Reads the keys of one TOML table and remembers which were asked for,
/// so that unknown keys can be reported.
class Reader {
 public:
  /// @brief Starts to read a table.
  /// @param table The table.
  /// @param source Name of the file for messages.
  /// @param prefix Path of the table inside the file.
  Reader(const toml::table& table, std::string_view source, std::string prefix)
      : table_(table), source_(source), prefix_(std::move(prefix)) {}

  /// @brief Throws a `ShapeError` that names file, line, key and the reason.
  /// @param key The key.
  /// @param reason What is allowed.
  [[noreturn]] void Fail(std::string_view key, std::string_view reason) const {
    const toml::node* node = table_.get(key);
    const auto line =
        (node != nullptr ? node->source() : table_.source()).begin.line;
    throw ShapeError{
        fmt::format("{}:{}: {}{}: {}", source_, line, prefix_, key, reason)};
  }

  /// @brief Line of a key.
  /// @param key The key; the table itself when empty or absent.
  /// @return Line in the text, from 1.
  [[nodiscard]] std::uint32_t Line(std::string_view key = {}) const {
    const toml::node* node = key.empty() ? nullptr : table_.get(key);
    return (node != nullptr ? node->source() : table_.source()).begin.line;
  }

  /// @brief Reads a string.
  /// @param key The key.
  /// @param fallback Value when the key is absent; null makes it required.
  /// @return The value.
  std::string String(std::string_view key, const char* fallback = nullptr) {
    const toml::node* node = Get(key);
    if (node == nullptr) {
      if (fallback == nullptr) {
        Fail(key, "required, a string");
      }
      return fallback;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || (fallback == nullptr && value->empty())) {
      Fail(key, "must be a non-empty string");
    }
    return *value;
  }

  /// @brief Reads an integer within bounds.
  /// @param key The key.
  /// @param low Least value allowed.
  /// @param high Greatest value allowed.
  /// @param fallback Value when absent; a value below `low` makes it required.
  /// @return The value.
  std::int64_t Integer(
      std::string_view key, std::int64_t low, std::int64_t high,
      std::int64_t fallback = std::numeric_limits<std::int64_t>::min()) {
    const toml::node* node = Get(key);
    if (node == nullptr) {
      if (fallback < low) {
        Fail(key, fmt::format("required, an integer {} to {}", low, high));
      }
      return fallback;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < low || *value > high) {
      Fail(key, fmt::format("must be an integer {} to {}", low, high));
    }
    return *value;
  }

  /// @brief Reads a number within bounds.
  /// @param key The key.
  /// @param low Least value allowed.
  /// @param high Greatest value allowed.
  /// @param fallback Value when absent.
  /// @return The value.
  double Number(std::string_view key, double low, double high,
                double fallback) {
    const toml::node* node = Get(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto value = node->value<double>();
    if (!value || !(*value >= low && *value <= high)) {
      Fail(key, fmt::format("must be a number {} to {}", low, high));
    }
    return *value;
  }

  /// @brief Reads a boolean.
  /// @param key The key.
  /// @param fallback Value when absent.
  /// @return The value.
  bool Boolean(std::string_view key, bool fallback) {
    const toml::node* node = Get(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
      Fail(key, "must be true or false");
    }
    return *value;
  }

  /// @brief Reads a time in milliseconds.
  /// @param key The key.
  /// @param low Least value allowed.
  /// @param high Greatest value allowed.
  /// @param fallback Value when absent.
  /// @return The value.
  core::Duration Milliseconds(std::string_view key, std::int64_t low,
                              std::int64_t high, core::Duration fallback) {
    return std::chrono::milliseconds(
        Integer(key, low, high, core::ToMilliseconds(fallback)));
  }

  /// @brief Reads a name of an enumeration.
  /// @param key The key.
  /// @param names Names allowed.
  /// @param fallback Value when absent; null makes it required.
  /// @return The value.
  template <typename E, std::size_t N>
  E Enum(std::string_view key, const core::EnumNames<E, N>& names,
         const E* fallback = nullptr) {
    if (Get(key) == nullptr && fallback != nullptr) {
      return *fallback;
    }
    const auto value = names.Parse(String(key));
    if (!value) {
      Fail(key, fmt::format("must be one of {}", fmt::join(names.names, ", ")));
    }
    return *value;
  }

  /// @brief Reads an array of strings.
  /// @param key The key.
  /// @return The strings, empty when the key is absent.
  std::vector<std::string> Strings(std::string_view key) {
    std::vector<std::string> values;
    const toml::node* node = Get(key);
    if (node == nullptr) {
      return values;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Fail(key, "must be an array of strings");
    }
    for (const toml::node& it : *array) {
      const auto value = it.value_exact<std::string>();
      if (!value) {
        Fail(key, "must be an array of strings");
      }
      values.push_back(*value);
    }
    return values;
  }

  /// @brief Reads an array of tables.
  /// @param key The key.
  /// @param read Called with a `Reader` for each table.
  /// @return True if the key is present.
  template <typename F>
  bool Tables(std::string_view key, F read) {
    const toml::node* node = Get(key);
    if (node == nullptr) {
      return false;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      Fail(key, fmt::format("must be an array of tables, [[{}]]", key));
    }
    for (const toml::node& it : *array) {
      if (it.as_table() == nullptr) {
        Fail(key, fmt::format("must be an array of tables, [[{}]]", key));
      }
      Reader reader(*it.as_table(), source_,
                    fmt::format("{}{}.", prefix_, key));
      read(reader);
      reader.RejectUnknown();
    }
    return true;
  }

  /// @brief Fails on the first key that was not asked for.
  void RejectUnknown() const {
    for (const auto& [key, node] : table_) {
      if (!asked_.contains(key.str())) {
        Fail(key.str(), fmt::format("unknown key; allowed are {}",
                                    fmt::join(asked_, ", ")));
      }
    }
  }

 private:
  const toml::node* Get(std::string_view key) {
    asked_.emplace(key);
    return table_.get(key);
  }

  const toml::table& table_;
  std::string source_;
  std::string prefix_;
  std::set<std::string, std::less<>> asked_;
};

/// @brief Parses TOML text and runs a function over its root table.
/// @param text TOML text.
/// @param source Name of the file for messages.
/// @param read Called with a `Reader` for the root table.
/// @return The message of the first violation, empty if there is none.
template <typename F>
std::string ReadDocument(std::string_view text, std::string_view source,
                         F read) {
  try {
    const toml::table table = toml::parse(text, std::string(source));
    Reader reader(table, source, "");
    read(reader);
    reader.RejectUnknown();
    return {};
  } catch (const toml::parse_error& error) {
    return fmt::format("{}:{}: {}", source, error.source().begin.line,
                       error.description());
  } catch (const ShapeError& error) {
    return error.text;
  }
}

}  // namespace bambootack::toml_reader

#endif  // BAMBOOTACK_TOML_READER_H_
