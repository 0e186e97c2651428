#include "bambootack/core/address.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <system_error>

namespace bambootack::core {

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::error_code ec;
  asio::ip::make_address(text.substr(0, colon), ec);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return !ec && parsed.ec == std::errc() && parsed.ptr == end && port > 0 &&
         port <= 65535;
}

}  // namespace bambootack::core
