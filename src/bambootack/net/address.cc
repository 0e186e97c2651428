#include "bambootack/net/address.h"

#include <charconv>

namespace bambootack::net {

Endpoint SplitAddress(std::string_view address) {
  Endpoint endpoint;
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return endpoint;
  }
  endpoint.ip = address.substr(0, colon);
  const std::string_view port = address.substr(colon + 1);
  std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  return endpoint;
}

}  // namespace bambootack::net
