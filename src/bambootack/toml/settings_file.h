#ifndef BAMBOOTACK_TOML_SETTINGS_FILE_H_
#define BAMBOOTACK_TOML_SETTINGS_FILE_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "bambootack/core/error_kind.h"
#include "bambootack/toml/reader.h"

namespace bambootack::toml_reader {

/// @brief Reads settings from TOML text.
/// @param text TOML text.
/// @param source Name of the file for messages.
/// @param read Makes settings from a `Reader` of the root table.
/// @return The settings, or `core::Error` of kind `kSettingsInvalid`.
template <typename Read>
auto ParseSettingsFile(std::string_view text, std::string_view source,
                       Read read)
    -> boost::leaf::result<decltype(read(std::declval<Reader&>()))> {
  decltype(read(std::declval<Reader&>())) result;
  std::string problem = ReadDocument(
      text, source, [&](Reader& reader) { result = read(reader); });
  if (!problem.empty()) {
    return boost::leaf::new_error(
        core::Error{core::ErrorKind::kSettingsInvalid, std::move(problem)});
  }
  return result;
}

}  // namespace bambootack::toml_reader

#endif  // BAMBOOTACK_TOML_SETTINGS_FILE_H_
