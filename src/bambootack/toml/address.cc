#include "bambootack/toml/address.h"

#include "bambootack/core/address.h"

namespace bambootack::toml_reader {

std::string Address(Reader& reader, std::string_view key) {
  std::string value = reader.String(key);
  if (!core::IsAddress(value)) {
    reader.Fail(key, "must be IP:port with port 1 to 65535");
  }
  return value;
}

}  // namespace bambootack::toml_reader
