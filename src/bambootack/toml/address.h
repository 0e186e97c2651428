#ifndef BAMBOOTACK_TOML_ADDRESS_H_
#define BAMBOOTACK_TOML_ADDRESS_H_

#include <string>
#include <string_view>

#include "bambootack/toml/reader.h"

namespace bambootack::toml_reader {

/// @brief Reads an address.
/// @param reader Reader of the table.
/// @param key The key.
/// @return The value, "IP:port".
[[nodiscard]] std::string Address(Reader& reader, std::string_view key);

}  // namespace bambootack::toml_reader

#endif  // BAMBOOTACK_TOML_ADDRESS_H_
